//! Accepts connections of callers and of other daemons' outbound proxies.

use std::convert::Infallible;
use std::future::poll_fn;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use http::header::CONNECTION;
use http::{HeaderValue, Request, Response, Version};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::{Service, service_fn};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use hyper_util::server::graceful::GracefulConnection;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, Semaphore};

use crate::body::Body;
use crate::caller_body::CallerBody;
use crate::event::Event;
use crate::pipeline::{ClosedByCaller, ReadAhead, TurnBody};
use crate::settings::LimitOptions;
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
                Listener::Calls => serve_caller(&shared, stream).await,
                Listener::Inbound => serve_peer(&shared, stream).await,
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

/// Returns a service that passes requests to `handle`.
fn service<F, B>(
    shared: Arc<Shared>,
    request_received: Arc<Notify>,
    handle: impl Fn(Arc<Shared>, Request<Incoming>) -> F,
) -> impl Service<Request<Incoming>, Response = Response<B>, Error = Infallible, Future: Send + 'static>
where
    F: Future<Output = Response<B>> + Send + 'static,
    B: http_body::Body,
{
    service_fn(move |request| {
        request_received.notify_one();
        // Boxed, since the connection reserves the size of this future while it is idle.
        let response = Box::pin(handle(Arc::clone(&shared), request));
        async move { Ok::<_, Infallible>(response.await) }
    })
}

/// Serves a call and closes the caller's connection after it if too many are idle.
async fn serve_call(shared: Arc<Shared>, request: Request<Incoming>) -> Response<Body> {
    let version = request.version();
    let request = request.map(CallerBody::Incoming);
    let mut response = outbound::serve(Arc::clone(&shared), request, None).await;
    if should_close(&shared, version) {
        set_close(&mut response);
    }
    response
}

/// Returns whether the connection of a caller is to be closed: too many are idle, or the
/// daemon stops. The HTTP library ends connections of other versions of HTTP.
fn should_close(shared: &Shared, version: Version) -> bool {
    let pending_calls = shared.lifecycle.pending_calls();
    let keeps_alive = shared.caller_connections.keeps_alive(pending_calls);
    version == Version::HTTP_11 && (shared.lifecycle.has_stopped_accepting() || !keeps_alive)
}

/// Makes a response the last one of its connection.
fn set_close(response: &mut Response<Body>) {
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
}

/// Serves a call on a connection with read-ahead. The call may run already.
async fn serve_turn(
    shared: Arc<Shared>,
    read_ahead: Arc<ReadAhead>,
    request: Request<Incoming>,
) -> Response<TurnBody> {
    let version = request.version();
    let turn = read_ahead.begin_turn(&request);
    let early = match turn.early_call {
        Some(call) => call.response().await,
        None => None,
    };
    let mut response = if let Some(response) = early {
        response
    } else {
        let (parts, body) = request.into_parts();
        // The HTTP library would end the connection behind a body that was not read.
        let body = if turn.body_arrived {
            CallerBody::read(body).await
        } else {
            CallerBody::Incoming(body)
        };
        let request = Request::from_parts(parts, body);
        outbound::serve(Arc::clone(&shared), request, turn.read_at).await
    };
    // Calls that were handed over are answered before the connection closes.
    if should_close(&shared, version) && !read_ahead.has_started() {
        set_close(&mut response);
        // The caller gets no response to later requests on this connection.
        read_ahead.start_no_more();
    }
    response.map(|body| TurnBody::new(body, read_ahead))
}

/// Serves the connection of a caller, over HTTP/1.1 or HTTP/2.
async fn serve_caller(shared: &Arc<Shared>, stream: TcpStream) {
    let request_received = Arc::new(Notify::new());
    let _open = shared.caller_connections.track();
    let builder = caller_server(&shared.settings.options.limits);
    let stream = without_delay(stream);
    if shared.settings.options.limits.pipelined_requests > 1 {
        let (read_ahead, stream) = ReadAhead::wrap(shared, stream);
        let serve = {
            let read_ahead = Arc::clone(&read_ahead);
            move |shared, request| serve_turn(shared, Arc::clone(&read_ahead), request)
        };
        let service = service(Arc::clone(shared), Arc::clone(&request_received), serve);
        let connection = builder.serve_connection(TokioIo::new(stream), service);
        let closed = ClosedByCaller::new(read_ahead.closed_by_caller());
        let reader = CallerReader { read_ahead: &read_ahead, closed };
        drive(shared, connection, &request_received, reader).await;
        read_ahead.close();
    } else {
        let service = service(Arc::clone(shared), Arc::clone(&request_received), serve_call);
        let connection = builder.serve_connection(TokioIo::new(stream), service);
        drive(shared, connection, &request_received, NoReader).await;
    }
}

/// Returns the server of callers' connections.
fn caller_server(limits: &LimitOptions) -> auto::Builder<TokioExecutor> {
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
    builder
}

/// Serves the connection of another daemon's outbound proxy, which uses HTTP/1.1.
async fn serve_peer(shared: &Arc<Shared>, stream: TcpStream) {
    let limits = &shared.settings.options.limits;
    let request_received = Arc::new(Notify::new());
    let service = service(Arc::clone(shared), Arc::clone(&request_received), inbound::serve);
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.head_timeout_ms))
        .max_buf_size(limits.head_bytes);
    let connection = builder.serve_connection(TokioIo::new(without_delay(stream)), service);
    drive(shared, connection, &request_received, NoReader).await;
}

/// Disables the delay of small segments on a stream.
fn without_delay(stream: TcpStream) -> TcpStream {
    // If the option cannot be set, responses are only slower.
    let _ = stream.set_nodelay(true);
    stream
}

/// Reads the requests of a connection ahead of the HTTP library.
trait Reader {
    /// Reads. Completes to end the connection.
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<()>;

    /// Returns whether calls that were started wait for their turn.
    fn has_started(&self) -> bool;
}

/// Reader of a connection without read-ahead.
struct NoReader;

impl Reader for NoReader {
    fn poll(&mut self, _: &mut Context<'_>) -> Poll<()> {
        Poll::Pending
    }

    fn has_started(&self) -> bool {
        false
    }
}

/// Reader of the connection of a caller that may send requests before the earlier ones are
/// answered.
struct CallerReader<'a, F> {
    read_ahead: &'a ReadAhead,
    closed: ClosedByCaller<F>,
}

impl<F: Future<Output = ()>> Reader for CallerReader<'_, F> {
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        self.read_ahead.poll(cx, &mut self.closed)
    }

    fn has_started(&self) -> bool {
        self.read_ahead.has_started()
    }
}

/// Runs a connection until it ends or the daemon closes. Once the daemon stops accepting
/// calls, the connection ends after its current request and the calls that were started
/// behind it. `reader` is polled after the connection.
async fn drive<C: GracefulConnection>(
    shared: &Arc<Shared>,
    connection: C,
    request_received: &Notify,
    mut reader: impl Reader,
) {
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
        () = poll_fn(|cx| poll_connection(connection.as_mut(), &mut reader, cx)) => return,
        () = last_request => {}
        () = shared.lifecycle.wait_closed() => return,
    }
    let mut is_shut_down = false;
    let rest = poll_fn(|cx| {
        loop {
            if !is_shut_down && !reader.has_started() {
                connection.as_mut().graceful_shutdown();
                is_shut_down = true;
            }
            let polled = poll_connection(connection.as_mut(), &mut reader, cx);
            // The turn of the last call that was started may have begun.
            if polled.is_ready() || is_shut_down || reader.has_started() {
                return polled;
            }
        }
    });
    tokio::select! {
        () = rest => {}
        () = shared.lifecycle.wait_closed() => {}
    }
}

/// Polls a connection, then its reader. Completes once either has ended.
fn poll_connection<C: Future>(
    connection: Pin<&mut C>,
    reader: &mut impl Reader,
    cx: &mut Context<'_>,
) -> Poll<()> {
    if connection.poll(cx).is_ready() {
        return Poll::Ready(());
    }
    reader.poll(cx)
}
