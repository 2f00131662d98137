//! Accepts connections of callers and of other daemons' outbound proxies.

use std::convert::Infallible;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use http::{Request, Response};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, Semaphore};

use crate::body::Body;
use crate::event::Event;
use crate::state::Shared;
use crate::{inbound, outbound};

/// Limit on the open connections from other daemons.
const MAX_INBOUND_CONNECTIONS: usize = 8_192;
/// Wait after a failed accept, for example if no file descriptors are left.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);
/// Limit on the concurrent streams of an HTTP/2 connection.
const MAX_CONCURRENT_STREAMS: u32 = 256;

/// Listener of a proxy, by the clients that connect to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "lowercase")]
pub(crate) enum Listener {
    /// Listener of the outbound proxy, for callers on this VM.
    Calls,
    /// Listener of the inbound proxy, for other daemons.
    Inbound,
}

/// Serves the connections of a listener until the daemon closes. Connections above the
/// listener's limit are closed at once.
pub(crate) async fn serve(shared: Arc<Shared>, listener: TcpListener, kind: Listener) {
    let limit = match kind {
        Listener::Calls => shared.settings.options.limits.connections,
        Listener::Inbound => MAX_INBOUND_CONNECTIONS,
    };
    let connections = Arc::new(Semaphore::new(limit));
    loop {
        let Some(stream) = accept(&shared, &listener).await else {
            return;
        };
        let Ok(permit) = Arc::clone(&connections).try_acquire_owned() else {
            shared.emit(&Event::ConnectionLimit { listener: kind.to_string(), limit });
            continue;
        };
        let shared = Arc::clone(&shared);
        tokio::spawn(async move {
            let tracked = shared.lifecycle.track_connection();
            match kind {
                Listener::Calls => serve_stream(&shared, stream, outbound::serve).await,
                Listener::Inbound => serve_stream(&shared, stream, inbound::serve).await,
            }
            drop(tracked);
            drop(permit);
        });
    }
}

/// Returns the next connection, or `None` once the daemon closes.
pub(crate) async fn accept(shared: &Shared, listener: &TcpListener) -> Option<TcpStream> {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = shared.lifecycle.wait_closed() => return None,
        };
        if let Ok((stream, _)) = accepted {
            return Some(stream);
        }
        tokio::time::sleep(ACCEPT_BACKOFF).await;
    }
}

async fn serve_stream<F>(
    shared: &Arc<Shared>,
    stream: TcpStream,
    handle: impl Fn(Arc<Shared>, Request<Incoming>) -> F,
) where
    F: Future<Output = Response<Body>> + Send + 'static,
{
    // If the option cannot be set, responses are only slower.
    let _ = stream.set_nodelay(true);
    let limits = &shared.settings.options.limits;
    let request_received = Notify::new();
    let service = service_fn(|request| {
        request_received.notify_one();
        let response = handle(Arc::clone(shared), request);
        async move { Ok::<_, Infallible>(response.await) }
    });
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.head_timeout_ms))
        .max_buf_size(limits.head_bytes);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_header_list_size(limits.head_bytes as u32)
        .max_concurrent_streams(MAX_CONCURRENT_STREAMS)
        .keep_alive_interval(Duration::from_secs(10));
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let last_request = async {
        if shared.lifecycle.has_stopped_accepting() {
            // A connection opened during the shutdown still serves one request, so that
            // the peer learns the outcome of its call or attempt.
            request_received.notified().await;
        } else {
            shared.lifecycle.wait_stopped_accepting().await;
        }
    };
    tokio::select! {
        // The peer notices a broken connection itself.
        _ = connection.as_mut() => return,
        () = last_request => connection.as_mut().graceful_shutdown(),
        () = shared.lifecycle.wait_closed() => return,
    }
    tokio::select! {
        _ = connection => {}
        () = shared.lifecycle.wait_closed() => {}
    }
}
