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
    DecodeError, Departures, EncodeError, PROTOCOL_VERSION, PullRequest, PullResponse, Record,
    Rollout, Suspect, SyncRequest, SyncResponse, Tip, decode, encode,
};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

use crate::event::Event;
use crate::pool::ExchangeError;
use crate::server::accept;
use crate::state::{Shared, lock};
use crate::{compression, departed, header, rollouts, services, suspects};

/// Size limit of a control message, in bytes. A compressed message has to stay within
/// it after decompression as well.
const MAX_MESSAGE_BYTES: usize = 2_000_000;
/// Limit on the duration of a control request.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Limit on the control connections served at the same time. Connections above it are
/// closed at once.
const MAX_CONNECTIONS: usize = 256;
/// Limit on the control requests handled at the same time. Requests above it are
/// rejected.
const MAX_CONCURRENT_REQUESTS: usize = 16;
/// Limit on the time to receive the body of a control request. A connection closes after
/// six times as long without a complete request head.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(5);
/// Approximate size of the HTTP head of a control message, in bytes.
const HEAD_BYTES: usize = 160;

/// Error of a control request that this daemon sent.
#[derive(Debug, thiserror::Error)]
pub(crate) enum RequestError {
    #[error(transparent)]
    Exchange(#[from] ExchangeError),
    #[error("no response within {} ms", REQUEST_TIMEOUT.as_millis())]
    Timeout,
    #[error("the peer responded with status {0}")]
    Status(StatusCode),
    #[error("cannot read the response: {0}")]
    Body(String),
    #[error(transparent)]
    Decompress(#[from] compression::Error),
    #[error(transparent)]
    Decode(#[from] DecodeError),
    #[error(transparent)]
    Encode(#[from] EncodeError),
    #[error("cannot build the request: {0}")]
    Http(#[from] http::Error),
}

impl RequestError {
    /// Returns whether the peer is of a release that does not know the request.
    pub(crate) fn is_unknown_path(&self) -> bool {
        matches!(self, Self::Status(StatusCode::NOT_FOUND))
    }
}

/// Reason for which a control request of another daemon is rejected.
#[derive(Debug, thiserror::Error)]
enum Rejection {
    #[error("the sender belongs to another fleet: check the `fleet` setting of both daemons")]
    Fleet,
    #[error("the message exceeds {MAX_MESSAGE_BYTES} bytes or is incomplete")]
    Body,
    #[error(transparent)]
    Decode(#[from] DecodeError),
    #[error(transparent)]
    Encode(#[from] EncodeError),
    #[error("unknown path of a control request: check that both daemons have the same version")]
    Path,
    #[error("more than {MAX_CONCURRENT_REQUESTS} requests at the same time: retry later")]
    Busy,
}

impl Rejection {
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

/// Sends a control request and returns the body of the response, decompressed.
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
        .header(http::header::ACCEPT_ENCODING, compression::LZ4)
        .body(Bytes::from(message))?;
    let exchange = async {
        let (response, connection) = shared.pool.exchange_repeatable(to, request).await?;
        let status = response.status();
        let compressed = compression::is_compressed(response.headers());
        let body = Limited::new(response.into_body(), MAX_MESSAGE_BYTES).collect().await;
        let bytes = body.map_err(|e| RequestError::Body(e.to_string()))?.to_bytes();
        connection.release();
        match status {
            StatusCode::OK if compressed => Ok(compression::decompress(&bytes, MAX_MESSAGE_BYTES)?),
            StatusCode::OK => Ok(bytes),
            _ => Err(RequestError::Status(status)),
        }
    };
    let result = tokio::time::timeout(REQUEST_TIMEOUT, exchange).await;
    result.map_err(|_| RequestError::Timeout)?
}

/// Requests the configuration after `have` from a peer.
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

/// Exchanges the differences between member tables with a peer.
pub(crate) async fn sync(
    shared: &Shared,
    to: SocketAddr,
    data_centres: Vec<DataCentre>,
) -> Result<(), RequestError> {
    let (sync_request, distance) = {
        let control = lock(&shared.control);
        let fleet = shared.fleet().clone();
        let sync_request = control.detector.sync_request(PROTOCOL_VERSION, fleet, data_centres);
        (sync_request, shared.distance_of(&control, to))
    };
    let message = encode(&sync_request)?;
    let response: SyncResponse = decode(&request(shared, to, distance, "/sync", message).await?)?;
    let missing_records = {
        let mut control = lock(&shared.control);
        let now = shared.now();
        let missing_records = control.detector.handle_sync_response(now, &response);
        services::refresh(shared, &control);
        missing_records
    };
    if !missing_records.is_empty() {
        request(shared, to, distance, "/records", encode(&missing_records)?).await?;
    }
    Ok(())
}

/// Requests the history of recent versions from a peer.
pub(crate) async fn history(
    shared: &Shared,
    to: SocketAddr,
) -> Result<Vec<history::Entry>, RequestError> {
    let bytes = request(shared, to, Distance::Near, "/history", Vec::new()).await?;
    Ok(decode(&bytes)?)
}

/// Requests the calls under which targets have crashed from a peer.
pub(crate) async fn suspects(
    shared: &Shared,
    to: SocketAddr,
) -> Result<Vec<Suspect>, RequestError> {
    let bytes = request(shared, to, Distance::Near, "/suspects", Vec::new()).await?;
    Ok(decode(&bytes)?)
}

/// Requests the orders to move services to new versions from a peer.
pub(crate) async fn rollouts(
    shared: &Shared,
    to: SocketAddr,
) -> Result<Vec<Rollout>, RequestError> {
    let bytes = request(shared, to, Distance::Near, "/rollouts", Vec::new()).await?;
    Ok(decode(&bytes)?)
}

/// Tells a peer of departures, which it keeps, and returns all that it knows of that VM.
pub(crate) async fn departures(
    shared: &Shared,
    to: SocketAddr,
    distance: Distance,
    told: &Departures,
) -> Result<Departures, RequestError> {
    let bytes = request(shared, to, distance, "/departures", encode(told)?).await?;
    Ok(decode(&bytes)?)
}

/// Serves control requests until the daemon closes.
pub(crate) async fn serve(shared: Arc<Shared>, listener: TcpListener) {
    let connections = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let concurrent = Arc::new(Semaphore::new(MAX_CONCURRENT_REQUESTS));
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
    // If the option cannot be set, responses are only slower.
    let _ = stream.set_nodelay(true);
    let closing = Arc::clone(&shared);
    let service = service_fn(move |request| {
        let (shared, concurrent) = (Arc::clone(&shared), Arc::clone(&concurrent));
        async move { Ok::<_, std::convert::Infallible>(respond(&shared, &concurrent, request).await) }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(RECEIVE_TIMEOUT * 6)
        .serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        // The peer notices a broken connection itself.
        _ = connection => {}
        () = closing.lifecycle.wait_closed() => {}
    }
}

/// Returns the response to a control request, compressed if the peer accepts that.
async fn respond(
    shared: &Shared,
    concurrent: &Semaphore,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let accepts_compression = compression::is_accepted(request.headers());
    let result = match concurrent.try_acquire() {
        Ok(_permit) => handle(shared, request).await,
        Err(_) => Err(Rejection::Busy),
    };
    match result {
        Ok(bytes) if accepts_compression => compression::response(bytes),
        Ok(bytes) => Response::new(Full::new(bytes.into())),
        Err(error) => {
            let mut response = Response::new(Full::new(error.to_string().into()));
            *response.status_mut() = error.status();
            response
        }
    }
}

/// Handles a control request and returns the encoded response.
async fn handle(shared: &Shared, request: Request<Incoming>) -> Result<Vec<u8>, Rejection> {
    if !header::is_from_fleet(request.headers(), shared.fleet()) {
        return Err(Rejection::Fleet);
    }
    let path = request.uri().path().to_owned();
    let body = tokio::time::timeout(
        RECEIVE_TIMEOUT,
        Limited::new(request.into_body(), MAX_MESSAGE_BYTES).collect(),
    );
    let Ok(Ok(body)) = body.await else {
        return Err(Rejection::Body);
    };
    let message = body.to_bytes();
    match path.as_str() {
        "/config" => handle_pull(shared, &decode(&message)?),
        "/sync" => handle_sync(shared, &decode(&message)?),
        "/records" => {
            merge_records(shared, &decode::<Vec<Record>>(&message)?);
            Ok(Vec::new())
        }
        "/history" => handle_history(shared),
        "/suspects" => handle_suspects(shared),
        "/departures" => Ok(encode(&departed::receive(shared, &decode::<Departures>(&message)?))?),
        "/rollouts" => Ok(encode(&rollouts::known(shared))?),
        _ => Err(Rejection::Path),
    }
}

fn handle_pull(shared: &Shared, pull: &PullRequest) -> Result<Vec<u8>, Rejection> {
    let response = lock(&shared.control).replica.respond(pull);
    let bytes = encode(&response)?;
    // The distance of the transfer is counted by the requesting daemon.
    shared.traffic.record_sent(Distance::Near, bytes.len() + HEAD_BYTES);
    Ok(bytes)
}

fn handle_sync(shared: &Shared, request: &SyncRequest) -> Result<Vec<u8>, Rejection> {
    if request.fleet != *shared.fleet() {
        return Err(Rejection::Fleet);
    }
    let mut control = lock(&shared.control);
    let now = shared.now();
    let response = control.detector.handle_sync_request(now, request);
    services::refresh(shared, &control);
    let bytes = encode(&response)?;
    shared.traffic.record_sent(shared.distance(&request.from), bytes.len() + HEAD_BYTES);
    Ok(bytes)
}

fn merge_records(shared: &Shared, records: &[Record]) {
    let mut control = lock(&shared.control);
    let now = shared.now();
    control.detector.merge_records(now, records);
    services::refresh(shared, &control);
}

fn handle_history(shared: &Shared) -> Result<Vec<u8>, Rejection> {
    let entries: Vec<history::Entry> = lock(&shared.control).history.entries().cloned().collect();
    Ok(encode(&entries)?)
}

fn handle_suspects(shared: &Shared) -> Result<Vec<u8>, Rejection> {
    let now = shared.now();
    let reports = lock(&shared.suspects).reports(now, suspects::CALLS_PER_RESPONSE);
    let suspects: Vec<Suspect> = reports.into_iter().map(suspects::encode).collect();
    Ok(encode(&suspects)?)
}
