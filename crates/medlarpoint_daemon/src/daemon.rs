//! Starts and stops a daemon.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::{Mutex, RwLock};
use std::time::Duration;

use arc_swap::ArcSwap;
use dropshot::{ConfigDropshot, HandlerTaskMode, HttpServer, ServerBuilder};
use indexmap::IndexMap;
use medlarpoint_config::{History, Replica, pull};
use medlarpoint_membership::{Detector, Freshness, Options, Reporter};
use medlarpoint_model::{Policy, Version};
use medlarpoint_platform::store::Client;
use medlarpoint_routing::Intake;
use medlarpoint_store::Era;
use medlarpoint_wire::{BootId, Record, Status};
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::Notify;

use crate::clock::{Clock, wall_ms};
use crate::control::Driver;
use crate::event::Event;
use crate::idle::Retention;
use crate::keep_alive::Connections;
use crate::lifecycle::{Lifecycle, Shutdown};
use crate::log::Log;
use crate::pipeline::EarlyCalls;
use crate::pool::Pool;
use crate::quota::{self, Quotas};
use crate::server::{self, Listener};
use crate::settings::Settings;
use crate::slowdown::Slowdown;
use crate::state::{Control, InForce, Reloadable, Shared, lock};
use crate::traffic::{Counts, Traffic};
use crate::workspace::Labels;
use crate::{
    api, api_response, departed, peer, platform_endpoints, registry, reload, rollouts, startup,
    store_reader, suspects, target,
};

/// Time until other processes know that this daemon leaves: members learn it from
/// gossip, and callers from two readiness probes one second apart.
const LEAVE_PROPAGATION_TIME: Duration = Duration::from_millis(2_200);
/// Time into a graceful shutdown during which the target still accepts calls from
/// other daemons.
const INBOUND_ACCEPT_TIME: Duration = Duration::from_millis(1_200);
/// Time into a graceful shutdown after which calls are rejected: a later call could
/// not run for the full time that its route allows.
const CALL_ACCEPT_TIME: Duration = Duration::from_millis(2_900);
/// Time reserved at the end of a graceful shutdown for responses that are being sent.
const RESPONSE_MARGIN: Duration = Duration::from_millis(150);
/// Limit on the time that the operators' API takes to close.
const API_CLOSE_TIMEOUT: Duration = Duration::from_millis(200);
/// Interval between checks for calls in flight during a graceful shutdown.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Size limit of a request body of the operators' API, in bytes.
const MAX_API_BODY_BYTES: usize = 2_000_000;

/// Error that prevents a daemon from starting.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// A listen address could not be bound.
    #[error("{key}: cannot listen on {address}: {reason}")]
    Listen {
        /// Settings key of the address, such as `listen.peer`.
        key: &'static str,
        /// Address that could not be bound.
        address: SocketAddr,
        /// Error from the operating system.
        reason: std::io::Error,
    },
    /// The operators' API could not be started.
    #[error("listen.api: {0}")]
    Api(String),
}

/// Addresses on which a daemon listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// Address for callers.
    pub calls: SocketAddr,
    /// Address for the outbound proxies of other daemons.
    pub inbound: SocketAddr,
    /// Address for control messages between daemons, over TCP and UDP.
    pub peer: SocketAddr,
    /// Address of the operators' API.
    pub api: SocketAddr,
    /// Address for the platform's readiness probes, if one is set.
    pub ready: Option<SocketAddr>,
    /// Address for the target's reports, if one is set.
    pub control: Option<SocketAddr>,
}

/// A running daemon. Dropping it without [`Daemon::close`] stops it at once.
pub struct Daemon {
    driver: Arc<Driver>,
    addresses: Addresses,
    api: HttpServer<api::Context>,
}

impl std::fmt::Debug for Daemon {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Daemon").field("addresses", &self.addresses).finish_non_exhaustive()
    }
}

async fn listen(key: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|reason| StartError::Listen { key, address, reason })
}

async fn listen_optional(
    key: &'static str,
    address: Option<SocketAddr>,
) -> Result<Option<TcpListener>, StartError> {
    match address {
        Some(address) => listen(key, address).await.map(Some),
        None => Ok(None),
    }
}

/// Binds the peer address for TCP and UDP on the same port.
async fn listen_peer(address: SocketAddr) -> Result<(TcpListener, UdpSocket), StartError> {
    let key = "listen.peer";
    let mut retries = 0;
    loop {
        let tcp = listen(key, address).await?;
        let bound =
            tcp.local_addr().map_err(|reason| StartError::Listen { key, address, reason })?;
        match UdpSocket::bind(bound).await {
            Ok(udp) => return Ok((tcp, udp)),
            // The operating system picks another TCP port, whose UDP port may be free.
            Err(_) if address.port() == 0 && retries < 20 => retries += 1,
            Err(reason) => {
                return Err(StartError::Listen { key, address, reason });
            }
        }
    }
}

/// Returns the bound address of a listener, or the configured one if it is not known.
fn bound_address(listener: &TcpListener, configured: SocketAddr) -> SocketAddr {
    listener.local_addr().unwrap_or(configured)
}

impl Daemon {
    /// Starts a daemon. It serves callers once it has caught up with the fleet's
    /// configuration.
    pub async fn start(
        settings: Settings,
        log: Log,
        metrics: Option<PrometheusHandle>,
    ) -> Result<Self, StartError> {
        let configured = settings.options.listen.clone();
        let calls = listen("listen.calls", configured.calls).await?;
        let inbound = listen("listen.inbound", configured.inbound).await?;
        let (peer, socket) = listen_peer(configured.peer).await?;
        let ready = listen_optional("listen.ready", configured.ready).await?;
        let control = listen_optional("listen.control", configured.control).await?;
        let mut addresses = Addresses {
            calls: bound_address(&calls, configured.calls),
            inbound: bound_address(&inbound, configured.inbound),
            peer: bound_address(&peer, configured.peer),
            api: configured.api,
            ready: ready.as_ref().and_then(|listener| listener.local_addr().ok()),
            control: control.as_ref().and_then(|listener| listener.local_addr().ok()),
        };
        let shared = Arc::new(new_shared(settings, log, addresses));
        let driver = Driver::new(Arc::clone(&shared), socket);
        let api = start_api(&driver, metrics, configured.api)?;
        addresses.api = api.local_addr();
        spawn_tasks(&driver, calls, inbound, peer);
        if let Some(ready) = ready {
            tokio::spawn(platform_endpoints::serve_readiness(Arc::clone(&shared), ready));
        }
        if let Some(control) = control {
            tokio::spawn(platform_endpoints::serve_reports(Arc::clone(&driver), control));
        }
        shared.emit(&Event::Started {
            vm: shared.settings.options.vm.clone(),
            calls: addresses.calls,
            inbound: addresses.inbound,
            peer: addresses.peer,
            api: addresses.api,
        });
        Ok(Self { driver, addresses, api })
    }

    /// Returns the addresses on which the daemon listens.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Returns the version in force.
    pub fn version(&self) -> Version {
        self.driver.shared().version()
    }

    /// Waits until a version later than `version` is in force and returns it. Returns
    /// the current version if the daemon closes first.
    pub async fn wait_for_version_after(&self, version: Version) -> Version {
        let shared = self.driver.shared();
        let mut changes = shared.lifecycle.subscribe_changes();
        loop {
            let current = shared.version();
            if current > version || changes.changed().await.is_err() {
                return current;
            }
        }
    }

    /// Returns whether callers are served.
    pub fn is_ready(&self) -> bool {
        self.driver.shared().lifecycle.is_ready()
    }

    /// Returns whether the daemon knows which processes of its VM's target have left. Until
    /// then, a process that reports gets no calls.
    pub fn knows_departures(&self) -> bool {
        self.driver.shared().departed.is_learned()
    }

    /// Returns the status that the operators' API reports.
    pub fn status(&self) -> medlarpoint_api::Status {
        api_response::status(self.driver.shared())
    }

    /// Applies the settings that may change while the daemon runs. Returns whether
    /// any of them changed.
    pub fn reload(&self, settings: &Settings) -> bool {
        reload::apply(&self.driver, settings)
    }

    /// Returns the control traffic sent so far.
    pub fn traffic(&self) -> Counts {
        self.driver.shared().traffic.counts()
    }

    /// Makes some addresses, and optionally the store, unreachable for an experiment.
    /// Replaces the previous set of addresses.
    pub fn partition(&self, addresses: HashSet<SocketAddr>, store: bool) {
        let shared = self.driver.shared();
        shared.pool.partition().set(addresses);
        shared.store.set_unreachable(store);
    }

    /// Shuts down gracefully: announces the shutdown, rejects new calls as not run,
    /// waits for the calls in flight, then closes.
    pub async fn close(self) {
        let shared = Arc::clone(self.driver.shared());
        shared.emit(&Event::Stopping { unfinished: calls_in_flight(&shared) });
        let (now, drain_timeout) = (shared.now(), shared.settings.drain_timeout);
        let accept_until = now + CALL_ACCEPT_TIME.min(drain_timeout / 2);
        let respond_until = now + drain_timeout.saturating_sub(RESPONSE_MARGIN);
        shared.lifecycle.begin_shutdown(Shutdown { accept_until, respond_until });
        let start = tokio::time::Instant::now();
        // The target serves until callers have had time to switch to other targets.
        tokio::time::sleep(INBOUND_ACCEPT_TIME.min(drain_timeout / 4)).await;
        lock(&shared.intake).set_draining(true);
        self.driver.leave();
        let deadline = start + drain_timeout;
        // The target finishes its calls in flight and may make outbound calls for them.
        let accept_deadline = start + CALL_ACCEPT_TIME.min(drain_timeout);
        let leave_known = start + LEAVE_PROPAGATION_TIME.min(drain_timeout);
        wait_until(accept_deadline, || {
            tokio::time::Instant::now() >= leave_known && lock(&shared.intake).unfinished() == 0
        })
        .await;
        shared.lifecycle.stop_accepting();
        // A call can finish before its response has been sent completely.
        let done = || !shared.lifecycle.has_open_connections() && calls_in_flight(&shared) == 0;
        if !wait_until(deadline, done).await {
            shared.emit(&Event::DrainTimeout { unfinished: calls_in_flight(&shared) });
        }
        self.stop(&shared).await;
        shared.emit(&Event::Stopped {});
    }

    /// Stops at once without a graceful shutdown, as if the process had been killed.
    pub async fn kill(self) {
        let shared = Arc::clone(self.driver.shared());
        self.stop(&shared).await;
    }

    async fn stop(self, shared: &Shared) {
        shared.lifecycle.close();
        match tokio::time::timeout(API_CLOSE_TIMEOUT, self.api.close()).await {
            Ok(Ok(())) => {}
            Ok(Err(reason)) => shared.emit(&Event::ApiFailed { reason }),
            Err(_) => {
                let timeout_ms = API_CLOSE_TIMEOUT.as_millis();
                let reason = format!("a request was still running after {timeout_ms} ms");
                shared.emit(&Event::ApiFailed { reason });
            }
        }
    }
}

/// Waits until `done` holds or `deadline` is reached. Returns whether `done` holds.
async fn wait_until(deadline: tokio::time::Instant, done: impl Fn() -> bool) -> bool {
    loop {
        if done() {
            return true;
        }
        if tokio::time::Instant::now() >= deadline {
            return false;
        }
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
}

/// Returns the number of calls in flight in both proxies.
fn calls_in_flight(shared: &Shared) -> usize {
    lock(&shared.intake).unfinished() + shared.lifecycle.pending_calls()
}

/// Creates the state that the tasks of a daemon share.
fn new_shared(settings: Settings, log: Log, addresses: Addresses) -> Shared {
    let clock = Clock::start();
    let boot = wall_ms();
    let options = &settings.options;
    let own_record = Record {
        vm: options.vm.clone(),
        data_centre: options.data_centre.clone(),
        region: options.region.clone(),
        peer: addresses.peer,
        inbound: addresses.inbound,
        boot: BootId(boot),
        incarnation: Detector::first_incarnation(BootId(boot)),
        status: Status::Alive,
        target: None,
        store_latency: None,
    };
    let membership = Options {
        period: Duration::from_millis(options.membership.period_ms),
        timeout: Duration::from_millis(options.membership.period_ms * 3 / 10),
        suspicion_timeout: Duration::from_millis(options.membership.suspicion_ms),
        ..Options::default()
    };
    let detector = Detector::new(membership, own_record, clock.now(), rand::random());
    let replica = Replica::default();
    let in_force = InForce::new(Arc::clone(replica.current()));
    let mut intake = Intake::new(options.vm.clone(), boot, Policy::default());
    intake.scheduler_mut().set_target_pace(clock.now(), options.routing.target_pace);
    intake.scheduler_mut().set_link(settings.response_link());
    intake.scheduler_mut().set_request_link(settings.request_link());
    let control = Control {
        detector,
        replica,
        pulls: pull::Scheduler::default(),
        reporter: Reporter::default(),
        history: History::default(),
        reporter_since: None,
        freshness: Freshness::default(),
        applied_ms: 0,
        last_rejection: None,
        not_ready_reason: Some("catching up".to_owned()),
        store_down: None,
        store_era: Era::default(),
    };
    Shared {
        store: Client::new(&settings.endpoints, settings.store_timeout),
        reloadable: ArcSwap::from_pointee(Reloadable::of(&settings)),
        early_calls: EarlyCalls::new(),
        caller_connections: Connections::new(settings.options.limits.idle_connections),
        settings,
        clock,
        boot,
        log,
        traffic: Traffic::default(),
        control: Mutex::new(control),
        in_force: ArcSwap::from_pointee(in_force),
        services: RwLock::new(IndexMap::new()),
        wait_estimator: Mutex::default(),
        intake: Mutex::new(intake),
        waiters: Mutex::default(),
        target: Mutex::new(None),
        suspects: Mutex::default(),
        suspects_changed: Notify::new(),
        quotas: Quotas::new(boot),
        rollouts: Mutex::default(),
        target_run: Mutex::default(),
        target_check: tokio::sync::Mutex::default(),
        health_paths: ArcSwap::default(),
        departed: departed::Memory::default(),
        claim_lease: tokio::sync::Mutex::default(),
        departures: Mutex::default(),
        target_changed: AtomicBool::new(false),
        slowdown: Slowdown::default(),
        workspace_labels: Labels::default(),
        buffers: Arc::default(),
        pool: Arc::new(Pool::new(Retention::PEER)),
        target_pool: Arc::new(Pool::new(Retention::TARGET)),
        lifecycle: Lifecycle::default(),
        pull_wakeup: Notify::new(),
    }
}

fn start_api(
    driver: &Arc<Driver>,
    metrics: Option<PrometheusHandle>,
    address: SocketAddr,
) -> Result<HttpServer<api::Context>, StartError> {
    let description = api::description().map_err(|e| StartError::Api(e.to_string()))?;
    let context = api::Context { driver: Arc::clone(driver), metrics };
    // Dropshot's log lines would duplicate the daemon's in another format.
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let config = ConfigDropshot {
        bind_address: address,
        default_request_body_max_bytes: MAX_API_BODY_BYTES,
        default_handler_task_mode: HandlerTaskMode::Detached,
        ..ConfigDropshot::default()
    };
    let server = ServerBuilder::new(description, context, log).config(config).start();
    server.map_err(|error| StartError::Api(error.to_string()))
}

fn spawn_tasks(driver: &Arc<Driver>, calls: TcpListener, inbound: TcpListener, peer: TcpListener) {
    let shared = driver.shared();
    tokio::spawn(Arc::clone(driver).receive());
    tokio::spawn(Arc::clone(driver).tick());
    tokio::spawn(Arc::clone(driver).pull());
    tokio::spawn(peer::serve(Arc::clone(shared), peer));
    tokio::spawn(server::serve(Arc::clone(shared), calls, Listener::Calls));
    tokio::spawn(server::serve(Arc::clone(shared), inbound, Listener::Inbound));
    tokio::spawn(store_reader::run(Arc::clone(driver)));
    tokio::spawn(registry::run(Arc::clone(driver)));
    tokio::spawn(startup::catch_up(Arc::clone(driver)));
    tokio::spawn(departed::replicator::run(Arc::clone(driver)));
    tokio::spawn(suspects::run(Arc::clone(driver)));
    tokio::spawn(quota::run(Arc::clone(driver)));
    tokio::spawn(rollouts::run(Arc::clone(driver)));
    tokio::spawn(rollouts::status_writer::run(Arc::clone(driver)));
    tokio::spawn(target::run_maintenance(Arc::clone(driver)));
}
