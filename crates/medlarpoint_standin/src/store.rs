//! A stand-in for the platform's store, with faults on demand.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use ::http::{HeaderValue, Method, Request, Response, StatusCode};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use indexmap::IndexMap;
use medlarpoint_store::{Expected, Item, Key, Refusal, Revision, Table};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::http::{answer, read, serve};

/// Header that carries the revision of a value.
const REVISION_HEADER: &str = "store-revision";
/// Longest wait of a watch.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// What goes wrong.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Refuses every call with 503.
    pub down: bool,
    /// Takes connections and never answers.
    pub silent: bool,
    /// Delays each answer, in milliseconds.
    pub delay_ms: u64,
    /// Share of writes that take effect and whose answer is lost, in percent.
    pub lose_answers_percent: u8,
    /// Share of writes that are lost before they take effect, in percent.
    pub lose_requests_percent: u8,
}

/// Calls served.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stats {
    /// Reads.
    pub reads: u64,
    /// Writes and deletes.
    pub writes: u64,
    /// Watches.
    pub watches: u64,
    /// Bytes of values sent.
    pub bytes_sent: u64,
}

struct State {
    table: Mutex<Table>,
    faults: Mutex<Faults>,
    stats: Mutex<Stats>,
    rng: Mutex<StdRng>,
    written: watch::Sender<u64>,
    start: Instant,
}

/// A running store.
#[derive(Debug)]
pub struct StoreServer {
    address: SocketAddr,
    state: Arc<State>,
    task: JoinHandle<()>,
}

impl std::fmt::Debug for State {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("State").finish_non_exhaustive()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl StoreServer {
    /// Starts a store; `seed` decides which answers are lost.
    pub async fn start(address: SocketAddr, seed: u64) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(State {
            table: Mutex::default(),
            faults: Mutex::default(),
            stats: Mutex::default(),
            rng: Mutex::new(StdRng::seed_from_u64(seed)),
            written: watch::Sender::new(0),
            start: Instant::now(),
        });
        let task = serve(listener, Arc::clone(&state), handle);
        Ok(Self { address, state, task })
    }

    /// Returns the address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets what goes wrong from now on.
    pub fn set_faults(&self, faults: Faults) {
        *lock(&self.state.faults) = faults;
    }

    /// Returns the calls served so far.
    pub fn stats(&self) -> Stats {
        *lock(&self.state.stats)
    }

    /// Returns a copy of the content, as a backup would.
    pub fn backup(&self) -> Table {
        lock(&self.state.table).clone()
    }

    /// Puts a backup back.
    pub fn restore(&self, backup: Table) {
        lock(&self.state.table).restore(backup);
        self.state.written.send_modify(|count| *count += 1);
    }

    /// Stops the store.
    pub fn close(self) {
        self.task.abort();
    }
}

async fn handle(state: Arc<State>, request: Request<Incoming>) -> Option<Response<Full<Bytes>>> {
    let path = request.uri().path().to_owned();
    match (request.method().clone(), path.as_str()) {
        (Method::PUT, "/control/faults") => {
            let body = read(request.into_body()).await;
            return Some(match serde_json::from_slice(&body) {
                Ok(faults) => {
                    *lock(&state.faults) = faults;
                    answer(StatusCode::NO_CONTENT, "")
                }
                Err(error) => answer(StatusCode::BAD_REQUEST, error.to_string()),
            });
        }
        (Method::GET, "/control/stats") => {
            let stats = *lock(&state.stats);
            return Some(answer(StatusCode::OK, serde_json::to_vec(&stats).unwrap_or_default()));
        }
        _ => {}
    }
    let Some(key) = path.strip_prefix("/v1/kv/").and_then(|key| key.parse::<Key>().ok()) else {
        return Some(answer(StatusCode::NOT_FOUND, "no such key"));
    };
    let faults = *lock(&state.faults);
    if faults.silent {
        std::future::pending::<()>().await;
    }
    if faults.delay_ms > 0 {
        tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
    }
    if faults.down {
        return Some(answer(StatusCode::SERVICE_UNAVAILABLE, "down"));
    }
    let query = parse_query(request.uri().query().unwrap_or_default());
    match *request.method() {
        Method::GET if query.contains_key("after") => Some(watch(&state, &key, &query).await),
        Method::GET => {
            lock(&state.stats).reads += 1;
            let item = lock(&state.table).get(&key, now_ms(&state));
            Some(match item {
                Some(item) => with_value(&state, &item),
                None => answer(StatusCode::NOT_FOUND, ""),
            })
        }
        Method::PUT | Method::DELETE => write(&state, &key, &query, request, faults).await,
        _ => Some(answer(StatusCode::METHOD_NOT_ALLOWED, "")),
    }
}

fn now_ms(state: &State) -> u64 {
    state.start.elapsed().as_millis() as u64
}

fn parse_query(text: &str) -> IndexMap<String, String> {
    let pairs = text.split('&').filter_map(|pair| pair.split_once('='));
    pairs.map(|(name, value)| (name.to_owned(), value.to_owned())).collect()
}

fn with_revision(mut response: Response<Full<Bytes>>, revision: Revision) -> Response<Full<Bytes>> {
    response.headers_mut().insert(REVISION_HEADER, HeaderValue::from(revision.0));
    response
}

fn with_value(state: &State, item: &Item) -> Response<Full<Bytes>> {
    lock(&state.stats).bytes_sent += item.value.len() as u64;
    with_revision(answer(StatusCode::OK, item.value.clone()), item.revision)
}

async fn watch(
    state: &State,
    key: &Key,
    query: &IndexMap<String, String>,
) -> Response<Full<Bytes>> {
    lock(&state.stats).watches += 1;
    let after = query.get("after").and_then(|text| text.parse().ok()).map(Revision);
    let wait = query.get("wait_ms").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut written = state.written.subscribe();
    let deadline = tokio::time::Instant::now() + Duration::from_millis(wait).min(MAX_WAIT);
    loop {
        written.mark_unchanged();
        let item = lock(&state.table).get(key, now_ms(state));
        if let Some(item) = item.filter(|item| Some(item.revision) != after) {
            return with_value(state, &item);
        }
        let changed = tokio::time::timeout_at(deadline, written.changed()).await;
        if !matches!(changed, Ok(Ok(()))) {
            return answer(StatusCode::NOT_MODIFIED, "");
        }
        if lock(&state.faults).down {
            return answer(StatusCode::SERVICE_UNAVAILABLE, "down");
        }
    }
}

async fn write(
    state: &State,
    key: &Key,
    query: &IndexMap<String, String>,
    request: Request<Incoming>,
    faults: Faults,
) -> Option<Response<Full<Bytes>>> {
    lock(&state.stats).writes += 1;
    let delete = request.method() == Method::DELETE;
    let value = read(request.into_body()).await;
    let expected = match query.get("expect").map(String::as_str) {
        Some("absent") => Expected::Absent,
        Some(text) => Expected::Revision(Revision(text.parse().unwrap_or(0))),
        None => return Some(answer(StatusCode::BAD_REQUEST, "expect is missing")),
    };
    let chance = lock(&state.rng).random_range(0..100);
    if chance < faults.lose_requests_percent {
        return None;
    }
    let lease = query.get("lease_ms").and_then(|text| text.parse().ok());
    let now = now_ms(state);
    let result = {
        let mut table = lock(&state.table);
        if delete {
            table.delete(key, expected, now).map(|()| Revision::default())
        } else {
            table.swap(key, expected, value, lease, now)
        }
    };
    if result.is_ok() {
        state.written.send_modify(|count| *count += 1);
    }
    let chance = lock(&state.rng).random_range(0..100);
    if chance < faults.lose_answers_percent {
        return None;
    }
    Some(match result {
        Ok(revision) => with_revision(answer(StatusCode::OK, ""), revision),
        Err(Refusal::Conflict(current)) => {
            let response = answer(StatusCode::PRECONDITION_FAILED, "");
            current.map_or(response.clone(), |revision| with_revision(response, revision))
        }
        Err(refusal @ Refusal::TooLarge) => {
            answer(StatusCode::PAYLOAD_TOO_LARGE, refusal.to_string())
        }
    })
}
