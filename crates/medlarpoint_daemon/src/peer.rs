//! Control requests between daemons: configuration, table exchange, history.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use medlarpoint_config::{Distance, history};
use medlarpoint_model::DataCentre;
use medlarpoint_wire::{
    DecodeError, EncodeError, PROTOCOL_VERSION, PullRequest, PullResponse, Record, SyncRequest,
    SyncResponse, Tip, decode, encode,
};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

use crate::body::Body;
use crate::event::Event;
use crate::pool::ExchangeError;
use crate::server::accept;
use crate::state::{Shared, lock};
use crate::{header, packing, services};

/// Largest control message, in bytes.
const MAX_MESSAGE_BYTES: usize = 2_000_000;
/// Longest time a control request may take.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Control connections served at a time; a herd waits its turn.
const MAX_CONNECTIONS: usize = 256;
/// Requests for configuration and tables answered at a time.
const MAX_CONCURRENT: usize = 16;
/// Longest wait for the head of a control request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Rough size of the HTTP heads around a control message, in bytes.
const HEAD_BYTES: usize = 160;

/// A control request failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum RequestError {
    #[error(transparent)]
    Exchange(#[from] ExchangeError),
    #[error("no answer within {} ms", REQUEST_TIMEOUT.as_millis())]
    Timeout,
    #[error("answer {0}")]
    Status(StatusCode),
    #[error("the answer cannot be read: {0}")]
    Body(String),
    #[error(transparent)]
    Packed(#[from] packing::Malformed),
    #[error(transparent)]
    Decode(#[from] DecodeError),
    #[error(transparent)]
    Encode(#[from] EncodeError),
    #[error("the request is malformed: {0}")]
    Http(#[from] http::Error),
}

/// Why a control request is refused.
#[derive(Debug, thiserror::Error)]
enum RefusedError {
    #[error("sender belongs to another fleet")]
    Fleet,
    #[error("the message exceeds {MAX_MESSAGE_BYTES} bytes or broke off")]
    Body,
    #[error(transparent)]
    Decode(#[from] DecodeError),
    #[error(transparent)]
    Encode(#[from] EncodeError),
    #[error("there is no such request")]
    Path,
    #[error("too many requests at a time")]
    Busy,
}

impl RefusedError {
    fn status(&self) -> StatusCode {
        match self {
            Self::Fleet => StatusCode::FORBIDDEN,
            Self::Body => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Decode(_) => StatusCode::BAD_REQUEST,
            Self::Encode(_) => StatusCode::INTERNAL_SERVER_ERROR,
            Self::Path => StatusCode::NOT_FOUND,
            Self::Busy => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

async fn request(
    shared: &Shared,
    to: SocketAddr,
    distance: Distance,
    path: &str,
    message: Vec<u8>,
) -> Result<Bytes, RequestError> {
    shared.traffic.record_sent(distance, message.len() + HEAD_BYTES);
    let request = Request::builder()
        .method(Method::POST)
        .uri(path)
        .header(http::header::HOST, to.to_string())
        .header(header::FLEET, shared.fleet().as_str())
        .header(http::header::ACCEPT_ENCODING, packing::LZ4)
        .body(Body::full(message.into()))?;
    let exchange = async {
        let (response, lease) = shared.pool.exchange(to, request, true).await?;
        let status = response.status();
        let packed = packing::is_packed(response.headers());
        let body = Limited::new(response.into_body(), MAX_MESSAGE_BYTES).collect().await;
        let bytes = body.map_err(|e| RequestError::Body(e.to_string()))?.to_bytes();
        lease.release();
        match status {
            StatusCode::OK if packed => Ok(packing::unpack(&bytes, MAX_MESSAGE_BYTES)?),
            StatusCode::OK => Ok(bytes),
            _ => Err(RequestError::Status(status)),
        }
    };
    let result = tokio::time::timeout(REQUEST_TIMEOUT, exchange).await;
    result.map_err(|_| RequestError::Timeout)?
}

/// Asks a peer for everything after `have`.
pub(crate) async fn pull(
    shared: &Shared,
    to: SocketAddr,
    distance: Distance,
    have: Tip,
) -> Result<PullResponse, RequestError> {
    shared.traffic.record_pull();
    let message = encode(&PullRequest { have })?;
    let bytes = request(shared, to, distance, "/config", message).await?;
    shared.traffic.record_fetched(distance, bytes.len() + HEAD_BYTES);
    Ok(decode(&bytes)?)
}

/// Compares member tables with a peer.
pub(crate) async fn sync(
    shared: &Shared,
    to: SocketAddr,
    data_centres: Vec<DataCentre>,
) -> Result<(), RequestError> {
    let (question, distance) = {
        let control = lock(&shared.control);
        let fleet = shared.fleet().clone();
        let question = control.detector.sync_request(PROTOCOL_VERSION, fleet, data_centres);
        (question, shared.distance_of(&control, to))
    };
    let message = encode(&question)?;
    let answer: SyncResponse = decode(&request(shared, to, distance, "/sync", message).await?)?;
    let wanted = {
        let mut control = lock(&shared.control);
        let now = shared.now();
        let wanted = control.detector.handle_sync_response(now, &answer);
        services::refresh(shared, &control);
        wanted
    };
    if !wanted.is_empty() {
        request(shared, to, distance, "/records", encode(&wanted)?).await?;
    }
    Ok(())
}

/// Asks a peer for what it knows of recent versions.
pub(crate) async fn history(
    shared: &Shared,
    to: SocketAddr,
) -> Result<Vec<history::Entry>, RequestError> {
    let bytes = request(shared, to, Distance::Near, "/history", Vec::new()).await?;
    Ok(decode(&bytes)?)
}

/// Serves control requests until the daemon closes.
pub(crate) async fn serve(shared: Arc<Shared>, listener: TcpListener) {
    let connections = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let concurrent = Arc::new(Semaphore::new(MAX_CONCURRENT));
    loop {
        let Some(stream) = accept(&shared, &listener).await else {
            return;
        };
        let Ok(permit) = Arc::clone(&connections).try_acquire_owned() else {
            let listener = "peer".to_owned();
            shared.emit(&Event::ConnectionLimit { listener, limit: MAX_CONNECTIONS });
            continue;
        };
        let (shared, concurrent) = (Arc::clone(&shared), Arc::clone(&concurrent));
        tokio::spawn(async move {
            serve_connection(shared, concurrent, stream).await;
            drop(permit);
        });
    }
}

async fn serve_connection(shared: Arc<Shared>, concurrent: Arc<Semaphore>, stream: TcpStream) {
    // Without it, answers are only slower.
    let _ = stream.set_nodelay(true);
    let closing = Arc::clone(&shared);
    let service = service_fn(move |request| {
        let (shared, concurrent) = (Arc::clone(&shared), Arc::clone(&concurrent));
        async move { Ok::<_, std::convert::Infallible>(answer(&shared, &concurrent, request).await) }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT * 6)
        .serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        // A broken connection is the peer's to notice.
        _ = connection => {}
        () = closing.lifecycle.wait_closed() => {}
    }
}

async fn answer(
    shared: &Shared,
    concurrent: &Semaphore,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let packs = packing::is_accepted(request.headers());
    let answered = match concurrent.try_acquire() {
        Ok(_permit) => handle(shared, request).await,
        Err(_) => Err(RefusedError::Busy),
    };
    match answered {
        Ok(bytes) if packs => packing::answer(bytes),
        Ok(bytes) => Response::new(Full::new(bytes.into())),
        Err(error) => {
            let mut response = Response::new(Full::new(error.to_string().into()));
            *response.status_mut() = error.status();
            response
        }
    }
}

async fn handle(shared: &Shared, request: Request<Incoming>) -> Result<Vec<u8>, RefusedError> {
    if !header::is_from_fleet(request.headers(), shared.fleet()) {
        return Err(RefusedError::Fleet);
    }
    let path = request.uri().path().to_owned();
    let body = tokio::time::timeout(
        HEAD_TIMEOUT,
        Limited::new(request.into_body(), MAX_MESSAGE_BYTES).collect(),
    );
    let Ok(Ok(body)) = body.await else {
        return Err(RefusedError::Body);
    };
    let message = body.to_bytes();
    match path.as_str() {
        "/config" => answer_pull(shared, &decode(&message)?),
        "/sync" => answer_sync(shared, &decode(&message)?),
        "/records" => {
            take_records(shared, &decode::<Vec<Record>>(&message)?);
            Ok(Vec::new())
        }
        "/history" => answer_history(shared),
        _ => Err(RefusedError::Path),
    }
}

fn answer_pull(shared: &Shared, pull: &PullRequest) -> Result<Vec<u8>, RefusedError> {
    let update = lock(&shared.control).replica.respond(pull);
    let bytes = encode(&update)?;
    // How far it goes is counted by the one who asked.
    shared.traffic.record_sent(Distance::Near, bytes.len() + HEAD_BYTES);
    Ok(bytes)
}

fn answer_sync(shared: &Shared, request: &SyncRequest) -> Result<Vec<u8>, RefusedError> {
    if request.fleet != *shared.fleet() {
        return Err(RefusedError::Fleet);
    }
    let mut control = lock(&shared.control);
    let now = shared.now();
    let reply = control.detector.handle_sync_request(now, request);
    services::refresh(shared, &control);
    let bytes = encode(&reply)?;
    shared.traffic.record_sent(shared.distance(&request.from), bytes.len() + HEAD_BYTES);
    Ok(bytes)
}

fn take_records(shared: &Shared, records: &[Record]) {
    let mut control = lock(&shared.control);
    let now = shared.now();
    control.detector.merge_records(now, records);
    services::refresh(shared, &control);
}

fn answer_history(shared: &Shared) -> Result<Vec<u8>, RefusedError> {
    let lines: Vec<history::Entry> = lock(&shared.control).history.entries().cloned().collect();
    Ok(encode(&lines)?)
}
