//! Callers of a soak, which keep their connections open and record the outcome
//! of every call.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Method, Request, Response};
use http_body_util::Full;
use medlarpoint_standin::{HttpClient, HttpError};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Limit on the wait for a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(8);
/// Limit on the pause between two calls, in milliseconds.
const MAX_PAUSE_MS: u64 = 60;
/// Size of a large response, in bytes.
const LARGE_RESPONSE_BYTES: usize = 60_000;

/// Pause between two calls that crash their targets.
const FATAL_PAUSE: Duration = Duration::from_millis(250);

/// Operation that a caller requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Operation {
    /// A lookup, on a repeatable route.
    Lookup,
    /// A lookup with a large response.
    LargeLookup,
    /// An order with an idempotency key.
    KeyedOrder,
    /// An order without an idempotency key.
    Order,
    /// A lookup that crashes each target that runs it.
    FatalLookup,
}

/// Outcome of a call, as its caller observed it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// A response with a success status.
    Responded {
        /// Whether the response is complete and belongs to this call.
        correct: bool,
    },
    /// The call did not run.
    NotRun,
    /// The call did not run, because targets have crashed under it.
    BackedOff,
    /// The call may have run.
    Unknown,
    /// No response: the connection could not be opened, or it broke.
    Failed(String),
}

/// A call that has ended, with its outcome.
#[derive(Clone, Debug)]
pub(crate) struct CallRecord {
    pub(crate) id: String,
    pub(crate) operation: Operation,
    /// Number of the VM that was called last.
    pub(crate) vm: usize,
    /// Time of sending, since the start of the soak.
    pub(crate) sent_at: Duration,
    /// Time of the outcome, since the start of the soak.
    pub(crate) ended_at: Duration,
    pub(crate) outcome: Outcome,
    /// Whether the call was sent again, to another VM.
    pub(crate) resent: bool,
}

/// A caller; its clones share their records and the stop flag.
#[derive(Clone, Debug)]
pub(crate) struct Caller {
    /// Address for callers of each VM.
    pub(crate) addresses: Arc<Vec<SocketAddr>>,
    pub(crate) records: Arc<Mutex<Vec<CallRecord>>>,
    pub(crate) start: Instant,
    pub(crate) stop: Arc<AtomicBool>,
}

impl Caller {
    /// Calls one VM in a loop until `stop` is set.
    pub(crate) async fn run(self, vm: usize, seed: u64) {
        let http = HttpClient::new(RESPONSE_TIMEOUT);
        let mut rng = StdRng::seed_from_u64(seed);
        let mut count = 0;
        while !self.stop.load(Ordering::Acquire) {
            let operation = match rng.random_range(0..10) {
                0..5 => Operation::Lookup,
                5 => Operation::LargeLookup,
                6..8 => Operation::KeyedOrder,
                _ => Operation::Order,
            };
            let id = format!("{vm}-{seed}-{count}");
            count += 1;
            let record = self.call(&http, vm, operation, id).await;
            self.records.lock().unwrap_or_else(PoisonError::into_inner).push(record);
            let pause = Duration::from_millis(rng.random_range(0..MAX_PAUSE_MS));
            tokio::time::sleep(pause).await;
        }
    }

    /// Sends a call that crashes its targets to one VM after another until `stop` is set.
    pub(crate) async fn run_fatal(self, seed: u64) {
        let http = HttpClient::new(RESPONSE_TIMEOUT);
        let mut rng = StdRng::seed_from_u64(seed);
        let mut count = 0;
        while !self.stop.load(Ordering::Acquire) {
            let vm = rng.random_range(0..self.addresses.len());
            let id = format!("fatal-{seed}-{count}");
            count += 1;
            let record = self.call(&http, vm, Operation::FatalLookup, id).await;
            self.records.lock().unwrap_or_else(PoisonError::into_inner).push(record);
            tokio::time::sleep(FATAL_PAUSE).await;
        }
    }

    /// Makes one call. A keyed order whose outcome is unclear is sent again, to
    /// the next VM.
    pub(crate) async fn call(
        &self,
        http: &HttpClient,
        vm: usize,
        operation: Operation,
        id: String,
    ) -> CallRecord {
        let sent_at = self.start.elapsed();
        let (mut vm, mut resent) = (vm, false);
        let mut outcome = self.send(http, vm, operation, &id).await;
        if operation == Operation::KeyedOrder
            && matches!(outcome, Outcome::Unknown | Outcome::Failed(_))
        {
            vm = (vm + 1) % self.addresses.len();
            resent = true;
            outcome = self.send(http, vm, operation, &id).await;
        }
        CallRecord { id, operation, vm, sent_at, ended_at: self.start.elapsed(), outcome, resent }
    }

    async fn send(&self, http: &HttpClient, vm: usize, operation: Operation, id: &str) -> Outcome {
        let Some(request) = request(self.addresses[vm], operation, id) else {
            return Outcome::Failed("the request cannot be built".to_owned());
        };
        outcome(operation, id, http.send(request).await)
    }
}

fn request(address: SocketAddr, operation: Operation, id: &str) -> Option<Request<Full<Bytes>>> {
    let (method, host, path) = match operation {
        Operation::Lookup => (Method::GET, "archive.talskrivarna", "/lookup"),
        Operation::FatalLookup => (Method::GET, "archive.talskrivarna", "/lookup?crash"),
        Operation::LargeLookup => (Method::GET, "delivery.talskrivarna", "/packs/1"),
        Operation::KeyedOrder | Operation::Order => {
            (Method::POST, "orders.talskrivarna", "/orders")
        }
    };
    let mut request = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header(http::header::HOST, host)
        .header("x-request-id", id);
    if operation == Operation::KeyedOrder {
        request = request.header("idempotency-key", id);
    }
    if operation == Operation::LargeLookup {
        request = request.header("x-answer-bytes", LARGE_RESPONSE_BYTES);
    }
    request.body(Full::new(Bytes::new())).ok()
}

fn outcome(operation: Operation, id: &str, result: Result<Response<Bytes>, HttpError>) -> Outcome {
    let response = match result {
        Ok(response) => response,
        Err(error) => return Outcome::Failed(error.to_string()),
    };
    if response.status().is_success() {
        return Outcome::Responded { correct: is_correct(operation, id, response.body()) };
    }
    let point = response.headers().get("medlarpoint-point");
    if point.is_some_and(|value| value == "crash-backoff") {
        return Outcome::BackedOff;
    }
    let header = response.headers().get("medlarpoint-outcome");
    if header.is_some_and(|value| value == "not-run") { Outcome::NotRun } else { Outcome::Unknown }
}

/// Returns whether a response is complete and belongs to call `id`.
fn is_correct(operation: Operation, id: &str, body: &Bytes) -> bool {
    let text = String::from_utf8_lossy(body);
    let named = text.split_whitespace().nth(1) == Some(id);
    let complete = match operation {
        Operation::LargeLookup => body.len() == LARGE_RESPONSE_BYTES,
        Operation::Lookup | Operation::KeyedOrder | Operation::Order | Operation::FatalLookup => {
            text.ends_with('\n')
        }
    };
    named && complete
}
