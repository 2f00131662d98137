//! Callers of a soak: they keep their connections open and note what they are
//! told.

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

/// Longest wait for an answer.
const PATIENCE: Duration = Duration::from_secs(8);
/// Longest pause between two calls, in milliseconds.
const MAX_PAUSE_MS: u64 = 60;
/// Size of a large answer, in bytes.
const LARGE_BYTES: usize = 60_000;

/// What is called.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    /// A lookup, which may be repeated.
    Lookup,
    /// A lookup with a large answer.
    Pack,
    /// An order with an idempotency key.
    Keyed,
    /// An order without one.
    Order,
}

/// What a caller was told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum End {
    /// A good answer.
    Answered {
        /// It is the whole answer to this call.
        own: bool,
    },
    /// The call did not run.
    NotRun,
    /// It may have run.
    Unknown,
    /// No answer: the connection could not be made or broke.
    Broken(String),
}

/// A call that has ended.
#[derive(Clone, Debug)]
pub(crate) struct Ended {
    pub(crate) id: String,
    pub(crate) kind: Kind,
    /// Number of the VM that was called last.
    pub(crate) vm: usize,
    /// Time since the start of the soak.
    pub(crate) sent: Duration,
    pub(crate) over: Duration,
    pub(crate) end: End,
    /// It was sent more than once, to other VMs.
    pub(crate) resent: bool,
}

/// What all callers of a soak share.
#[derive(Clone, Debug)]
pub(crate) struct Desk {
    pub(crate) addresses: Arc<Vec<SocketAddr>>,
    pub(crate) ended: Arc<Mutex<Vec<Ended>>>,
    pub(crate) start: Instant,
    pub(crate) stop: Arc<AtomicBool>,
}

impl Desk {
    /// Calls one VM again and again until told to stop.
    pub(crate) async fn call(self, vm: usize, seed: u64) {
        let http = HttpClient::new(PATIENCE);
        let mut rng = StdRng::seed_from_u64(seed);
        let mut count = 0;
        while !self.stop.load(Ordering::Acquire) {
            let kind = match rng.random_range(0..10) {
                0..5 => Kind::Lookup,
                5 => Kind::Pack,
                6..8 => Kind::Keyed,
                _ => Kind::Order,
            };
            let id = format!("{vm}-{seed}-{count}");
            count += 1;
            let ended = self.one(&http, vm, kind, id).await;
            self.ended.lock().unwrap_or_else(PoisonError::into_inner).push(ended);
            let pause = Duration::from_millis(rng.random_range(0..MAX_PAUSE_MS));
            tokio::time::sleep(pause).await;
        }
    }

    /// Makes one call. A keyed one without a clear end goes to the next VM.
    pub(crate) async fn one(&self, http: &HttpClient, vm: usize, kind: Kind, id: String) -> Ended {
        let sent = self.start.elapsed();
        let (mut vm, mut resent) = (vm, false);
        let mut end = self.send(http, vm, kind, &id).await;
        if kind == Kind::Keyed && matches!(end, End::Unknown | End::Broken(_)) {
            vm = (vm + 1) % self.addresses.len();
            resent = true;
            end = self.send(http, vm, kind, &id).await;
        }
        Ended { id, kind, vm, sent, over: self.start.elapsed(), end, resent }
    }

    async fn send(&self, http: &HttpClient, vm: usize, kind: Kind, id: &str) -> End {
        let Some(request) = request(self.addresses[vm], kind, id) else {
            return End::Broken("the request cannot be built".to_owned());
        };
        told(kind, id, http.send(request).await)
    }
}

fn request(address: SocketAddr, kind: Kind, id: &str) -> Option<Request<Full<Bytes>>> {
    let (method, host, path) = match kind {
        Kind::Lookup => (Method::GET, "archive.talskrivarna", "/lookup"),
        Kind::Pack => (Method::GET, "delivery.talskrivarna", "/packs/1"),
        Kind::Keyed | Kind::Order => (Method::POST, "orders.talskrivarna", "/orders"),
    };
    let mut request = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header(http::header::HOST, host)
        .header("x-request-id", id);
    if kind == Kind::Keyed {
        request = request.header("idempotency-key", id);
    }
    if kind == Kind::Pack {
        request = request.header("x-answer-bytes", LARGE_BYTES);
    }
    request.body(Full::new(Bytes::new())).ok()
}

fn told(kind: Kind, id: &str, result: Result<Response<Bytes>, HttpError>) -> End {
    let response = match result {
        Ok(response) => response,
        Err(error) => return End::Broken(error.to_string()),
    };
    if response.status().is_success() {
        return End::Answered { own: is_own(kind, id, response.body()) };
    }
    let outcome = response.headers().get("medlarpoint-outcome");
    if outcome.is_some_and(|outcome| outcome == "not-run") { End::NotRun } else { End::Unknown }
}

/// Tells whether an answer is the whole one to this call.
fn is_own(kind: Kind, id: &str, body: &Bytes) -> bool {
    let text = String::from_utf8_lossy(body);
    let named = text.split_whitespace().nth(1) == Some(id);
    let whole = match kind {
        Kind::Pack => body.len() == LARGE_BYTES,
        Kind::Lookup | Kind::Keyed | Kind::Order => text.ends_with('\n'),
    };
    named && whole
}
