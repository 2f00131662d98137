//! HTTP client and server shared by the stand-ins.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ::http::{Method, Request, Response, StatusCode};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

/// Error of a request.
#[derive(Debug, thiserror::Error)]
pub enum HttpError {
    /// The connection failed, or the request could not be built.
    #[error("{0}")]
    Transport(String),
    /// No complete response arrived in time.
    #[error("no response within {} ms", .0.as_millis())]
    Timeout(Duration),
    /// The response has an error status.
    #[error("status {0}: {1}")]
    Status(StatusCode, String),
}

/// HTTP client with a time limit per request.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
    timeout: Duration,
}

impl HttpClient {
    /// Creates a client with a time limit for each request.
    pub fn new(timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client =
            Client::builder(TokioExecutor::new()).pool_max_idle_per_host(256).build(connector);
        Self { client, timeout }
    }

    /// Sends a request and returns the complete response.
    pub async fn send(&self, request: Request<Full<Bytes>>) -> Result<Response<Bytes>, HttpError> {
        let exchange = async {
            let response = self.client.request(request).await;
            let response = response.map_err(|e| HttpError::Transport(format!("{e:?}")))?;
            let (parts, body) = response.into_parts();
            let body = body.collect().await.map_err(|e| HttpError::Transport(e.to_string()))?;
            Ok(Response::from_parts(parts, body.to_bytes()))
        };
        let result = tokio::time::timeout(self.timeout, exchange).await;
        result.map_err(|_| HttpError::Timeout(self.timeout))?
    }

    /// Sends JSON and returns the response body if the status is a success.
    pub async fn json<T: Serialize + Sync>(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: &T,
    ) -> Result<Bytes, HttpError> {
        let failed = |e: String| HttpError::Transport(e);
        let text = serde_json::to_vec(body).map_err(|e| failed(e.to_string()))?;
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header(::http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(text)))
            .map_err(|e| failed(e.to_string()))?;
        success_body(self.send(request).await?)
    }

    /// Sends a GET request and returns the response body if the status is a success.
    pub async fn get(&self, address: SocketAddr, path: &str) -> Result<Bytes, HttpError> {
        let request = Request::builder()
            .uri(format!("http://{address}{path}"))
            .body(Full::new(Bytes::new()))
            .map_err(|e| HttpError::Transport(e.to_string()))?;
        success_body(self.send(request).await?)
    }
}

/// Returns the body of a response with a success status.
fn success_body(response: Response<Bytes>) -> Result<Bytes, HttpError> {
    if response.status().is_success() {
        return Ok(response.into_body());
    }
    let text = String::from_utf8_lossy(response.body()).into_owned();
    Err(HttpError::Status(response.status(), text))
}

/// Serves a handler on a listener until the task is aborted, which also closes the
/// connections. A handler that returns `None` closes its connection without a
/// response.
pub(crate) fn serve<S, F>(
    listener: TcpListener,
    state: Arc<S>,
    handle: fn(Arc<S>, Request<Incoming>) -> F,
) -> JoinHandle<()>
where
    S: Send + Sync + 'static,
    F: Future<Output = Option<Response<Full<Bytes>>>> + Send + 'static,
{
    tokio::spawn(async move {
        let mut connections = tokio::task::JoinSet::new();
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                continue;
            };
            // Without TCP_NODELAY, responses are only slower.
            let _ = stream.set_nodelay(true);
            let state = Arc::clone(&state);
            connections.spawn(async move {
                let service = service_fn(move |request| {
                    let response = handle(Arc::clone(&state), request);
                    async move { response.await.ok_or(NoResponse) }
                });
                let builder = auto::Builder::new(TokioExecutor::new());
                // The client notices a broken connection; the server needs no action.
                let _ = builder.serve_connection(TokioIo::new(stream), service).await;
            });
            while connections.try_join_next().is_some() {}
        }
    })
}

/// Error that makes the server close a connection without a response.
#[derive(Debug, thiserror::Error)]
#[error("no response is sent")]
struct NoResponse;

/// Builds a response.
pub(crate) fn respond(status: StatusCode, body: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response
}

/// Returns the complete request body, or an empty one if the connection fails.
pub(crate) async fn read_body(body: Incoming) -> Bytes {
    body.collect().await.map(http_body_util::Collected::to_bytes).unwrap_or_default()
}
