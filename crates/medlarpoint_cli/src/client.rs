//! Requests to a daemon's API.

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

/// Longest time a request may take beyond a wait it asks for.
const TIMEOUT: Duration = Duration::from_secs(15);
/// Largest answer, in bytes.
const MAX_ANSWER_BYTES: usize = 16_000_000;

/// A request that failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum RequestError {
    /// No connection.
    #[error("cannot reach the daemon at {address}: {reason}; name another with --api")]
    Connect {
        /// The address.
        address: SocketAddr,
        /// The reason.
        reason: String,
    },
    /// No answer.
    #[error("the daemon at {0} did not answer")]
    Lost(SocketAddr),
    /// The daemon refused.
    #[error("{message}")]
    Refused {
        /// Status of the answer.
        status: StatusCode,
        /// Stable name of the reason.
        code: String,
        /// The reason.
        message: String,
    },
    /// The answer cannot be read.
    #[error("the answer of the daemon cannot be read: {0}")]
    Malformed(String),
}

impl RequestError {
    /// Tells whether the request may have taken effect.
    pub(crate) fn is_unknown(&self) -> bool {
        match self {
            Self::Lost(_) | Self::Malformed(_) => true,
            Self::Connect { .. } => false,
            Self::Refused { code, .. } => code == "unknown-outcome",
        }
    }

    /// Returns the exit code for it.
    pub(crate) fn exit(&self) -> Exit {
        let Self::Refused { code, status, .. } = self else {
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

/// Error body of the API.
#[derive(Debug, Default, Deserialize)]
struct ErrorBody {
    #[serde(default)]
    error_code: Option<String>,
    #[serde(default)]
    message: String,
}

/// A daemon's API.
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

    pub(crate) async fn wait<T: DeserializeOwned>(
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
            let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES).collect().await;
            let body = body.map_err(|_| RequestError::Lost(self.address))?.to_bytes();
            Ok((status, body))
        };
        let answered = tokio::time::timeout(timeout, exchange).await;
        let (status, body) = answered.map_err(|_| RequestError::Lost(self.address))??;
        if status.is_success() {
            return serde_json::from_slice(&body).map_err(|e| malformed(e.to_string()));
        }
        let error: ErrorBody = serde_json::from_slice(&body).unwrap_or_default();
        let code = error.error_code.unwrap_or_default();
        Err(RequestError::Refused { status, code, message: error.message })
    }
}
