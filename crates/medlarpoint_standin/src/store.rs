//! In-memory stand-in for the platform's store, with fault injection.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use ::http::{Method, Request, Response, StatusCode};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use medlarpoint_platform::store::wire::{
    self, Conflict, Events, Lease, Operation, Page, Row, Transaction, TransactionResponse,
};
use medlarpoint_store::{Expected, Key, LeaseId, Listing, MemoryStore, Rejection, Revision};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::http::{read_body, respond, serve};

/// Maximum number of values on a page of a listing.
const PAGE_ITEMS: usize = 500;
/// Limit on the time that a watch waits for changes.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// Injected faults.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Rejects every request with status 503.
    pub down: bool,
    /// Accepts connections and never responds.
    pub silent: bool,
    /// Delay of each response, in milliseconds.
    pub delay_ms: u64,
    /// Share of writes that take effect and whose response is lost, in percent.
    pub lose_answers_percent: u8,
    /// Share of writes that are lost before they take effect, in percent.
    pub lose_requests_percent: u8,
}

/// Number of requests served, by type.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stats {
    /// Number of reads and listings.
    pub reads: u64,
    /// Number of transactions and lease requests.
    pub writes: u64,
    /// Number of watches.
    pub watches: u64,
    /// Bytes of values sent to clients.
    pub bytes_sent: u64,
}

struct State {
    store: Mutex<MemoryStore>,
    faults: Mutex<Faults>,
    stats: Mutex<Stats>,
    rng: Mutex<StdRng>,
    write_count: watch::Sender<u64>,
    start: Instant,
}

/// A running store server.
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
    /// Starts a store. `seed` determines which requests and responses are lost.
    pub async fn start(address: SocketAddr, seed: u64) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(State {
            store: Mutex::default(),
            faults: Mutex::default(),
            stats: Mutex::default(),
            rng: Mutex::new(StdRng::seed_from_u64(seed)),
            write_count: watch::Sender::new(0),
            start: Instant::now(),
        });
        let task = serve(listener, Arc::clone(&state), handle);
        Ok(Self { address, state, task })
    }

    /// Returns the address that the store listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: Faults) {
        *lock(&self.state.faults) = faults;
    }

    /// Returns the numbers of requests served so far.
    pub fn stats(&self) -> Stats {
        *lock(&self.state.stats)
    }

    /// Publishes the operator's document.
    pub fn publish(&self, document: impl Into<Bytes>) {
        self.put(&medlarpoint_platform::operator::key(), document);
    }

    /// Writes a value, as any other writer may.
    pub fn put(&self, key: &Key, value: impl Into<Bytes>) {
        // Without a condition or a lease, a write is rejected only for its size.
        let _ = lock(&self.state.store).put(key, Expected::Any, value.into(), None);
        self.state.notify_watches();
    }

    /// Returns the values whose keys begin with a prefix.
    pub fn list(&self, prefix: &Key) -> Listing {
        lock(&self.state.store).list(prefix.as_str())
    }

    /// Discards the history of changes, as a compaction does.
    pub fn compact(&self) {
        lock(&self.state.store).compact();
    }

    /// Ends all leases, as an outage does during which they run out.
    pub fn expire_leases(&self) {
        if lock(&self.state.store).expire(u64::MAX) {
            self.state.notify_watches();
        }
    }

    /// Returns a copy of the content, as a backup does.
    pub fn backup(&self) -> MemoryStore {
        lock(&self.state.store).clone()
    }

    /// Replaces the content with a backup.
    pub fn restore(&self, backup: MemoryStore) {
        lock(&self.state.store).restore(backup);
        self.state.write_count.send_modify(|count| *count += 1);
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
            let body = read_body(request.into_body()).await;
            return Some(match serde_json::from_slice(&body) {
                Ok(faults) => {
                    *lock(&state.faults) = faults;
                    respond(StatusCode::NO_CONTENT, "")
                }
                Err(error) => respond(StatusCode::BAD_REQUEST, error.to_string()),
            });
        }
        (Method::GET, "/control/stats") => {
            let stats = *lock(&state.stats);
            return Some(respond(StatusCode::OK, serde_json::to_vec(&stats).unwrap_or_default()));
        }
        _ => {}
    }
    let faults = *lock(&state.faults);
    if faults.silent {
        std::future::pending::<()>().await;
    }
    if faults.delay_ms > 0 {
        tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
    }
    if faults.down {
        return Some(respond(StatusCode::SERVICE_UNAVAILABLE, "down"));
    }
    let (parts, body) = request.into_parts();
    let body = read_body(body).await;
    let query = parts.uri.query().unwrap_or_default();
    let operation = match Operation::parse(&parts.method, &path, query, &body) {
        Ok(operation) => operation,
        Err(error) => return Some(respond(StatusCode::BAD_REQUEST, error.to_string())),
    };
    state.expire();
    let mut response = execute(&state, operation, faults).await?;
    let era = lock(&state.store).era();
    wire::set_era(response.headers_mut(), era);
    Some(response)
}

async fn execute(
    state: &State,
    operation: Operation,
    faults: Faults,
) -> Option<Response<Full<Bytes>>> {
    match operation {
        Operation::Get { key } => Some(get(state, &key)),
        Operation::Range { prefix, after, maybe_stale: _ } => {
            Some(range(state, &prefix, after.as_deref()))
        }
        Operation::Watch { prefix, after, wait } => Some(watch(state, &prefix, after, wait).await),
        Operation::Transaction(_)
        | Operation::Grant { .. }
        | Operation::Renew(_)
        | Operation::Revoke(_) => write(state, operation, faults),
    }
}

impl State {
    fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Ends expired leases and notifies the watches if there were any.
    fn expire(&self) {
        if lock(&self.store).expire(self.now_ms()) {
            self.notify_watches();
        }
    }

    /// Wakes the watches to look for changes.
    fn notify_watches(&self) {
        self.write_count.send_modify(|count| *count += 1);
    }

    fn count_bytes_sent(&self, rows: &[Row]) {
        lock(&self.stats).bytes_sent += rows.iter().map(|row| row.value.len() as u64).sum::<u64>();
    }
}

fn get(state: &State, key: &Key) -> Response<Full<Bytes>> {
    lock(&state.stats).reads += 1;
    let store = lock(&state.store);
    let Some(item) = store.get(key) else {
        return wire::empty_response(StatusCode::NOT_FOUND);
    };
    let mut row = Row::from_item(key, &item, store.lease_of(key));
    row.current = store.list("").current.revision;
    state.count_bytes_sent(std::slice::from_ref(&row));
    wire::json_response(StatusCode::OK, &row)
}

fn range(state: &State, prefix: &str, after: Option<&str>) -> Response<Full<Bytes>> {
    lock(&state.stats).reads += 1;
    let store = lock(&state.store);
    let listing = store.list(prefix);
    let later =
        listing.items.iter().filter(|(key, _)| after.is_none_or(|after| key.as_str() > after));
    let mut items: Vec<Row> =
        later.map(|(key, item)| Row::from_item(key, item, store.lease_of(key))).collect();
    let has_more = items.len() > PAGE_ITEMS;
    items.truncate(PAGE_ITEMS);
    state.count_bytes_sent(&items);
    wire::json_response(
        StatusCode::OK,
        &Page { items: items.into(), has_more, current: listing.current.revision },
    )
}

async fn watch(
    state: &State,
    prefix: &str,
    after: Revision,
    wait: Duration,
) -> Response<Full<Bytes>> {
    lock(&state.stats).watches += 1;
    let mut writes = state.write_count.subscribe();
    let deadline = tokio::time::Instant::now() + wait.min(MAX_WAIT);
    loop {
        writes.mark_unchanged();
        let found = lock(&state.store).changes(prefix, after);
        let Ok(found) = found else {
            return wire::empty_response(StatusCode::GONE);
        };
        let rows: Vec<Row> = found.changes.iter().map(Row::from_change).collect();
        let is_empty = rows.is_empty();
        state.count_bytes_sent(&rows);
        let events = Events { events: rows.into(), current: found.current.revision };
        if !is_empty {
            return wire::json_response(StatusCode::OK, &events);
        }
        let changed = tokio::time::timeout_at(deadline, writes.changed()).await;
        if !matches!(changed, Ok(Ok(()))) {
            return wire::json_response(StatusCode::OK, &events);
        }
        if lock(&state.faults).down {
            return respond(StatusCode::SERVICE_UNAVAILABLE, "down");
        }
    }
}

fn write(state: &State, operation: Operation, faults: Faults) -> Option<Response<Full<Bytes>>> {
    lock(&state.stats).writes += 1;
    let is_lost = |percent: u8| lock(&state.rng).random_range(0..100) < percent;
    if is_lost(faults.lose_requests_percent) {
        return None;
    }
    let response = match operation {
        Operation::Transaction(transaction) => transact(state, &transaction),
        Operation::Grant { ttl } => {
            let lease = lock(&state.store).grant(ttl.as_millis() as u64, state.now_ms());
            wire::json_response(
                StatusCode::OK,
                &Lease { lease: Some(lease), ttl_s: ttl.as_secs_f64() },
            )
        }
        Operation::Renew(lease) => {
            let renewed = lock(&state.store).renew(lease, state.now_ms());
            match renewed {
                Ok(ttl_ms) => {
                    let ttl_s = ttl_ms as f64 / 1e3;
                    wire::json_response(StatusCode::OK, &Lease { lease: None, ttl_s })
                }
                Err(_) => wire::empty_response(StatusCode::NOT_FOUND),
            }
        }
        Operation::Revoke(lease) => match lock(&state.store).revoke(lease) {
            Ok(()) => wire::empty_response(StatusCode::OK),
            Err(_) => wire::empty_response(StatusCode::NOT_FOUND),
        },
        Operation::Get { .. } | Operation::Range { .. } | Operation::Watch { .. } => {
            wire::empty_response(StatusCode::METHOD_NOT_ALLOWED)
        }
    };
    if response.status() == StatusCode::OK {
        state.notify_watches();
    }
    if is_lost(faults.lose_answers_percent) {
        return None;
    }
    Some(response)
}

/// Applies all writes of a transaction or none.
fn transact(state: &State, transaction: &Transaction) -> Response<Full<Bytes>> {
    let mut store = lock(&state.store);
    for condition in &transaction.expected {
        let Ok(key) = condition.key.parse::<Key>() else {
            return respond(StatusCode::BAD_REQUEST, "invalid key");
        };
        let expected = match condition.revision {
            Revision(0) => Expected::Absent,
            revision => Expected::Revision(revision),
        };
        if store.check(&key, expected).is_err() {
            let row = store.get(&key).map(|item| Row::from_item(&key, &item, store.lease_of(&key)));
            let row = row.unwrap_or(Row { key: condition.key.clone(), ..Row::default() });
            return wire::json_response(
                StatusCode::PRECONDITION_FAILED,
                &Conflict { items: vec![row].into() },
            );
        }
    }
    let mut next = store.clone();
    let mut revision = Revision::default();
    for put in &transaction.puts {
        let Ok(key) = put.key.parse::<Key>() else {
            return respond(StatusCode::BAD_REQUEST, "invalid key");
        };
        let lease = (put.lease != LeaseId::default()).then_some(put.lease);
        match next.put(&key, Expected::Any, put.value.clone(), lease) {
            Ok(written) => revision = written,
            Err(Rejection::LeaseNotFound) => return wire::empty_response(StatusCode::NOT_FOUND),
            Err(rejection) => return respond(StatusCode::PAYLOAD_TOO_LARGE, rejection.to_string()),
        }
    }
    for key in transaction.deletes.iter().filter_map(|key| key.parse::<Key>().ok()) {
        // Without a condition, a delete is never rejected.
        let _ = next.delete(&key, Expected::Any);
    }
    *store = next;
    wire::json_response(StatusCode::OK, &TransactionResponse { revision })
}

#[cfg(test)]
mod tests;
