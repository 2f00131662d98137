//! Starts and stops a daemon.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
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
use medlarpoint_wire::{BootId, Record, Status};
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::Notify;

use crate::clock::{Clock, wall_ms};
use crate::control::Driver;
use crate::event::Event;
use crate::lifecycle::{Lifecycle, Shutdown};
use crate::log::Log;
use crate::pool::Pool;
use crate::server::{self, Listener};
use crate::settings::Settings;
use crate::slowdown::Slowdown;
use crate::state::{Control, InForce, Live, Shared, lock};
use crate::traffic::{Counts, Traffic};
use crate::{api, peer, platform_endpoints, reader, registry, reload, startup, target, view};

/// Time others need to learn that this daemon leaves: members by gossip, and
/// callers by two questions a second apart whether it takes them.
const LEAVE_TIME: Duration = Duration::from_millis(2_200);
/// Time into a planned stop in which the target still takes calls of others.
const SERVE_TIME: Duration = Duration::from_millis(1_200);
/// Time into a planned stop after which calls are refused: what comes later
/// could not run for as long as its route allows.
const LAST_CALL: Duration = Duration::from_millis(2_900);
/// Time kept at the end of a planned stop for answers that are on their way.
const ANSWER_MARGIN: Duration = Duration::from_millis(150);
/// Longest wait for the operators' API to close.
const API_CLOSE_TIMEOUT: Duration = Duration::from_millis(200);
/// Time between looks at the calls in flight during a planned stop.
const DRAIN_CHECK: Duration = Duration::from_millis(20);
/// Largest request body of the operators' API, in bytes.
const MAX_API_BODY_BYTES: usize = 2_000_000;

/// A daemon could not be started.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// An address cannot be listened on.
    #[error("{key}: cannot listen on {address}: {reason}")]
    Listen {
        /// Key of the setting.
        key: &'static str,
        /// The address.
        address: SocketAddr,
        /// The system's reason.
        reason: std::io::Error,
    },
    /// The operators' API cannot be started.
    #[error("listen.api: {0}")]
    Api(String),
}

/// Addresses a daemon listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// For callers.
    pub calls: SocketAddr,
    /// For other daemons' outbound proxies.
    pub inbound: SocketAddr,
    /// For control messages.
    pub peer: SocketAddr,
    /// For operators.
    pub api: SocketAddr,
    /// For the platform's question whether callers are served.
    pub ready: Option<SocketAddr>,
    /// For the reports of the target.
    pub control: Option<SocketAddr>,
}

/// A running daemon. Dropped without [`Daemon::close`], it stops at once.
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

async fn listen_if(
    key: &'static str,
    address: Option<SocketAddr>,
) -> Result<Option<TcpListener>, StartError> {
    match address {
        Some(address) => listen(key, address).await.map(Some),
        None => Ok(None),
    }
}

/// Binds the peer address for TCP and UDP, which share a port.
async fn listen_peer(address: SocketAddr) -> Result<(TcpListener, UdpSocket), StartError> {
    let key = "listen.peer";
    let mut tries = 0;
    loop {
        let tcp = listen(key, address).await?;
        let bound =
            tcp.local_addr().map_err(|reason| StartError::Listen { key, address, reason })?;
        match UdpSocket::bind(bound).await {
            Ok(udp) => return Ok((tcp, udp)),
            // With a port of the system's choice, the next one may be free.
            Err(_) if address.port() == 0 && tries < 20 => tries += 1,
            Err(reason) => {
                return Err(StartError::Listen { key, address, reason });
            }
        }
    }
}

fn local(listener: &TcpListener, wanted: SocketAddr) -> SocketAddr {
    listener.local_addr().unwrap_or(wanted)
}

impl Daemon {
    /// Starts a daemon. Callers are served once it has caught up.
    pub async fn start(
        settings: Settings,
        log: Log,
        metrics: Option<PrometheusHandle>,
    ) -> Result<Self, StartError> {
        let wanted = settings.options.listen.clone();
        let calls = listen("listen.calls", wanted.calls).await?;
        let inbound = listen("listen.inbound", wanted.inbound).await?;
        let (peer, socket) = listen_peer(wanted.peer).await?;
        let ready = listen_if("listen.ready", wanted.ready).await?;
        let control = listen_if("listen.control", wanted.control).await?;
        let mut addresses = Addresses {
            calls: local(&calls, wanted.calls),
            inbound: local(&inbound, wanted.inbound),
            peer: local(&peer, wanted.peer),
            api: wanted.api,
            ready: ready.as_ref().and_then(|listener| listener.local_addr().ok()),
            control: control.as_ref().and_then(|listener| listener.local_addr().ok()),
        };
        let shared = Arc::new(share(settings, log, addresses));
        let driver = Driver::new(Arc::clone(&shared), socket);
        let api = start_api(&driver, metrics, wanted.api)?;
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

    /// Returns the addresses.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Returns the version in force.
    pub fn version(&self) -> Version {
        self.driver.shared().version()
    }

    /// Waits until a version later than `version` is in force.
    pub async fn wait_later(&self, version: Version) -> Version {
        let shared = self.driver.shared();
        let mut changes = shared.lifecycle.subscribe_changes();
        loop {
            let current = shared.version();
            if current > version || changes.changed().await.is_err() {
                return current;
            }
        }
    }

    /// Tells whether callers are served.
    pub fn is_ready(&self) -> bool {
        self.driver.shared().lifecycle.is_ready()
    }

    /// Returns the status that operators see.
    pub fn status(&self) -> medlarpoint_api::Status {
        view::status(self.driver.shared())
    }

    /// Takes the settings that may change while the daemon runs; tells whether
    /// any of them did.
    pub fn reload(&self, settings: &Settings) -> bool {
        reload::apply(&self.driver, settings)
    }

    /// Returns the control traffic sent so far.
    pub fn traffic(&self) -> Counts {
        self.driver.shared().traffic.counts()
    }

    /// Cuts the links to some addresses, and to the store, for an experiment.
    pub fn cut(&self, addresses: HashSet<SocketAddr>, store: bool) {
        let shared = self.driver.shared();
        shared.pool.partition().set(addresses);
        shared.store.set_unreachable(store);
    }

    /// Stops as planned: announces it, refuses new work as not run, lets what
    /// is in flight end, then closes.
    pub async fn close(self) {
        let shared = Arc::clone(self.driver.shared());
        shared.emit(&Event::Stopping { unfinished: unfinished(&shared) });
        let (now, whole) = (shared.now(), shared.settings.drain_timeout);
        let accept_until = now + LAST_CALL.min(whole / 2);
        let respond_until = now + whole.saturating_sub(ANSWER_MARGIN);
        shared.lifecycle.begin_shutdown(Shutdown { accept_until, respond_until });
        let start = tokio::time::Instant::now();
        // Callers need a while to go elsewhere, and so long the target serves.
        tokio::time::sleep(SERVE_TIME.min(whole / 4)).await;
        lock(&shared.intake).set_draining(true);
        self.driver.leave();
        let deadline = start + shared.settings.drain_timeout;
        // The target goes on with what it has, and makes calls for it.
        let last_in = start + LAST_CALL.min(whole);
        let leave = start + LEAVE_TIME.min(whole);
        wait_until(last_in, || {
            tokio::time::Instant::now() >= leave && lock(&shared.intake).unfinished() == 0
        })
        .await;
        shared.lifecycle.stop_accepting();
        // An answer may still be on its way out when its call has ended.
        let done = || !shared.lifecycle.has_open_connections() && unfinished(&shared) == 0;
        if !wait_until(deadline, done).await {
            shared.emit(&Event::DrainTimeout { unfinished: unfinished(&shared) });
        }
        self.stop(&shared).await;
        shared.emit(&Event::Stopped {});
    }

    /// Stops at once, as if the process had been killed.
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
                let reason = "a request of an operator was cut off".to_owned();
                shared.emit(&Event::ApiFailed { reason });
            }
        }
    }
}

/// Waits until `done` holds or `deadline` has come; tells whether it holds.
async fn wait_until(deadline: tokio::time::Instant, done: impl Fn() -> bool) -> bool {
    loop {
        if done() {
            return true;
        }
        if tokio::time::Instant::now() >= deadline {
            return false;
        }
        tokio::time::sleep(DRAIN_CHECK).await;
    }
}

/// Returns the calls in flight on either side.
fn unfinished(shared: &Shared) -> usize {
    lock(&shared.intake).unfinished() + shared.lifecycle.pending_calls()
}

fn share(settings: Settings, log: Log, addresses: Addresses) -> Shared {
    let clock = Clock::start();
    let boot = wall_ms();
    let options = &settings.options;
    let me = Record {
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
    let detector = Detector::new(membership, me, clock.now(), rand::random());
    let replica = Replica::default();
    let in_force = InForce::new(Arc::clone(replica.current()));
    let mut intake = Intake::new(options.vm.clone(), boot, Policy::default(), clock.now());
    intake.scheduler_mut().set_link(settings.link());
    let control = Control {
        detector,
        replica,
        spreader: pull::Scheduler::default(),
        reporter: Reporter::default(),
        history: History::default(),
        reporter_since: None,
        freshness: Freshness::default(),
        applied_ms: 0,
        last_rejection: None,
        waiting: Some("catching up".to_owned()),
        store_down: None,
    };
    Shared {
        store: Client::new(&settings.endpoints, settings.store_timeout),
        live: ArcSwap::from_pointee(Live::of(&settings)),
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
        departed: Mutex::default(),
        claim_lease: tokio::sync::Mutex::default(),
        slowdown: Slowdown::default(),
        pool: Arc::new(Pool::default()),
        lifecycle: Lifecycle::default(),
        pull: Notify::new(),
    }
}

fn start_api(
    driver: &Arc<Driver>,
    metrics: Option<PrometheusHandle>,
    address: SocketAddr,
) -> Result<HttpServer<api::Context>, StartError> {
    let description = api::description().map_err(|e| StartError::Api(e.to_string()))?;
    let context = api::Context { driver: Arc::clone(driver), metrics };
    // Its own log lines would repeat ours in another shape.
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
    tokio::spawn(reader::follow(Arc::clone(driver)));
    tokio::spawn(registry::keep(Arc::clone(driver)));
    tokio::spawn(startup::catch_up(Arc::clone(driver)));
    tokio::spawn(target::run_maintenance(Arc::clone(driver)));
}
