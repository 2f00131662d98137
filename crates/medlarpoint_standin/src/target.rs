//! A stand-in target.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
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
use tokio::sync::Semaphore;
use tokio::task::JoinHandle;

use crate::http::{HttpClient, answer, read, serve};
use crate::{Execution, ExecutionLog};

/// Time between announcements.
const ANNOUNCE_PERIOD: Duration = Duration::from_secs(2);

/// How long a target works on a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceTime {
    /// Mean service time; requests vary between half and one and a half.
    pub mean: Duration,
    /// Factor by which it is slower at the moment.
    pub slowdown: f64,
}

/// Options of a target.
#[derive(Clone, Debug)]
pub struct TargetOptions {
    /// Name in the ledger.
    pub name: String,
    /// Requests it runs at a time; others wait in its own queue.
    pub slots: u32,
    /// How long it works.
    pub service_time: ServiceTime,
    /// Seed of the variation.
    pub seed: u64,
}

struct State {
    options: TargetOptions,
    service_time: Mutex<ServiceTime>,
    slots: Semaphore,
    ledger: ExecutionLog,
    rng: Mutex<StdRng>,
    requests_started: AtomicU64,
    /// Time by which timers have overshot so far, taken off the work that
    /// follows, so that the mean is as set.
    overshot: Mutex<Duration>,
}

impl std::fmt::Debug for State {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("State").field("options", &self.options).finish_non_exhaustive()
    }
}

impl State {
    async fn work(&self, work: Duration) {
        let credit = {
            let mut overshot = self.overshot.lock().unwrap_or_else(PoisonError::into_inner);
            let credit = work.min(*overshot);
            *overshot -= credit;
            credit
        };
        let wanted = work.saturating_sub(credit);
        let start = Instant::now();
        if !wanted.is_zero() {
            tokio::time::sleep(wanted).await;
        }
        let over = start.elapsed().saturating_sub(wanted);
        *self.overshot.lock().unwrap_or_else(PoisonError::into_inner) += over;
    }
}

/// A running target.
#[derive(Debug)]
pub struct TargetServer {
    address: SocketAddr,
    state: Arc<State>,
    task: JoinHandle<()>,
}

impl TargetServer {
    /// Starts a target that notes its executions in `ledger`.
    pub async fn start(
        address: SocketAddr,
        options: TargetOptions,
        ledger: ExecutionLog,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(State {
            service_time: Mutex::new(options.service_time),
            slots: Semaphore::new(options.slots as usize),
            ledger,
            rng: Mutex::new(StdRng::seed_from_u64(options.seed)),
            requests_started: AtomicU64::new(0),
            overshot: Mutex::default(),
            options,
        });
        let task = serve(listener, Arc::clone(&state), handle);
        Ok(Self { address, state, task })
    }

    /// Returns the address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Makes the target slower or faster from now on.
    pub fn set_slowdown(&self, factor: f64) {
        self.state.service_time.lock().unwrap_or_else(PoisonError::into_inner).slowdown = factor;
    }

    /// Returns the number of requests it has begun.
    pub fn requests_started(&self) -> u64 {
        self.state.requests_started.load(Ordering::Relaxed)
    }

    /// Stops the target; its connections break.
    pub fn close(self) {
        self.task.abort();
    }
}

fn number(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

async fn handle(state: Arc<State>, request: Request<Incoming>) -> Option<Response<Full<Bytes>>> {
    let (parts, body) = request.into_parts();
    let body = read(body).await;
    let Ok(_slot) = state.slots.acquire().await else {
        return None;
    };
    state.requests_started.fetch_add(1, Ordering::Relaxed);
    let identity = parts.headers.get("x-request-id").and_then(|v| v.to_str().ok());
    if let Some(request) = identity {
        let keyed = parts.headers.contains_key("idempotency-key");
        let run =
            Execution { keyed, request: request.to_owned(), target: state.options.name.clone() };
        state.ledger.record(run);
    }
    let service_time = *state.service_time.lock().unwrap_or_else(PoisonError::into_inner);
    let asked = number(&parts.headers, "x-work-us").map(Duration::from_micros);
    let vary = {
        let mut rng = state.rng.lock().unwrap_or_else(PoisonError::into_inner);
        rng.random_range(0.5..1.5)
    };
    let work = asked.unwrap_or(service_time.mean).mul_f64(vary * service_time.slowdown);
    if !work.is_zero() {
        state.work(work).await;
    }
    let size = number(&parts.headers, "x-answer-bytes").unwrap_or(0) as usize;
    let mut text = format!("{} {} {}\n", state.options.name, identity.unwrap_or("-"), body.len());
    text.extend(std::iter::repeat_n('.', size.saturating_sub(text.len())));
    Some(answer(StatusCode::OK, text))
}

/// Announces a target to its daemon, again and again.
#[derive(Debug)]
pub struct Announcer {
    task: JoinHandle<()>,
}

impl Announcer {
    /// Starts to announce.
    pub fn start(api: SocketAddr, service: Name, address: SocketAddr, slots: u32) -> Self {
        let http = HttpClient::new(Duration::from_secs(1));
        let target = Target { service, address, slots, connections: slots.max(120) };
        let task = tokio::spawn(async move {
            loop {
                // A daemon that does not answer is asked again.
                let sent = http.json(Method::PUT, api, "/v1/target", &target).await;
                let wait = if sent.is_ok() { ANNOUNCE_PERIOD } else { ANNOUNCE_PERIOD / 10 };
                tokio::time::sleep(wait).await;
            }
        });
        Self { task }
    }

    /// Stops announcing.
    pub fn close(self) {
        self.task.abort();
    }
}
