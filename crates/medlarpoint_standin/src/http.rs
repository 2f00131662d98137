//! Shared HTTP plumbing of the stand-ins.

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

/// A request that got no answer.
#[derive(Debug, thiserror::Error)]
pub enum HttpError {
    /// The exchange broke.
    #[error("{0}")]
    Transport(String),
    /// No answer in time.
    #[error("no answer within {} ms", .0.as_millis())]
    Timeout(Duration),
    /// The answer has an error status.
    #[error("status {0}: {1}")]
    Status(StatusCode, String),
}

/// A small HTTP client.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
    timeout: Duration,
}

impl HttpClient {
    /// Creates a client with a limit for each request.
    pub fn new(timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client =
            Client::builder(TokioExecutor::new()).pool_max_idle_per_host(256).build(connector);
        Self { client, timeout }
    }

    /// Exchanges a request for a whole answer.
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

    /// Sends JSON and expects a good status.
    pub async fn json<T: Serialize + Sync>(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: &T,
    ) -> Result<Bytes, HttpError> {
        let broken = |e: String| HttpError::Transport(e);
        let text = serde_json::to_vec(body).map_err(|e| broken(e.to_string()))?;
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header(::http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(text)))
            .map_err(|e| broken(e.to_string()))?;
        good(self.send(request).await?)
    }

    /// Reads a path and expects a good status.
    pub async fn get(&self, address: SocketAddr, path: &str) -> Result<Bytes, HttpError> {
        let request = Request::builder()
            .uri(format!("http://{address}{path}"))
            .body(Full::new(Bytes::new()))
            .map_err(|e| HttpError::Transport(e.to_string()))?;
        good(self.send(request).await?)
    }
}

fn good(response: Response<Bytes>) -> Result<Bytes, HttpError> {
    if response.status().is_success() {
        return Ok(response.into_body());
    }
    let text = String::from_utf8_lossy(response.body()).into_owned();
    Err(HttpError::Status(response.status(), text))
}

/// Serves a handler on a listener; abort the task to stop. Connections end
/// with it.
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
            // Without it, answers are only slower.
            let _ = stream.set_nodelay(true);
            let state = Arc::clone(&state);
            connections.spawn(async move {
                let service = service_fn(move |request| {
                    let answer = handle(Arc::clone(&state), request);
                    async move { answer.await.ok_or(Silence) }
                });
                let builder = auto::Builder::new(TokioExecutor::new());
                // A broken connection is the other end's to notice.
                let _ = builder.serve_connection(TokioIo::new(stream), service).await;
            });
            while connections.try_join_next().is_some() {}
        }
    })
}

/// Makes the server drop a connection without an answer.
#[derive(Debug, thiserror::Error)]
#[error("no answer is given")]
struct Silence;

/// Builds an answer.
pub(crate) fn answer(status: StatusCode, body: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response
}

/// Reads a whole request body, or an empty one if it breaks off.
pub(crate) async fn read(body: Incoming) -> Bytes {
    body.collect().await.map(http_body_util::Collected::to_bytes).unwrap_or_default()
}
