//! The operators' API.

use std::sync::Arc;
use std::time::Duration;

use dropshot::{
    ApiDescription, ApiDescriptionRegisterError, ClientErrorStatusCode, ErrorStatusCode, HttpError,
    HttpResponseOk, Path, Query, RequestContext, TypedBody, endpoint,
};
use http::Response;
use medlarpoint_api::{
    Commit, CommitResult, Drain, Explanation, History, Resources, Status, Target, Topic,
};
use medlarpoint_config::commit::Rejection;
use medlarpoint_model::{Entry, Key, Kind, Name};
use metrics_exporter_prometheus::PrometheusHandle;
use schemars::JsonSchema;
use serde::Deserialize;

use crate::commit::{self, CommitError};
use crate::control::Driver;
use crate::traffic::Counts;
use crate::{api_response, auth, explain, target};

/// Maximum time that a status request waits for a change.
const MAX_WAIT: Duration = Duration::from_secs(30);
/// Number of versions that the history lists by default.
const DEFAULT_HISTORY: u32 = 20;

/// State shared by the request handlers.
#[derive(Debug)]
pub(crate) struct Context {
    pub(crate) driver: Arc<Driver>,
    pub(crate) metrics: Option<PrometheusHandle>,
}

/// Query parameters that select resources.
#[derive(Debug, Deserialize, JsonSchema)]
struct ResourceFilter {
    /// Kind of the resources; all kinds if absent.
    kind: Option<Kind>,
}

/// Path parameters that name a resource.
#[derive(Debug, Deserialize, JsonSchema)]
struct ResourcePath {
    /// Kind of the resource.
    kind: Kind,
    /// Name of the resource.
    name: Name,
}

/// Query parameters of a status request that waits for a change.
#[derive(Debug, Deserialize, JsonSchema)]
struct StatusWait {
    /// Change count of the last status seen; the response is delayed until the
    /// count differs.
    seen: Option<u64>,
    /// Maximum wait, in milliseconds; at most 30,000, which is also the default.
    wait_ms: Option<u64>,
}

/// Query parameters that limit a list.
#[derive(Debug, Deserialize, JsonSchema)]
struct ListLimit {
    /// Maximum number of entries to return.
    limit: Option<u32>,
}

fn client_error(code: &str, status: ClientErrorStatusCode, message: String) -> HttpError {
    HttpError::for_client_error(Some(code.to_owned()), status, message)
}

fn authorize(request: &RequestContext<Context>) -> Result<(), HttpError> {
    let token = request.context().driver.shared().settings.token.as_deref();
    let sender = request.request.remote_addr().ip();
    auth::check_write(token, sender, request.request.headers()).map_err(|rejected| {
        let (code, status) = match rejected {
            auth::Rejected::Remote => ("forbidden", ClientErrorStatusCode::FORBIDDEN),
            auth::Rejected::Token => ("unauthorized", ClientErrorStatusCode::UNAUTHORIZED),
        };
        client_error(code, status, rejected.to_string())
    })
}

impl From<CommitError> for HttpError {
    fn from(error: CommitError) -> Self {
        let message = error.to_string();
        let conflict = ClientErrorStatusCode::CONFLICT;
        match error {
            CommitError::Rejected(reason) => match reason {
                Rejection::Conflict { .. } | Rejection::NotFound { .. } => {
                    client_error("conflict", conflict, message)
                }
                Rejection::Contended => client_error("contended", conflict, message),
                Rejection::Invalid(_) => {
                    client_error("invalid", ClientErrorStatusCode::UNPROCESSABLE_ENTITY, message)
                }
                Rejection::TooLarge { .. } => {
                    client_error("too-large", ClientErrorStatusCode::PAYLOAD_TOO_LARGE, message)
                }
                Rejection::Unavailable(_) => unavailable("store-unavailable", message),
                Rejection::StoreBehind { .. } => unavailable("store-behind", message),
                Rejection::Corrupt(_) => unavailable("store-corrupt", message),
            },
            CommitError::OperatorOwned => client_error("owned-by-operator", conflict, message),
            CommitError::UnknownOutcome(_) => unavailable("unknown-outcome", message),
        }
    }
}

fn unavailable(code: &str, message: String) -> HttpError {
    HttpError {
        status_code: ErrorStatusCode::SERVICE_UNAVAILABLE,
        error_code: Some(code.to_owned()),
        external_message: message.clone(),
        internal_message: message,
        headers: None,
    }
}

/// Commit edits as one version.
#[endpoint { method = POST, path = "/v1/commits" }]
async fn post_commit(
    request: RequestContext<Context>,
    body: TypedBody<Commit>,
) -> Result<HttpResponseOk<CommitResult>, HttpError> {
    authorize(&request)?;
    let commit = body.into_inner();
    Ok(HttpResponseOk(commit::commit(&request.context().driver, &commit).await?))
}

/// List the resources in force.
#[endpoint { method = GET, path = "/v1/resources" }]
async fn get_resources(
    request: RequestContext<Context>,
    filter: Query<ResourceFilter>,
) -> Result<HttpResponseOk<Resources>, HttpError> {
    let kind = filter.into_inner().kind;
    let matches = |key: &Key| kind.is_none_or(|kind| key.kind == kind);
    Ok(HttpResponseOk(resources(&request, matches)))
}

/// Read one resource in force.
#[endpoint { method = GET, path = "/v1/resources/{kind}/{name}" }]
async fn get_resource(
    request: RequestContext<Context>,
    path: Path<ResourcePath>,
) -> Result<HttpResponseOk<Resources>, HttpError> {
    let ResourcePath { kind, name } = path.into_inner();
    let key = Key { kind, name };
    let found = resources(&request, |other| *other == key);
    if found.entries.is_empty() {
        let message = format!("{key} is not declared in {}", found.version);
        return Err(client_error("not-found", ClientErrorStatusCode::NOT_FOUND, message));
    }
    Ok(HttpResponseOk(found))
}

fn resources(request: &RequestContext<Context>, matches: impl Fn(&Key) -> bool) -> Resources {
    let in_force = request.context().driver.shared().in_force.load_full();
    let snapshot = &in_force.snapshot;
    let entries = snapshot.entries.iter().filter(|(key, _)| matches(key));
    let entries: Vec<Entry> = entries.map(|(_, entry)| entry.clone()).collect();
    Resources { version: snapshot.version, digest: snapshot.digest, entries }
}

/// Describe the fleet as this daemon sees it, immediately or after a change.
#[endpoint { method = GET, path = "/v1/status" }]
async fn get_status(
    request: RequestContext<Context>,
    wait: Query<StatusWait>,
) -> Result<HttpResponseOk<Status>, HttpError> {
    let shared = request.context().driver.shared();
    let StatusWait { seen, wait_ms } = wait.into_inner();
    if let Some(seen) = seen {
        let wait = wait_ms.map_or(MAX_WAIT, Duration::from_millis).min(MAX_WAIT);
        let mut changes = shared.lifecycle.subscribe_changes();
        // If nothing changes within the wait, the current status is returned.
        let _ = tokio::time::timeout(wait, changes.wait_for(|count| *count != seen)).await;
    }
    Ok(HttpResponseOk(api_response::status(shared)))
}

/// List recent versions, newest first.
#[endpoint { method = GET, path = "/v1/history" }]
async fn get_history(
    request: RequestContext<Context>,
    limit: Query<ListLimit>,
) -> Result<HttpResponseOk<History>, HttpError> {
    let limit = limit.into_inner().limit.unwrap_or(DEFAULT_HISTORY);
    Ok(HttpResponseOk(api_response::history(request.context().driver.shared(), limit as usize)))
}

/// Explain a resource, a version or a target.
#[endpoint { method = GET, path = "/v1/why" }]
async fn get_why(
    request: RequestContext<Context>,
    topic: Query<Topic>,
) -> Result<HttpResponseOk<Explanation>, HttpError> {
    let shared = request.context().driver.shared();
    let bad_topic =
        |message: String| client_error("bad-topic", ClientErrorStatusCode::BAD_REQUEST, message);
    let explanation = match topic.into_inner() {
        Topic { resource: Some(text), version: None, target: None } => {
            let key: Key = text.parse().map_err(|e| bad_topic(format!("{e}")))?;
            explain::resource(shared, key)
        }
        Topic { resource: None, version: Some(version), target: None } => {
            explain::version(shared, version)
        }
        Topic { resource: None, version: None, target: Some(vm) } => explain::target(shared, &vm),
        _ => {
            return Err(bad_topic(
                "set exactly one of the parameters resource, version and target".to_owned(),
            ));
        }
    };
    Ok(HttpResponseOk(explanation))
}

/// Register the target of this VM, or change its slots.
#[endpoint { method = PUT, path = "/v1/target" }]
async fn put_target(
    request: RequestContext<Context>,
    body: TypedBody<Target>,
) -> Result<HttpResponseOk<Status>, HttpError> {
    authorize(&request)?;
    let driver = &request.context().driver;
    target::announce(driver, body.into_inner()).map_err(|error| {
        client_error("invalid", ClientErrorStatusCode::UNPROCESSABLE_ENTITY, error.to_string())
    })?;
    Ok(HttpResponseOk(api_response::status(driver.shared())))
}

/// Stop or resume new calls to the target of this VM.
#[endpoint { method = POST, path = "/v1/drain" }]
async fn post_drain(
    request: RequestContext<Context>,
    body: TypedBody<Drain>,
) -> Result<HttpResponseOk<Status>, HttpError> {
    authorize(&request)?;
    let driver = &request.context().driver;
    target::drain(driver, body.into_inner().draining).map_err(|error| {
        client_error("no-target", ClientErrorStatusCode::CONFLICT, error.to_string())
    })?;
    Ok(HttpResponseOk(api_response::status(driver.shared())))
}

/// Return the counts of control traffic sent by this daemon.
#[endpoint { method = GET, path = "/v1/traffic" }]
async fn get_traffic(
    request: RequestContext<Context>,
) -> Result<HttpResponseOk<Counts>, HttpError> {
    Ok(HttpResponseOk(request.context().driver.shared().traffic.counts()))
}

/// Return the metrics in the Prometheus text format.
#[endpoint { method = GET, path = "/metrics" }]
async fn get_metrics(
    request: RequestContext<Context>,
) -> Result<Response<dropshot::Body>, HttpError> {
    let text = request.context().metrics.as_ref().map(PrometheusHandle::render);
    let response = Response::builder()
        .header(http::header::CONTENT_TYPE, "text/plain; version=0.0.4")
        .body(text.unwrap_or_default().into());
    response.map_err(|error| HttpError::for_internal_error(error.to_string()))
}

/// Registers the endpoints of the API.
pub(crate) fn description() -> Result<ApiDescription<Context>, ApiDescriptionRegisterError> {
    let mut api = ApiDescription::new();
    api.register(post_commit)?;
    api.register(get_resources)?;
    api.register(get_resource)?;
    api.register(get_status)?;
    api.register(get_history)?;
    api.register(get_why)?;
    api.register(put_target)?;
    api.register(post_drain)?;
    api.register(get_traffic)?;
    api.register(get_metrics)?;
    Ok(api)
}

/// Error while rendering the `OpenAPI` document.
#[derive(Debug, thiserror::Error)]
pub enum DocumentError {
    /// Two endpoints conflict.
    #[error(transparent)]
    Register(#[from] ApiDescriptionRegisterError),
    /// The document cannot be serialized as JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
}

/// Renders the `OpenAPI` document.
pub fn openapi() -> Result<String, DocumentError> {
    let api = description()?;
    let version = semver::Version::new(1, 0, 0);
    let document = api.openapi("medlarpoint", version).json()?;
    Ok(serde_json::to_string_pretty(&document)? + "\n")
}
