//! Stand-in target with a configurable service time.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use ::http::{HeaderMap, Method, Request, Response, StatusCode};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use medlarpoint_api::Target;
use medlarpoint_model::Name;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::net::TcpListener;
use tokio::sync::{Notify, Semaphore, watch};
use tokio::task::JoinHandle;

use crate::http::{HttpClient, read_body, respond, serve};
use crate::{Execution, ExecutionLog};

/// Interval between announcements.
const ANNOUNCE_PERIOD: Duration = Duration::from_secs(2);

/// Query of a request that crashes each target that begins to run it.
pub const CRASH_QUERY: &str = "crash";
/// Time from the start of a request that crashes its target to the crash.
const CRASH_DELAY: Duration = Duration::from_millis(20);
/// Time from the crash of a target to the close of its connections.
const CLOSE_DELAY: Duration = Duration::from_millis(5);
/// Wait before a crashed target tries again to bind its address.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Service time of the requests of a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceTime {
    /// Mean service time. Each request takes between 0.5 and 1.5 times the mean.
    pub mean: Duration,
    /// Current factor on the service time; 1.0 is the normal speed.
    pub slowdown: f64,
}

/// Options of a target.
#[derive(Clone, Debug)]
pub struct TargetOptions {
    /// Name in the execution log and in responses.
    pub name: String,
    /// Maximum number of requests that run at a time; others wait in the queue of the
    /// target.
    pub slots: u32,
    /// Service time of a request.
    pub service_time: ServiceTime,
    /// Seed of the variation of service times.
    pub seed: u64,
    /// Time for which the target is away after a crash.
    pub restart_after: Duration,
}

struct State {
    options: TargetOptions,
    service_time: Mutex<ServiceTime>,
    slots: Semaphore,
    log: ExecutionLog,
    rng: Mutex<StdRng>,
    requests_started: AtomicU64,
    crashes: AtomicU64,
    /// Time for which the address still accepts connections after a crash.
    accept_after_crash: Mutex<Duration>,
    /// Whether requests with [`CRASH_QUERY`] are served like others.
    mended: AtomicBool,
    /// Wakes the task that crashes the target.
    crash: Notify,
    /// Whether the target is away after a crash.
    away: watch::Sender<bool>,
    /// Time by which timers have fired late. It is subtracted from the service time of
    /// later requests, so that the mean stays as configured.
    timer_overshoot: Mutex<Duration>,
}

impl std::fmt::Debug for State {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("State").field("options", &self.options).finish_non_exhaustive()
    }
}

impl State {
    /// Waits for the service time of a request.
    async fn work(&self, work: Duration) {
        let credit = {
            let mut overshoot = self.timer_overshoot.lock().unwrap_or_else(PoisonError::into_inner);
            let credit = work.min(*overshoot);
            *overshoot -= credit;
            credit
        };
        let wanted = work.saturating_sub(credit);
        let start = Instant::now();
        if !wanted.is_zero() {
            tokio::time::sleep(wanted).await;
        }
        let late = start.elapsed().saturating_sub(wanted);
        *self.timer_overshoot.lock().unwrap_or_else(PoisonError::into_inner) += late;
    }
}

/// A running target server.
#[derive(Debug)]
pub struct TargetServer {
    address: SocketAddr,
    state: Arc<State>,
    task: JoinHandle<()>,
}

impl TargetServer {
    /// Starts a target that records its executions in `log`.
    pub async fn start(
        address: SocketAddr,
        options: TargetOptions,
        log: ExecutionLog,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(State {
            service_time: Mutex::new(options.service_time),
            slots: Semaphore::new(options.slots as usize),
            log,
            rng: Mutex::new(StdRng::seed_from_u64(options.seed)),
            requests_started: AtomicU64::new(0),
            crashes: AtomicU64::new(0),
            accept_after_crash: Mutex::default(),
            mended: AtomicBool::new(false),
            crash: Notify::new(),
            away: watch::Sender::new(false),
            timer_overshoot: Mutex::default(),
            options,
        });
        let task = tokio::spawn(run(listener, address, Arc::clone(&state)));
        Ok(Self { address, state, task })
    }

    /// Returns the address that the target listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the factor on the service time of later requests.
    pub fn set_slowdown(&self, factor: f64) {
        self.state.service_time.lock().unwrap_or_else(PoisonError::into_inner).slowdown = factor;
    }

    /// Sets the time for which the address still accepts connections after a crash, as with
    /// a socket that a supervisor holds.
    pub fn set_accept_after_crash(&self, time: Duration) {
        *self.state.accept_after_crash.lock().unwrap_or_else(PoisonError::into_inner) = time;
    }

    /// Returns the number of requests that have started to run.
    pub fn requests_started(&self) -> u64 {
        self.state.requests_started.load(Ordering::Relaxed)
    }

    /// Returns how often the target has crashed.
    pub fn crashes(&self) -> u64 {
        self.state.crashes.load(Ordering::Relaxed)
    }

    /// Returns a channel that holds whether the target is away after a crash.
    pub fn away(&self) -> watch::Receiver<bool> {
        self.state.away.subscribe()
    }

    /// Makes the target serve requests that have crashed it, as a fixed release does.
    pub fn mend(&self) {
        self.state.mended.store(true, Ordering::Relaxed);
    }

    /// Stops the target and closes its connections abruptly.
    pub fn close(self) {
        self.task.abort();
    }
}

/// Serves requests. After each crash the target is away for a time and starts again on the
/// same address.
async fn run(mut listener: TcpListener, address: SocketAddr, state: Arc<State>) {
    loop {
        // A duplicate of the socket keeps it open after the task that serves it has ended.
        let socket = listener.into_std().expect("a registered socket");
        let held = socket.try_clone().expect("a listening socket can be duplicated");
        let served = TcpListener::from_std(socket).expect("a non-blocking socket");
        let serving = AbortOnDrop(serve(served, Arc::clone(&state), handle));
        state.crash.notified().await;
        state.crashes.fetch_add(1, Ordering::Relaxed);
        state.away.send_replace(true);
        let accept_after = *state.accept_after_crash.lock().unwrap_or_else(PoisonError::into_inner);
        if accept_after.is_zero() {
            // What stands between a daemon and this target refuses connections first.
            tokio::time::sleep(CLOSE_DELAY).await;
        }
        drop(serving);
        if !accept_after.is_zero() {
            tokio::time::sleep(accept_after).await;
        }
        drop(held);
        tokio::time::sleep(state.options.restart_after).await;
        listener = loop {
            match TcpListener::bind(address).await {
                Ok(listener) => break listener,
                // The aborted task has not closed the old listener yet.
                Err(_) => tokio::time::sleep(BIND_RETRY_INTERVAL).await,
            }
        };
        state.away.send_replace(false);
    }
}

/// Aborts a task when it is dropped.
struct AbortOnDrop(JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Returns the number in a header.
fn header_number(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

async fn handle(state: Arc<State>, request: Request<Incoming>) -> Option<Response<Full<Bytes>>> {
    let (parts, body) = request.into_parts();
    let body = read_body(body).await;
    let Ok(_slot) = state.slots.acquire().await else {
        return None;
    };
    state.requests_started.fetch_add(1, Ordering::Relaxed);
    let identity = parts.headers.get("x-request-id").and_then(|v| v.to_str().ok());
    if let Some(request) = identity {
        let keyed = parts.headers.contains_key("idempotency-key");
        let (request, target) = (request.to_owned(), state.options.name.clone());
        let execution = Execution { keyed, request, target, at: Instant::now() };
        state.log.record(execution);
    }
    let crashes = parts.uri.query() == Some(CRASH_QUERY) && !state.mended.load(Ordering::Relaxed);
    if crashes {
        tokio::time::sleep(CRASH_DELAY).await;
        state.crash.notify_waiters();
        return std::future::pending().await;
    }
    let service_time = *state.service_time.lock().unwrap_or_else(PoisonError::into_inner);
    let requested = header_number(&parts.headers, "x-work-us").map(Duration::from_micros);
    let variation = {
        let mut rng = state.rng.lock().unwrap_or_else(PoisonError::into_inner);
        rng.random_range(0.5..1.5)
    };
    let work = requested.unwrap_or(service_time.mean).mul_f64(variation * service_time.slowdown);
    if !work.is_zero() {
        state.work(work).await;
    }
    let size = header_number(&parts.headers, "x-answer-bytes").unwrap_or(0) as usize;
    let mut text = format!("{} {} {}\n", state.options.name, identity.unwrap_or("-"), body.len());
    text.extend(std::iter::repeat_n('.', size.saturating_sub(text.len())));
    Some(respond(StatusCode::OK, text))
}

/// Announces a target to its daemon periodically.
#[derive(Debug)]
pub struct Announcer {
    task: JoinHandle<()>,
}

impl Announcer {
    /// Starts the announcements.
    pub fn start(api: SocketAddr, service: Name, address: SocketAddr, slots: u32) -> Self {
        let http = HttpClient::new(Duration::from_secs(1));
        let version = None;
        let target = Target { service, address, slots, connections: slots.max(120), version };
        let task = tokio::spawn(async move {
            loop {
                // A failed announcement is repeated sooner.
                let sent = http.json(Method::PUT, api, "/v1/target", &target).await;
                let wait = if sent.is_ok() { ANNOUNCE_PERIOD } else { ANNOUNCE_PERIOD / 10 };
                tokio::time::sleep(wait).await;
            }
        });
        Self { task }
    }

    /// Stops the announcements.
    pub fn close(self) {
        self.task.abort();
    }
}
