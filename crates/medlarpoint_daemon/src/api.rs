//! The operators' API.

use std::sync::Arc;
use std::time::Duration;

use dropshot::{
    ApiDescription, ApiDescriptionRegisterError, ClientErrorStatusCode, ErrorStatusCode, HttpError,
    HttpResponseOk, Path, Query, RequestContext, TypedBody, endpoint,
};
use http::Response;
use medlarpoint_api::{Commit, Committed, Drain, History, Resources, Status, Target, Topic, Why};
use medlarpoint_config::commit::Refusal;
use medlarpoint_model::{Entry, Key, Kind, Name};
use metrics_exporter_prometheus::PrometheusHandle;
use schemars::JsonSchema;
use serde::Deserialize;

use crate::commit::{self, CommitError};
use crate::control::Driver;
use crate::traffic::Counts;
use crate::{auth, explain, target, view};

/// Longest wait of a status request.
const MAX_WAIT: Duration = Duration::from_secs(30);
/// Versions listed unless asked otherwise.
const DEFAULT_HISTORY: u32 = 20;

/// What the handlers share.
#[derive(Debug)]
pub(crate) struct Context {
    pub(crate) driver: Arc<Driver>,
    pub(crate) metrics: Option<PrometheusHandle>,
}

/// Selects resources.
#[derive(Debug, Deserialize, JsonSchema)]
struct Selection {
    /// Kind of the resources; all kinds when absent.
    kind: Option<Kind>,
}

/// Names a resource.
#[derive(Debug, Deserialize, JsonSchema)]
struct Named {
    /// Kind of the resource.
    kind: Kind,
    /// Name of the resource.
    name: Name,
}

/// Waits for a change.
#[derive(Debug, Deserialize, JsonSchema)]
struct Waiting {
    /// Change count of the last status seen; answers once it differs.
    seen: Option<u64>,
    /// Longest wait, in milliseconds.
    wait_ms: Option<u64>,
}

/// Limits a list.
#[derive(Debug, Deserialize, JsonSchema)]
struct Limit {
    /// Most entries to return.
    limit: Option<u32>,
}

fn client_error(code: &str, status: ClientErrorStatusCode, message: String) -> HttpError {
    HttpError::for_client_error(Some(code.to_owned()), status, message)
}

fn authorize(request: &RequestContext<Context>) -> Result<(), HttpError> {
    let token = request.context().driver.shared().settings.token.as_deref();
    let sender = request.request.remote_addr().ip();
    auth::check_write(token, sender, request.request.headers()).map_err(|refused| {
        let (code, status) = match refused {
            auth::Rejected::Remote => ("forbidden", ClientErrorStatusCode::FORBIDDEN),
            auth::Rejected::Token => ("unauthorized", ClientErrorStatusCode::UNAUTHORIZED),
        };
        client_error(code, status, refused.to_string())
    })
}

impl From<CommitError> for HttpError {
    fn from(error: CommitError) -> Self {
        let message = error.to_string();
        let conflict = ClientErrorStatusCode::CONFLICT;
        match error {
            CommitError::Refused(refusal) => match refusal {
                Refusal::Conflict { .. } | Refusal::Gone { .. } => {
                    client_error("conflict", conflict, message)
                }
                Refusal::Contended => client_error("contended", conflict, message),
                Refusal::Invalid(_) => {
                    client_error("invalid", ClientErrorStatusCode::UNPROCESSABLE_ENTITY, message)
                }
                Refusal::TooLarge { .. } => {
                    client_error("too-large", ClientErrorStatusCode::PAYLOAD_TOO_LARGE, message)
                }
                Refusal::Unavailable(_) => unavailable("store-unavailable", message),
                Refusal::StoreBehind { .. } => unavailable("store-behind", message),
                Refusal::Corrupt(_) => unavailable("store-corrupt", message),
            },
            CommitError::Owned => client_error("owned-by-operator", conflict, message),
            CommitError::Unknown(_) => unavailable("unknown-outcome", message),
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
) -> Result<HttpResponseOk<Committed>, HttpError> {
    authorize(&request)?;
    let commit = body.into_inner();
    Ok(HttpResponseOk(commit::commit(&request.context().driver, &commit).await?))
}

/// List the resources in force.
#[endpoint { method = GET, path = "/v1/resources" }]
async fn get_resources(
    request: RequestContext<Context>,
    selection: Query<Selection>,
) -> Result<HttpResponseOk<Resources>, HttpError> {
    let kind = selection.into_inner().kind;
    let wanted = |key: &Key| kind.is_none_or(|kind| key.kind == kind);
    Ok(HttpResponseOk(resources(&request, wanted)))
}

/// Read one resource in force.
#[endpoint { method = GET, path = "/v1/resources/{kind}/{name}" }]
async fn get_resource(
    request: RequestContext<Context>,
    named: Path<Named>,
) -> Result<HttpResponseOk<Resources>, HttpError> {
    let named = named.into_inner();
    let key = Key { kind: named.kind, name: named.name };
    let found = resources(&request, |other| *other == key);
    if found.entries.is_empty() {
        let message = format!("{key} is not declared in {}", found.version);
        return Err(client_error("not-found", ClientErrorStatusCode::NOT_FOUND, message));
    }
    Ok(HttpResponseOk(found))
}

fn resources(request: &RequestContext<Context>, wanted: impl Fn(&Key) -> bool) -> Resources {
    let in_force = request.context().driver.shared().in_force.load_full();
    let snapshot = &in_force.snapshot;
    let entries = snapshot.entries.iter().filter(|(key, _)| wanted(key));
    let entries: Vec<Entry> = entries.map(|(_, entry)| entry.clone()).collect();
    Resources { version: snapshot.version, digest: snapshot.digest, entries }
}

/// Describe the fleet as this daemon sees it, at once or after a change.
#[endpoint { method = GET, path = "/v1/status" }]
async fn get_status(
    request: RequestContext<Context>,
    waiting: Query<Waiting>,
) -> Result<HttpResponseOk<Status>, HttpError> {
    let shared = request.context().driver.shared();
    let waiting = waiting.into_inner();
    if let Some(seen) = waiting.seen {
        let wait = waiting.wait_ms.map_or(MAX_WAIT, Duration::from_millis).min(MAX_WAIT);
        let mut changes = shared.lifecycle.subscribe_changes();
        // Without a change in time, the present status is the answer.
        let _ = tokio::time::timeout(wait, changes.wait_for(|count| *count != seen)).await;
    }
    Ok(HttpResponseOk(view::status(shared)))
}

/// List recent versions, newest first.
#[endpoint { method = GET, path = "/v1/history" }]
async fn get_history(
    request: RequestContext<Context>,
    limit: Query<Limit>,
) -> Result<HttpResponseOk<History>, HttpError> {
    let limit = limit.into_inner().limit.unwrap_or(DEFAULT_HISTORY);
    Ok(HttpResponseOk(view::history(request.context().driver.shared(), limit as usize)))
}

/// Explain a resource, a version or a target.
#[endpoint { method = GET, path = "/v1/why" }]
async fn get_why(
    request: RequestContext<Context>,
    topic: Query<Topic>,
) -> Result<HttpResponseOk<Why>, HttpError> {
    let shared = request.context().driver.shared();
    let bad =
        |message: String| client_error("bad-topic", ClientErrorStatusCode::BAD_REQUEST, message);
    let why = match topic.into_inner() {
        Topic { resource: Some(text), version: None, target: None } => {
            let key: Key = text.parse().map_err(|e| bad(format!("{e}")))?;
            explain::resource(shared, key)
        }
        Topic { resource: None, version: Some(version), target: None } => {
            explain::version(shared, version)
        }
        Topic { resource: None, version: None, target: Some(vm) } => explain::target(shared, &vm),
        _ => return Err(bad("name one of resource, version and target".to_owned())),
    };
    Ok(HttpResponseOk(why))
}

/// Announce the target of this VM, or change its slots.
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
    Ok(HttpResponseOk(view::status(driver.shared())))
}

/// Stop or resume new work for the target of this VM.
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
    Ok(HttpResponseOk(view::status(driver.shared())))
}

/// Read the control traffic sent by this daemon.
#[endpoint { method = GET, path = "/v1/traffic" }]
async fn get_traffic(
    request: RequestContext<Context>,
) -> Result<HttpResponseOk<Counts>, HttpError> {
    Ok(HttpResponseOk(request.context().driver.shared().traffic.counts()))
}

/// Metrics in the text format of Prometheus.
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

/// Describes the API.
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

/// The document could not be rendered.
#[derive(Debug, thiserror::Error)]
pub enum DocumentError {
    /// Two endpoints collide.
    #[error(transparent)]
    Register(#[from] ApiDescriptionRegisterError),
    /// The document cannot be written as JSON.
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
