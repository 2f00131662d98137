//! Connections to inbound proxies and targets.
//!
//! One connection carries one call at a time, so long work never stands in
//! front of short work, and a connection gone silent holds up one call.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use http::Request;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::body::Body;
use crate::header;
use crate::partition::Partition;

/// Idle connections kept to one address.
const MAX_IDLE: usize = 64;
/// Time after which an idle connection is closed.
const IDLE_TIME: Duration = Duration::from_secs(20);
/// Silence after which a connection is not trusted with a call that may not be
/// repeated: something on the way may have lost track of it.
const TRUSTED_SILENCE: Duration = Duration::from_secs(1);
/// Share of the time that the other end keeps an idle connection for which it
/// is used.
const KEPT_SHARE: f64 = 0.8;
/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct Idle {
    sender: SendRequest<Body>,
    heard: Instant,
    /// How long the other end keeps it.
    kept: Duration,
}

/// Keeps idle connections by address.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    idle: Mutex<HashMap<SocketAddr, Vec<Idle>>>,
    partition: Partition,
}

/// A connection could not be opened.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ConnectError {
    #[error("cannot connect: {0}")]
    Refused(#[from] std::io::Error),
    #[error("cannot connect within {} ms", CONNECT_TIMEOUT.as_millis())]
    Timeout,
    #[error("cannot connect: {0}")]
    Handshake(#[from] hyper::Error),
}

/// A request could not be exchanged for an answer.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ExchangeError {
    /// No byte was sent.
    #[error(transparent)]
    Connect(#[from] ConnectError),
    /// Bytes may have been sent.
    #[error("the connection broke: {0}")]
    Broken(hyper::Error),
}

/// A connection in use. Dropped before [`PooledConnection::release`], it is closed.
#[derive(Debug)]
pub(crate) struct PooledConnection {
    pool: Arc<Pool>,
    address: SocketAddr,
    sender: SendRequest<Body>,
    kept: Duration,
}

impl PooledConnection {
    /// Hands the connection back after a whole exchange.
    pub(crate) fn release(self) {
        let idle = Idle { sender: self.sender, heard: Instant::now(), kept: self.kept };
        let mut pool = self.pool.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let list = pool.entry(self.address).or_default();
        if list.len() < MAX_IDLE {
            list.push(idle);
        }
    }
}

impl Pool {
    /// Sends a request, on an idle connection where one can be trusted.
    ///
    /// A connection that was closed before it took the request proves that
    /// nothing was sent; the next one is tried.
    pub(crate) async fn exchange(
        self: &Arc<Self>,
        address: SocketAddr,
        mut request: Request<Body>,
        repeatable: bool,
    ) -> Result<(http::Response<Incoming>, PooledConnection), ExchangeError> {
        let trusted = if repeatable { IDLE_TIME } else { TRUSTED_SILENCE };
        while let Some(mut sender) = self.take(address, trusted) {
            if self.partition.is_unreachable(address) {
                // An open connection across a cut link goes silent.
                std::future::pending::<()>().await;
            }
            if sender.ready().await.is_err() {
                continue;
            }
            match sender.try_send_request(request).await {
                Ok(response) => {
                    let lease = self.lease(address, sender, &response);
                    return Ok((response, lease));
                }
                Err(mut error) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(ExchangeError::Broken(error.into_error())),
                },
            }
        }
        self.exchange_on_new_connection(address, request).await
    }

    /// Sends a request on a new connection.
    pub(crate) async fn exchange_on_new_connection(
        self: &Arc<Self>,
        address: SocketAddr,
        request: Request<Body>,
    ) -> Result<(http::Response<Incoming>, PooledConnection), ExchangeError> {
        let mut sender = self.connect(address).await?;
        let response = sender.send_request(request).await.map_err(ExchangeError::Broken)?;
        let lease = self.lease(address, sender, &response);
        Ok((response, lease))
    }

    /// Returns the links that are cut on purpose.
    pub(crate) fn partition(&self) -> &Partition {
        &self.partition
    }

    async fn connect(&self, address: SocketAddr) -> Result<SendRequest<Body>, ConnectError> {
        if self.partition.is_unreachable(address) {
            tokio::time::sleep(CONNECT_TIMEOUT).await;
            return Err(ConnectError::Timeout);
        }
        connect(address).await
    }

    /// Closes connections that have been idle for too long.
    pub(crate) fn evict_idle(&self) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|_, list| {
            list.retain(|one| one.heard.elapsed() < one.kept && !one.sender.is_closed());
            !list.is_empty()
        });
    }

    /// Takes the connection heard from last.
    fn take(&self, address: SocketAddr, trusted: Duration) -> Option<SendRequest<Body>> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let list = idle.get_mut(&address)?;
        while let Some(one) = list.pop() {
            if one.heard.elapsed() < trusted.min(one.kept) && !one.sender.is_closed() {
                return Some(one.sender);
            }
        }
        None
    }

    fn lease(
        self: &Arc<Self>,
        address: SocketAddr,
        sender: SendRequest<Body>,
        response: &http::Response<Incoming>,
    ) -> PooledConnection {
        let kept = header::keep_alive(response.headers()).map_or(IDLE_TIME, |kept| {
            // The other end counts from when it sent, and may be early.
            kept.mul_f64(KEPT_SHARE).min(IDLE_TIME)
        });
        PooledConnection { pool: Arc::clone(self), address, sender, kept }
    }
}

async fn connect(address: SocketAddr) -> Result<SendRequest<Body>, ConnectError> {
    let opened = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = opened.map_err(|_| ConnectError::Timeout)??;
    stream.set_nodelay(true)?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(async move {
        // An error here reaches whoever waits for the answer.
        let _ = connection.await;
    });
    Ok(sender)
}
