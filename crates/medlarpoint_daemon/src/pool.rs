//! Pool of HTTP/1 connections to inbound proxies, targets and peers.
//!
//! A connection carries one request at a time, so a long call never delays a short
//! one on the same connection, and an unresponsive connection blocks one call only.

use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderValue, Request, StatusCode};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::body::Body;
use crate::header;
use crate::idle::{self, IDLE_TIMEOUT, Retention};
use crate::partition::Partition;

/// Idle time after which a connection is not used for a call that may not be
/// repeated: a device on the path may have dropped its state for the connection.
const MAX_IDLE_TIME_NOT_REPEATABLE: Duration = Duration::from_secs(1);
/// Fraction of the other end's keep-alive timeout for which an idle connection is
/// reused.
const KEEP_ALIVE_FRACTION: f64 = 0.8;
/// Time without the head of a response after which a small request is sent again on a new
/// connection.
const STALE_AFTER: Duration = Duration::from_millis(200);
/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Limit on the time to find out whether an address refuses connections.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(100);

/// First status of a final response.
const FIRST_FINAL_STATUS: u16 = 200;
/// Last valid status.
const LAST_STATUS: u16 = 599;

/// Limit on the bytes of a response that a connection holds before they are taken. Larger heads
/// are rejected.
const MAX_READ_BYTES: usize = 64 * 1024;

/// Limit on the rejections that a connection carries before it is closed.
const MAX_REJECTIONS: usize = 64;

/// Idle connections by address.
#[derive(Debug)]
pub(crate) struct Pool {
    retention: Retention,
    idle: Mutex<HashMap<SocketAddr, idle::Stack<Connection>>>,
    partition: Partition,
}

/// A connection with what it has carried.
#[derive(Debug)]
struct Connection {
    sender: SendRequest<Body>,
    /// Whether the connection has carried a request.
    is_used: bool,
    /// Ids of the calls that were rejected on the connection. The other end may write a
    /// rejection once more, so that none of them is sent on the connection again.
    ///
    /// Invariant: there are at most [`MAX_REJECTIONS`].
    rejected: Vec<HeaderValue>,
}

impl Connection {
    fn new(sender: SendRequest<Body>) -> Self {
        Self { sender, is_used: false, rejected: Vec::new() }
    }
}

/// What a request asks of the connection that carries it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Demand {
    /// Whether the request may be repeated if the connection turns out to be broken.
    pub(crate) repeatable: bool,
    /// Id of the call, if its response has to name it.
    pub(crate) id: Option<HeaderValue>,
}

/// Reason why a connection could not be opened.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ConnectError {
    #[error("cannot connect: {0}")]
    Io(#[from] std::io::Error),
    #[error("cannot connect within {} ms", CONNECT_TIMEOUT.as_millis())]
    Timeout,
    #[error("cannot connect: {0}")]
    Handshake(#[from] hyper::Error),
}

impl ConnectError {
    /// Returns whether no process listens on the address.
    pub(crate) fn is_refused(&self) -> bool {
        matches!(self, Self::Io(error) if error.kind() == ErrorKind::ConnectionRefused)
    }
}

/// Reason why a request got no response.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ExchangeError {
    /// No byte was sent.
    #[error(transparent)]
    Connect(#[from] ConnectError),
    /// The request may have been sent, in part or completely.
    #[error("the connection failed before a response arrived: {0}")]
    Lost(hyper::Error),
    /// The first line has a status that no final response has.
    #[error("the status {0} is not that of a final response")]
    NotFinal(StatusCode),
}

/// A connection in use. Dropping it without [`PooledConnection::release`] closes it.
#[derive(Debug)]
pub(crate) struct PooledConnection {
    pool: Arc<Pool>,
    address: SocketAddr,
    connection: Connection,
    reuse_limit: Duration,
    /// Whether bytes may follow that belong to no response.
    is_misframed: bool,
}

impl PooledConnection {
    /// Returns whether the connection had carried another request before. Its other end may
    /// have written the response to that one again.
    pub(crate) fn is_reused(&self) -> bool {
        self.connection.is_used
    }

    /// Returns the connection to the pool after a complete exchange. A connection on which
    /// more bytes may follow is closed.
    pub(crate) fn release(mut self) {
        if self.is_misframed {
            return;
        }
        self.connection.is_used = true;
        self.keep();
    }

    /// Keeps the connection for a later request.
    fn keep(self) {
        let retention = self.pool.retention;
        let mut idle = self.pool.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let stack = idle.entry(self.address).or_insert_with(|| idle::Stack::new(retention));
        stack.push(Instant::now(), self.connection, self.reuse_limit);
    }

    /// Returns the connection to the pool after a call was rejected. The call with this id is
    /// not sent on it again.
    pub(crate) fn release_rejected(mut self, id: Option<HeaderValue>) {
        if self.connection.rejected.len() < MAX_REJECTIONS {
            self.connection.rejected.extend(id);
            self.release();
        }
    }
}

impl Pool {
    /// Creates a pool without connections.
    pub(crate) fn new(retention: Retention) -> Self {
        Self { retention, idle: Mutex::default(), partition: Partition::default() }
    }

    /// Sends a request and returns the head of the response. Uses an idle connection if
    /// one was used recently enough for the request.
    ///
    /// If a connection was closed before it took the request, nothing was sent and
    /// the next connection is tried.
    pub(crate) async fn exchange(
        self: &Arc<Self>,
        address: SocketAddr,
        mut request: Request<Body>,
        demand: &Demand,
    ) -> Result<(http::Response<Incoming>, PooledConnection), ExchangeError> {
        while let Some(mut connection) = self.take_idle(address, demand) {
            if self.partition.is_unreachable(address) {
                // A connection that is open when the network partitions gets no response.
                std::future::pending::<()>().await;
            }
            if connection.sender.ready().await.is_err() {
                continue;
            }
            match connection.sender.try_send_request(request).await {
                Ok(response) => return self.accept(address, connection, response),
                Err(mut error) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(ExchangeError::Lost(error.into_error())),
                },
            }
        }
        self.exchange_on_new_connection(address, request).await
    }

    /// Sends a small request that may be repeated. If an idle connection breaks, or has not
    /// responded within [`STALE_AFTER`], the request is sent again on a new one: the
    /// other end may have restarted since, or the connection may have gone silent.
    pub(crate) async fn exchange_repeatable(
        self: &Arc<Self>,
        address: SocketAddr,
        request: Request<Bytes>,
    ) -> Result<(http::Response<Incoming>, PooledConnection), ExchangeError> {
        let demand = Demand { repeatable: true, id: None };
        if let Some(connection) = self.take_idle(address, &demand) {
            let exchange = self.exchange_on(address, connection, request.clone().map(Body::full));
            if let Ok(Ok(exchanged)) = tokio::time::timeout(STALE_AFTER, exchange).await {
                return Ok(exchanged);
            }
        }
        self.exchange_on_new_connection(address, request.map(Body::full)).await
    }

    async fn exchange_on(
        self: &Arc<Self>,
        address: SocketAddr,
        mut connection: Connection,
        request: Request<Body>,
    ) -> Result<(http::Response<Incoming>, PooledConnection), ExchangeError> {
        if self.partition.is_unreachable(address) {
            // A connection that is open when the network partitions gets no response.
            std::future::pending::<()>().await;
        }
        let response = connection.sender.send_request(request).await;
        self.accept(address, connection, response.map_err(ExchangeError::Lost)?)
    }

    /// Sends a request on a new connection.
    pub(crate) async fn exchange_on_new_connection(
        self: &Arc<Self>,
        address: SocketAddr,
        request: Request<Body>,
    ) -> Result<(http::Response<Incoming>, PooledConnection), ExchangeError> {
        let connection = self.connect(address).await?;
        self.exchange_on(address, connection, request).await
    }

    /// Returns whether an address refuses connections. A connection that it accepts is kept
    /// for a later request.
    pub(crate) async fn is_refused(self: &Arc<Self>, address: SocketAddr) -> bool {
        let connect = self.connect(address);
        match tokio::time::timeout(REFUSAL_TIMEOUT, connect).await {
            Ok(Ok(connection)) => {
                let pool = Arc::clone(self);
                let reuse_limit = IDLE_TIMEOUT;
                let is_misframed = false;
                PooledConnection { pool, address, connection, reuse_limit, is_misframed }.keep();
                false
            }
            Ok(Err(error)) => error.is_refused(),
            Err(_) => false,
        }
    }

    /// Returns the simulated network partition.
    pub(crate) fn partition(&self) -> &Partition {
        &self.partition
    }

    async fn connect(&self, address: SocketAddr) -> Result<Connection, ConnectError> {
        if self.partition.is_unreachable(address) {
            tokio::time::sleep(CONNECT_TIMEOUT).await;
            return Err(ConnectError::Timeout);
        }
        connect(address).await.map(Connection::new)
    }

    /// Closes connections that have been idle for longer than they may be reused.
    pub(crate) fn evict_idle(&self) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|_, stack| {
            stack.evict(Instant::now(), |connection| connection.sender.is_closed());
            !stack.is_empty()
        });
    }

    /// Takes the most recently used connection that may carry a request.
    fn take_idle(&self, address: SocketAddr, demand: &Demand) -> Option<Connection> {
        let max_idle_time =
            if demand.repeatable { IDLE_TIMEOUT } else { MAX_IDLE_TIME_NOT_REPEATABLE };
        let has_rejected = |connection: &Connection| {
            demand.id.as_ref().is_some_and(|id| connection.rejected.contains(id))
        };
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let stack = idle.get_mut(&address)?;
        let is_suitable = |connection: &Connection| !has_rejected(connection);
        while let Some(connection) = stack.take(Instant::now(), max_idle_time, is_suitable) {
            if !connection.sender.is_closed() {
                return Some(connection);
            }
        }
        None
    }

    /// Checks that a response is a final one. The statuses beyond 599 are invalid by RFC 9110,
    /// section 15, and no request here asks for an upgrade.
    fn accept(
        self: &Arc<Self>,
        address: SocketAddr,
        connection: Connection,
        response: http::Response<Incoming>,
    ) -> Result<(http::Response<Incoming>, PooledConnection), ExchangeError> {
        let status = response.status();
        if !(FIRST_FINAL_STATUS..=LAST_STATUS).contains(&status.as_u16()) {
            return Err(ExchangeError::NotFinal(status));
        }
        let connection = self.pooled(address, connection, &response);
        Ok((response, connection))
    }

    fn pooled(
        self: &Arc<Self>,
        address: SocketAddr,
        connection: Connection,
        response: &http::Response<Incoming>,
    ) -> PooledConnection {
        let reuse_limit = header::keep_alive(response.headers()).map_or(IDLE_TIMEOUT, |timeout| {
            // The other end counts from when it sent the response, which is earlier.
            timeout.mul_f64(KEEP_ALIVE_FRACTION).min(IDLE_TIMEOUT)
        });
        let is_misframed = header::announces_unusable_body(response.status(), response.headers());
        PooledConnection { pool: Arc::clone(self), address, connection, reuse_limit, is_misframed }
    }
}

async fn connect(address: SocketAddr) -> Result<SendRequest<Body>, ConnectError> {
    let opened = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = opened.map_err(|_| ConnectError::Timeout)??;
    stream.set_nodelay(true)?;
    let mut builder = http1::Builder::new();
    builder.max_buf_size(MAX_READ_BYTES);
    let (sender, connection) = builder.handshake(TokioIo::new(stream)).await?;
    tokio::spawn(async move {
        // The request in progress fails with the same error.
        let _ = connection.await;
    });
    Ok(sender)
}

#[cfg(test)]
mod tests;
