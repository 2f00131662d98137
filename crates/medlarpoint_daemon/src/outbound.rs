//! Outbound proxy: accepts calls from local callers and routes each to a target.

use std::sync::Arc;
use std::time::Duration;

use http::{HeaderMap, Request, Response, StatusCode};
use medlarpoint_model::{Class, Name, Version, Workspace};
use medlarpoint_platform::call;
use medlarpoint_routing::{
    Constraints, FailurePoint, IdempotencyKey, Outcome, ResolvedRoute, RouteTable,
};

use crate::body::Body;
use crate::caller_body::CallerBody;
use crate::event::Event;
use crate::outbound_call::{OutboundCall, Payload, Routed};
use crate::outbound_response::{call_id, set_retry_after};
use crate::state::{ServiceState, Shared, lock};
use crate::{header, inbound, quota, workspace};

/// Retry delay suggested to a caller whose call is rejected with status 503: about
/// the time that membership takes to learn of a new target.
const RETRY_AFTER: Duration = Duration::from_millis(400);
/// Fraction of the fleet's extra attempts that retries may use.
const RETRY_FRACTION: f64 = 0.5;
/// Fraction of the fleet's extra attempts that hedges may use; the remaining
/// quarter stays unused.
const HEDGE_FRACTION: f64 = 0.25;
/// Limit on the proxies in a chain of calls; a longer chain is treated as a loop.
const MAX_DEPTH: u32 = 32;
/// Time without a response after which the inbound proxy is queried about an
/// attempt.
const QUERY_AFTER: Duration = Duration::from_secs(1);

/// Reason why a call was rejected before any attempt was made. Nothing ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::IntoStaticStr, thiserror::Error)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum RoutingError {
    #[error("this daemon is starting and has no current configuration yet: retry later")]
    Starting,
    #[error("the key of the call is unknown: check it with the operator")]
    UnknownKey,
    #[error("the call carries no key: send the one of your workspace")]
    MissingKey,
    #[error("the credentials of the call are malformed: send one key of your workspace")]
    MalformedKey,
    #[error("no route matches the call: list the routes with `medlarpoint get route`")]
    NoRoute,
    #[error("the chain of calls exceeds {MAX_DEPTH} proxies: check it for a loop")]
    TooDeep,
    #[error("the request body exceeds the limit `limits.body_bytes`: send a smaller one")]
    BodySize,
    #[error("the request body was truncated or not received within `limits.body_pause_ms`")]
    BadBody,
    #[error("no target of the service is reachable: retry later")]
    NoService,
    #[error("the deadline passed before the turn of the call: send it on another connection")]
    Late,
    #[error("this daemon is shutting down: send the call to another daemon")]
    Stopping,
}

impl RoutingError {
    fn status(self) -> StatusCode {
        match self {
            Self::Starting | Self::NoService | Self::Late | Self::Stopping => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Self::UnknownKey | Self::MissingKey | Self::MalformedKey => StatusCode::UNAUTHORIZED,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::TooDeep => StatusCode::LOOP_DETECTED,
            Self::BodySize => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BadBody => StatusCode::BAD_REQUEST,
        }
    }
}

/// Returns whether the route of a call declares it repeatable.
pub(crate) fn is_repeatable<B>(shared: &Shared, mut request: Request<B>) -> bool {
    let in_force = shared.in_force.load();
    // Routes are found by the headers that are left once the caller is identified.
    workspace::identify(&in_force.keys, request.headers_mut());
    find_route(&in_force.routes, &request).is_some_and(|resolved| resolved.route.repeatable)
}

fn find_route<'a, B>(
    routes: &'a RouteTable,
    request: &Request<B>,
) -> Option<&'a Arc<ResolvedRoute>> {
    let host = request.uri().host().map(str::to_owned).or_else(|| {
        let host = request.headers().get(http::header::HOST)?;
        host.to_str().ok().map(str::to_owned)
    });
    routes.find(host.as_deref(), request.method(), request.uri().path(), request.headers())
}

/// Serves a call: routes it, sends it to a target and returns the response.
///
/// `read_at` is the time at which a call was read that waited for its turn, on the local
/// clock; its deadline counts from then.
pub(crate) async fn serve(
    shared: Arc<Shared>,
    mut request: Request<CallerBody>,
    read_at: Option<Duration>,
) -> Response<Body> {
    let _guard = shared.lifecycle.track_call();
    let started = shared.now();
    let in_force = shared.in_force.load_full();
    let identified = workspace::identify(&in_force.keys, request.headers_mut());
    let resolved = find_route(&in_force.routes, &request);
    let caller = call::caller_info(request.headers());
    let fractional = caller.id.is_some();
    let class = resolved.map_or("none", |resolved| resolved.route.class.into());
    let denial = identified.denial().filter(|_| resolved.is_some_and(|found| !found.route.public));
    let workspace = identified.workspace();
    let tenant = match &workspace {
        Some(workspace) => shared.workspace_labels.of(workspace),
        None => inbound::tenant(request.headers()).0,
    };
    let mut response = match (resolved, denial) {
        _ if !shared.lifecycle.is_ready() => reject(RoutingError::Starting, fractional),
        (Some(_), Some(denial)) => reject(denial, fractional),
        (Some(resolved), None) => {
            dispatch(&shared, Arc::clone(resolved), workspace, request, &caller, read_at).await
        }
        (None, _) => reject(RoutingError::NoRoute, fractional),
    };
    let version = in_force.snapshot.version;
    match (denial, resolved) {
        (Some(denial), Some(resolved)) if response.status() == StatusCode::UNAUTHORIZED => {
            let id = call_id(caller.id.as_ref());
            let (reason, route) =
                (<&str>::from(denial).to_owned(), resolved.route.name.to_string());
            workspace::count_denial(denial);
            shared.emit_call(&Event::KeyRejected { id, route, reason, version });
        }
        _ => log_unroutable(&shared, &response, &caller, version),
    }
    header::set(response.headers_mut(), header::VERSION, &version.0.to_string());
    record_metrics(&response, tenant.as_str(), class, shared.now().saturating_sub(started));
    response
}

/// Logs a call that was rejected before any attempt, except for its quota, which has an event
/// of its own.
fn log_unroutable(
    shared: &Shared,
    response: &Response<Body>,
    caller: &call::CallerInfo,
    version: Version,
) {
    if response.status() == StatusCode::TOO_MANY_REQUESTS {
        return;
    }
    // A point that is not a `FailurePoint` is a `RoutingError`.
    let point = header::parse::<FailurePoint>(response.headers(), &header::POINT);
    if let (Some(reason), None) = (response.headers().get(&header::POINT), point) {
        let reason = reason.to_str().unwrap_or_default().to_owned();
        let id = call_id(caller.id.as_ref());
        shared.emit_call(&Event::CallUnroutable { id, reason, version });
    }
}

fn record_metrics(response: &Response<Body>, tenant: &str, class: &'static str, elapsed: Duration) {
    let outcome: Option<Outcome> = header::parse(response.headers(), &header::OUTCOME);
    let outcome: &'static str = outcome.map_or("ran", Into::into);
    let tenant = tenant.to_owned();
    metrics::counter!("medlarpoint_calls_total", "tenant" => tenant.clone(), "class" => class, "outcome" => outcome)
        .increment(1);
    metrics::histogram!("medlarpoint_call_seconds", "tenant" => tenant, "class" => class)
        .record(elapsed.as_secs_f64());
}

/// Sends a call to a target of its route and returns the response.
async fn dispatch(
    shared: &Arc<Shared>,
    resolved: Arc<ResolvedRoute>,
    workspace: Option<Arc<Workspace>>,
    request: Request<CallerBody>,
    caller: &call::CallerInfo,
    read_at: Option<Duration>,
) -> Response<Body> {
    let reject = |reason| reject(reason, caller.id.is_some());
    if has_ended_acceptance(shared) {
        return reject(RoutingError::Stopping);
    }
    let depth: u32 = header::parse(request.headers(), &header::DEPTH).unwrap_or(0);
    if depth >= MAX_DEPTH {
        return reject(RoutingError::TooDeep);
    }
    let Some(service) = shared.service(resolved.select_service(rand::random())) else {
        return reject(RoutingError::NoService);
    };
    let (mut parts, body) = request.into_parts();
    let limits = &shared.settings.options.limits;
    if body.min_bytes() > limits.body_bytes {
        return reject(RoutingError::BodySize);
    }
    let Some(payload) = body.accept(limits, &shared.buffers).await else {
        return reject(RoutingError::BadBody);
    };
    // Its body may have arrived late.
    if has_ended_acceptance(shared) {
        return reject(RoutingError::Stopping);
    }
    header::strip_hop_by_hop(&mut parts.headers);
    if let Some(workspace) = &workspace {
        header::set(&mut parts.headers, header::WORKSPACE, workspace.name.as_str());
    }
    let origin = shared.reloadable.load().service.clone();
    call::set_origin(&mut parts.headers, origin.as_ref().map(Name::as_str));
    header::set(&mut parts.headers, header::DEPTH, &(depth + 1).to_string());
    let now = shared.now();
    let read_at = read_at.unwrap_or(now);
    let route_limit = Duration::from_millis(resolved.route.deadline_ms);
    let requested = header::millis(&parts.headers, &header::DEADLINE_MS);
    let requested = requested.or(caller.time_left).unwrap_or(route_limit);
    let deadline = read_at + route_limit.min(requested);
    if read_at < now && deadline <= now {
        // It waited for its turn on the connection.
        return reject(RoutingError::Late);
    }
    let key = idempotency_key(&resolved, &parts.headers);
    let replayable = matches!(payload, Payload::Buffered(_));
    let waited = match caller.time_left {
        Some(time_left) => lock(&shared.wait_estimator).elapsed(&resolved.route.name, time_left),
        None => Duration::ZERO,
    };
    let target_latency = resolved.route.target_latency_ms.map(Duration::from_millis);
    let useful_until = target_latency.map(|latency| read_at + latency.saturating_sub(waited));
    let constraints = Constraints {
        repeatable: resolved.route.repeatable,
        keyed: key.is_some(),
        max_target_attempts: resolved.route.attempts,
        may_retry: parts.headers.get(&header::RETRY).is_none_or(|value| value != "no"),
        deadline,
        useful_until,
        min_attempt_time: lock(&service.picker)
            .median_service_time(&resolved.route.name)
            .unwrap_or_default()
            / 2,
        hedge_after: hedge_after(&service, &resolved, replayable),
        query_after: QUERY_AFTER,
    };
    credit_budgets(shared, &service, &resolved);
    let admitted = match quota::admit_call(shared, workspace.as_ref(), caller.id.as_ref()).await {
        Ok(admitted) => admitted,
        Err(rejected) => return rejected.into_response(caller.id.is_some()),
    };
    let routed = Routed { service, resolved, workspace };
    let call = OutboundCall::new(Arc::clone(shared), routed, parts, payload, key, constraints);
    admitted.settle(shared, call.run().await)
}

/// Returns whether a graceful shutdown has come so far that a call could not end before it.
fn has_ended_acceptance(shared: &Shared) -> bool {
    let shutdown = shared.lifecycle.shutdown();
    shutdown.is_some_and(|shutdown| shared.now() >= shutdown.accept_until)
}

/// Credits the retry and hedge budgets for one call, limited by the policy and by
/// the retry ratio that the installation allows the fleet.
fn credit_budgets(shared: &Shared, service: &ServiceState, resolved: &ResolvedRoute) {
    let ratio = shared.reloadable.load().bounds.retry_ratio;
    let max_percent = |fraction: f64| (ratio * fraction * 100.0) as u8;
    let retries = resolved.policy.retry_budget_percent.min(max_percent(RETRY_FRACTION));
    let hedges = resolved.policy.hedge_budget_percent.min(max_percent(HEDGE_FRACTION));
    lock(&service.retries).deposit(retries);
    lock(&service.hedges).deposit(hedges);
}

fn idempotency_key(resolved: &ResolvedRoute, headers: &HeaderMap) -> Option<IdempotencyKey> {
    if resolved.route.repeatable {
        return None;
    }
    let text = headers.get(&header::IDEMPOTENCY_KEY)?.to_str().ok()?;
    let tenant = inbound::tenant(headers);
    Some(IdempotencyKey::new(&resolved.route.name, tenant.as_str(), text))
}

fn hedge_after(
    service: &ServiceState,
    resolved: &ResolvedRoute,
    replayable: bool,
) -> Option<Duration> {
    if !resolved.route.repeatable || !replayable || resolved.policy.hedge_budget_percent == 0 {
        return None;
    }
    match resolved.route.class {
        Class::Short => lock(&service.hedge_delays).delay(&resolved.route.name),
        Class::Long => None,
    }
}

/// Returns the response to a call that was not routed. `fractional` selects a
/// retry delay in fractions of a second.
fn reject(reason: RoutingError, fractional: bool) -> Response<Body> {
    let mut response = Response::new(Body::full(format!("{reason}\n").into()));
    *response.status_mut() = reason.status();
    let headers = response.headers_mut();
    header::set(headers, header::OUTCOME, Outcome::NotRun.into());
    header::set(headers, header::POINT, reason.into());
    match reason.status() {
        StatusCode::SERVICE_UNAVAILABLE => set_retry_after(headers, RETRY_AFTER, fractional),
        StatusCode::UNAUTHORIZED => call::set_challenge(headers),
        _ => {}
    }
    response
}

#[cfg(test)]
mod tests;
