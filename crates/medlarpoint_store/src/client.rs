//! HTTP client for the platform's store.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client as HttpClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

use crate::{Error, Expected, Item, Key, Revision, Store};

/// Header that carries the revision of a value.
const REVISION_HEADER: &str = "store-revision";
/// Largest value taken from the store, in bytes.
const MAX_VALUE_BYTES: usize = 1_000_000;
/// Time allowed beyond the wait of a watch.
const WATCH_GRACE: Duration = Duration::from_secs(2);

/// Address of a store server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Endpoint(pub SocketAddr);

/// Number of calls made, by kind.
#[derive(Debug, Default)]
pub struct Calls {
    reads: AtomicU64,
    writes: AtomicU64,
    watches: AtomicU64,
}

impl Calls {
    /// Returns the number of reads made.
    pub fn reads(&self) -> u64 {
        self.reads.load(Ordering::Relaxed)
    }

    /// Returns the number of writes and deletes made.
    pub fn writes(&self) -> u64 {
        self.writes.load(Ordering::Relaxed)
    }

    /// Returns the number of watches made.
    pub fn watches(&self) -> u64 {
        self.watches.load(Ordering::Relaxed)
    }
}

/// A store reached over HTTP.
///
/// Calls go to one endpoint and move on to the next after a failure.
#[derive(Clone)]
pub struct Client {
    http: HttpClient<HttpConnector, Full<Bytes>>,
    endpoints: Arc<[Endpoint]>,
    next: Arc<AtomicU64>,
    timeout: Duration,
    calls: Arc<Calls>,
    cut: Arc<AtomicBool>,
}

impl fmt::Debug for Client {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Client").field("endpoints", &self.endpoints).finish_non_exhaustive()
    }
}

impl Client {
    /// Creates a client; `timeout` limits each call that does not wait.
    pub fn new(endpoints: &[Endpoint], timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(timeout));
        connector.set_nodelay(true);
        Self {
            http: HttpClient::builder(TokioExecutor::new()).build(connector),
            endpoints: endpoints.into(),
            next: Arc::default(),
            timeout,
            calls: Arc::default(),
            cut: Arc::default(),
        }
    }

    /// Returns the counts of calls made so far.
    pub fn calls(&self) -> &Calls {
        &self.calls
    }

    /// Cuts the link to the store, for an experiment.
    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::Release);
    }

    async fn call(
        &self,
        method: Method,
        path: String,
        body: Bytes,
        timeout: Duration,
    ) -> Result<(StatusCode, Option<Revision>, Bytes), Error> {
        if self.cut.load(Ordering::Acquire) {
            tokio::time::sleep(self.timeout).await;
            return Err(Error::Unavailable("the link is cut".to_owned()));
        }
        let turn = self.next.load(Ordering::Relaxed) as usize;
        let Some(endpoint) = self.endpoints.get(turn % self.endpoints.len().max(1)) else {
            return Err(Error::Unavailable("no endpoint is set".to_owned()));
        };
        let uri = format!("http://{}{path}", endpoint.0);
        let request = Request::builder().method(method).uri(uri).body(Full::new(body));
        let request = request.map_err(|e| Error::Unavailable(e.to_string()))?;
        let exchange = async {
            let response = self.http.request(request).await.map_err(|e| classify(&e))?;
            read(response).await
        };
        let result = match tokio::time::timeout(timeout, exchange).await {
            Ok(result) => result,
            Err(_) => Err(Error::Unknown(format!("no answer within {} ms", timeout.as_millis()))),
        };
        if result.is_err() {
            self.next.fetch_add(1, Ordering::Relaxed);
        }
        result
    }
}

/// A call that never got a connection was not carried out; any other broken
/// exchange may have been.
fn classify(error: &hyper_util::client::legacy::Error) -> Error {
    if error.is_connect() {
        return Error::Unavailable(format!("cannot connect: {error}"));
    }
    Error::Unknown(error.to_string())
}

async fn read(
    response: Response<Incoming>,
) -> Result<(StatusCode, Option<Revision>, Bytes), Error> {
    let status = response.status();
    let revision = response.headers().get(REVISION_HEADER);
    let revision = revision.and_then(|v| v.to_str().ok()?.parse().ok()).map(Revision);
    let body = Limited::new(response.into_body(), MAX_VALUE_BYTES).collect().await;
    let body = body.map_err(|e| Error::Unknown(e.to_string()))?.to_bytes();
    match status {
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
            Err(Error::Unavailable(format!("status {status}")))
        }
        status if status.is_server_error() => Err(Error::Unknown(format!("status {status}"))),
        _ => Ok((status, revision, body)),
    }
}

fn condition(expected: Expected) -> String {
    match expected {
        Expected::Absent => "expect=absent".to_owned(),
        Expected::Revision(revision) => format!("expect={}", revision.0),
    }
}

fn item(revision: Option<Revision>, value: Bytes) -> Result<Option<Item>, Error> {
    let Some(revision) = revision else {
        return Err(Error::Unavailable(format!("answer lacks the {REVISION_HEADER} header")));
    };
    Ok(Some(Item { value, revision }))
}

impl Store for Client {
    async fn get(&self, key: &Key) -> Result<Option<Item>, Error> {
        self.calls.reads.fetch_add(1, Ordering::Relaxed);
        let path = format!("/v1/kv/{key}");
        let (status, revision, value) =
            self.call(Method::GET, path, Bytes::new(), self.timeout).await?;
        match status {
            StatusCode::OK => item(revision, value),
            StatusCode::NOT_FOUND => Ok(None),
            other => Err(Error::Unavailable(format!("status {other}"))),
        }
    }

    async fn swap(
        &self,
        key: &Key,
        expected: Expected,
        value: Bytes,
        lease: Option<Duration>,
    ) -> Result<Revision, Error> {
        if value.len() > MAX_VALUE_BYTES {
            return Err(Error::TooLarge { bytes: value.len(), limit: MAX_VALUE_BYTES });
        }
        self.calls.writes.fetch_add(1, Ordering::Relaxed);
        let lease = lease.map(|d| format!("&lease_ms={}", d.as_millis())).unwrap_or_default();
        let path = format!("/v1/kv/{key}?{}{lease}", condition(expected));
        let (status, revision, _) = self.call(Method::PUT, path, value, self.timeout).await?;
        match (status, revision) {
            (StatusCode::OK, Some(revision)) => Ok(revision),
            (StatusCode::PRECONDITION_FAILED, current) => Err(Error::Conflict { current }),
            (other, _) => Err(Error::Unavailable(format!("status {other}"))),
        }
    }

    async fn delete(&self, key: &Key, expected: Expected) -> Result<(), Error> {
        self.calls.writes.fetch_add(1, Ordering::Relaxed);
        let path = format!("/v1/kv/{key}?{}", condition(expected));
        let (status, revision, _) =
            self.call(Method::DELETE, path, Bytes::new(), self.timeout).await?;
        match status {
            StatusCode::OK | StatusCode::NO_CONTENT => Ok(()),
            StatusCode::PRECONDITION_FAILED => Err(Error::Conflict { current: revision }),
            other => Err(Error::Unavailable(format!("status {other}"))),
        }
    }

    async fn watch(
        &self,
        key: &Key,
        after: Revision,
        wait: Duration,
    ) -> Result<Option<Item>, Error> {
        self.calls.watches.fetch_add(1, Ordering::Relaxed);
        let path = format!("/v1/kv/{key}?after={}&wait_ms={}", after.0, wait.as_millis());
        let limit = wait + WATCH_GRACE;
        let (status, revision, value) = self.call(Method::GET, path, Bytes::new(), limit).await?;
        match status {
            StatusCode::OK => item(revision, value),
            StatusCode::NOT_MODIFIED | StatusCode::NOT_FOUND => Ok(None),
            other => Err(Error::Unavailable(format!("status {other}"))),
        }
    }
}
