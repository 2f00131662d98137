//! Client of a daemon's API.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client as HttpClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::Exit;

/// Time limit of a request, added to the wait that the request specifies.
const TIMEOUT: Duration = Duration::from_secs(15);
/// Limit on the size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 16_000_000;

/// A request that failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum RequestError {
    /// The connection could not be opened.
    #[error("cannot reach the daemon at {address}: {reason}; name another with --api")]
    Connect {
        /// Address of the daemon.
        address: SocketAddr,
        /// Cause of the failure.
        reason: String,
    },
    /// No complete response arrived.
    #[error("no response from the daemon at {0}")]
    Lost(SocketAddr),
    /// The daemon rejected the request.
    #[error("{message}")]
    Rejected {
        /// HTTP status of the response.
        status: StatusCode,
        /// Stable name of the reason, `error_code` in the response.
        code: String,
        /// Reason for people.
        message: String,
    },
    /// The response cannot be decoded, or the request cannot be encoded.
    #[error("the response of the daemon cannot be decoded: {0}")]
    Malformed(String),
}

impl RequestError {
    /// Returns whether the request may have taken effect.
    pub(crate) fn is_unknown(&self) -> bool {
        match self {
            Self::Lost(_) | Self::Malformed(_) => true,
            Self::Connect { .. } => false,
            Self::Rejected { code, .. } => code == "unknown-outcome",
        }
    }

    /// Returns the exit code for the error.
    pub(crate) fn exit(&self) -> Exit {
        let Self::Rejected { code, status, .. } = self else {
            return if self.is_unknown() { Exit::Unknown } else { Exit::Failure };
        };
        match code.as_str() {
            "conflict" | "contended" => Exit::Conflict,
            "invalid" | "too-large" | "bad-topic" => Exit::Invalid,
            "store-unavailable" | "store-behind" => Exit::StoreUnavailable,
            "unknown-outcome" => Exit::Unknown,
            "owned-by-operator" => Exit::Owned,
            "not-found" => Exit::NotFound,
            "unauthorized" | "forbidden" => Exit::Unauthorized,
            _ if *status == StatusCode::BAD_REQUEST => Exit::Invalid,
            _ => Exit::Failure,
        }
    }
}

/// Body of an error response of the API.
#[derive(Debug, Default, Deserialize)]
struct ErrorBody {
    #[serde(default)]
    error_code: Option<String>,
    #[serde(default)]
    message: String,
}

/// Client of the API of one daemon.
#[derive(Debug)]
pub(crate) struct Client {
    http: HttpClient<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
    token: Option<String>,
}

impl Client {
    pub(crate) fn new(address: SocketAddr, token: Option<String>) -> Self {
        let http = HttpClient::builder(TokioExecutor::new()).build_http();
        Self { http, address, token }
    }

    pub(crate) async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, RequestError> {
        self.call(Method::GET, path, Bytes::new(), TIMEOUT).await
    }

    /// Sends a request that the daemon may hold for up to `wait`.
    pub(crate) async fn get_with_wait<T: DeserializeOwned>(
        &self,
        path: &str,
        wait: Duration,
    ) -> Result<T, RequestError> {
        self.call(Method::GET, path, Bytes::new(), wait + TIMEOUT).await
    }

    pub(crate) async fn post<B: Serialize, T: DeserializeOwned>(
        &self,
        path: &str,
        body: &B,
    ) -> Result<T, RequestError> {
        let text = serde_json::to_vec(body).map_err(|e| RequestError::Malformed(e.to_string()))?;
        self.call(Method::POST, path, text.into(), TIMEOUT).await
    }

    async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<T, RequestError> {
        let malformed = |e: String| RequestError::Malformed(e);
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header(http::header::CONTENT_TYPE, "application/json");
        if let Some(token) = &self.token {
            request = request.header(http::header::AUTHORIZATION, format!("Bearer {token}"));
        }
        let request = request.body(Full::new(body)).map_err(|e| malformed(e.to_string()))?;
        let exchange = async {
            let response = self.http.request(request).await.map_err(|error| {
                if error.is_connect() {
                    let reason = error.to_string();
                    return RequestError::Connect { address: self.address, reason };
                }
                RequestError::Lost(self.address)
            })?;
            let status = response.status();
            let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await;
            let body = body.map_err(|_| RequestError::Lost(self.address))?.to_bytes();
            Ok((status, body))
        };
        let result = tokio::time::timeout(timeout, exchange).await;
        let (status, body) = result.map_err(|_| RequestError::Lost(self.address))??;
        if status.is_success() {
            return serde_json::from_slice(&body).map_err(|e| malformed(e.to_string()));
        }
        let error: ErrorBody = serde_json::from_slice(&body).unwrap_or_default();
        let code = error.error_code.unwrap_or_default();
        Err(RequestError::Rejected { status, code, message: error.message })
    }
}
