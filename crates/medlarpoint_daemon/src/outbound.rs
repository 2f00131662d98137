//! The outbound proxy: takes calls from callers and brings them to a target.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode};
use hyper::body::{Body as _, Incoming};
use medlarpoint_model::{Class, Name};
use medlarpoint_platform::call;
use medlarpoint_routing::{IdempotencyKey, Outcome, Plan, Point, Terms};

use crate::body::{Body, Buffered, Completion, buffer};
use crate::body_limit::Limiter;
use crate::event::Event;
use crate::outbound_call::{OutboundCall, Payload, call_id, set_retry_after};
use crate::state::{ServiceState, Shared, lock};
use crate::{header, inbound};

/// Request bodies up to this size are kept, so that a call can be sent again.
const MAX_REPLAYED_BYTES: usize = 64 * 1024;
/// Advice to a caller for whom no target is in reach: the time that membership
/// takes to learn of one.
const RETRY_AFTER: Duration = Duration::from_millis(400);
/// Part of the fleet's extra attempts that retries may take.
const RETRY_SHARE: f64 = 0.5;
/// Part of them that hedges may take; the rest stays unused.
const HEDGE_SHARE: f64 = 0.25;
/// Longest chain of proxied calls.
const MAX_DEPTH: u32 = 32;
/// Silence after which the inbound proxy is asked about an attempt.
const SUSPECT_AFTER: Duration = Duration::from_secs(1);

/// Why a call was refused before it was routed. Nothing ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::IntoStaticStr, thiserror::Error)]
#[strum(serialize_all = "kebab-case")]
enum Unroutable {
    #[error("this daemon is starting and not yet up to date")]
    Starting,
    #[error("no route matches the call: see `medlarpoint get route`")]
    NoRoute,
    #[error("the chain of calls is deeper than {MAX_DEPTH}: it may be a loop")]
    TooDeep,
    #[error("the request body is larger than `limits.body_bytes` allows")]
    BodySize,
    #[error("the request body is too slow or broke off")]
    BadBody,
    #[error("the service has no target in reach")]
    NoService,
    #[error("this daemon stops: another one serves the call")]
    Stopping,
}

impl Unroutable {
    fn status(self) -> StatusCode {
        match self {
            Self::Starting | Self::NoService | Self::Stopping => StatusCode::SERVICE_UNAVAILABLE,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::TooDeep => StatusCode::LOOP_DETECTED,
            Self::BodySize => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BadBody => StatusCode::BAD_REQUEST,
        }
    }
}

/// Answers a caller.
pub(crate) async fn serve(shared: Arc<Shared>, request: Request<Incoming>) -> Response<Body> {
    let _counted = shared.lifecycle.track_call();
    let started = shared.now();
    let tenant = inbound::tenant(request.headers());
    let in_force = shared.in_force.load_full();
    let host = request.uri().host().map(str::to_owned).or_else(|| {
        let host = request.headers().get(http::header::HOST)?;
        host.to_str().ok().map(str::to_owned)
    });
    let plan = in_force.routes.find(
        host.as_deref(),
        request.method(),
        request.uri().path(),
        request.headers(),
    );
    let caller = call::caller(request.headers());
    let fractional = caller.id.is_some();
    let class = plan.map_or("none", |plan| plan.route.class.into());
    let mut response = match plan {
        Some(plan) => route(&shared, Arc::clone(plan), request, &caller).await,
        None if shared.lifecycle.is_ready() => refuse(Unroutable::NoRoute, fractional),
        None => refuse(Unroutable::Starting, fractional),
    };
    let point = header::parse::<Point>(response.headers(), &header::POINT);
    if let (Some(reason), None) = (response.headers().get(&header::POINT), point) {
        let reason = reason.to_str().unwrap_or_default().to_owned();
        let version = in_force.snapshot.version;
        let id = call_id(caller.id.as_ref());
        shared.emit_call(&Event::CallUnroutable { id, reason, version });
    }
    let version = in_force.snapshot.version.0.to_string();
    header::set(response.headers_mut(), header::VERSION, &version);
    record(&response, tenant.as_str(), class, shared.now().saturating_sub(started));
    response
}

fn record(response: &Response<Body>, tenant: &str, class: &'static str, took: Duration) {
    let outcome: Option<Outcome> = header::parse(response.headers(), &header::OUTCOME);
    let outcome: &'static str = outcome.map_or("ran", Into::into);
    let tenant = tenant.to_owned();
    metrics::counter!("medlarpoint_calls_total", "tenant" => tenant.clone(), "class" => class, "outcome" => outcome)
        .increment(1);
    metrics::histogram!("medlarpoint_call_seconds", "tenant" => tenant, "class" => class)
        .record(took.as_secs_f64());
}

async fn route(
    shared: &Arc<Shared>,
    plan: Arc<Plan>,
    request: Request<Incoming>,
    caller: &call::Caller,
) -> Response<Body> {
    let refuse = |reason| refuse(reason, caller.id.is_some());
    if !shared.lifecycle.is_ready() {
        return refuse(Unroutable::Starting);
    }
    let stop = shared.lifecycle.shutdown();
    if stop.is_some_and(|stop| shared.now() >= stop.accept_until) {
        return refuse(Unroutable::Stopping);
    }
    let depth: u32 = header::parse(request.headers(), &header::DEPTH).unwrap_or(0);
    if depth >= MAX_DEPTH {
        return refuse(Unroutable::TooDeep);
    }
    let Some(service) = shared.service(plan.service(rand::random())) else {
        return refuse(Unroutable::NoService);
    };
    let (mut parts, body) = request.into_parts();
    if body.size_hint().lower() > shared.settings.options.limits.body_bytes {
        return refuse(Unroutable::BodySize);
    }
    let Some(payload) = keep_body(shared, body).await else {
        return refuse(Unroutable::BadBody);
    };
    header::strip_hop_by_hop(&mut parts.headers);
    let origin = shared.live.load().service.clone();
    call::set_origin(&mut parts.headers, origin.as_ref().map(Name::as_str));
    header::set(&mut parts.headers, header::DEPTH, &(depth + 1).to_string());
    let now = shared.now();
    let own = Duration::from_millis(plan.route.deadline_ms);
    let asked = header::millis(&parts.headers, &header::DEADLINE_MS);
    let asked = asked.or(caller.time_left).unwrap_or(own);
    let deadline = now + own.min(asked);
    // Nothing is begun that could not be answered before the process ends.
    let deadline = stop.map_or(deadline, |stop| deadline.min(stop.respond_until));
    let key = idempotency_key(&plan, &parts.headers);
    let replayable = matches!(payload, Payload::Buffered(_));
    let waited = match caller.time_left {
        Some(left) => lock(&shared.patience).waited(&plan.route.name, left),
        None => Duration::ZERO,
    };
    let useful = plan.route.target_latency_ms.map(Duration::from_millis);
    let useful_until = useful.map(|useful| now + useful.saturating_sub(waited));
    let terms = Terms {
        repeatable: plan.route.repeatable,
        keyed: key.is_some(),
        attempts: plan.route.attempts,
        may_retry: parts.headers.get(&header::RETRY).is_none_or(|value| value != "no"),
        deadline,
        useful_until,
        least_time: lock(&service.picker).usual(&plan.route.name).unwrap_or_default() / 2,
        hedge_after: hedge_after(&service, &plan, replayable),
        suspect_after: SUSPECT_AFTER,
    };
    earn(shared, &service, &plan);
    let shared = Arc::clone(shared);
    OutboundCall::new(shared, service, plan, parts, payload, key, terms).run().await
}

/// Small bodies are kept; others stream.
async fn keep_body(shared: &Shared, body: Incoming) -> Option<Payload> {
    if body.is_end_stream() {
        return Some(Payload::Buffered(Bytes::new()));
    }
    let limits = &shared.settings.options.limits;
    let pause = Duration::from_millis(limits.body_pause_ms);
    if body.size_hint().lower() > MAX_REPLAYED_BYTES as u64 {
        return Some(Payload::Stream(Some(Body::limited(
            body,
            Limiter::new(limits.body_bytes, pause),
        ))));
    }
    match tokio::time::timeout(pause, buffer(body, MAX_REPLAYED_BYTES)).await {
        Ok(Ok(Buffered::Complete(body))) => Some(Payload::Buffered(body)),
        Ok(Ok(Buffered::Partial(read, rest))) => {
            Some(Payload::Stream(Some(Body::resumed(read, rest, Completion::None))))
        }
        Ok(Err(_)) | Err(_) => None,
    }
}

/// Lets a call earn its part of extra attempts, within the policy and what the
/// installation allows the fleet.
fn earn(shared: &Shared, service: &ServiceState, plan: &Plan) {
    let ratio = shared.live.load().bounds.retry_ratio;
    let allowed = |share: f64| (ratio * share * 100.0) as u8;
    let retries = plan.policy.retry_budget_percent.min(allowed(RETRY_SHARE));
    let hedges = plan.policy.hedge_budget_percent.min(allowed(HEDGE_SHARE));
    lock(&service.retries).earn(retries);
    lock(&service.hedges).earn(hedges);
}

fn idempotency_key(plan: &Plan, headers: &HeaderMap) -> Option<IdempotencyKey> {
    if plan.route.repeatable {
        return None;
    }
    let text = headers.get(&header::IDEMPOTENCY_KEY)?.to_str().ok()?;
    let tenant = inbound::tenant(headers);
    Some(IdempotencyKey::new(&plan.route.name, tenant.as_str(), text))
}

fn hedge_after(service: &ServiceState, plan: &Plan, replayable: bool) -> Option<Duration> {
    if !plan.route.repeatable || !replayable || plan.policy.hedge_budget_percent == 0 {
        return None;
    }
    match plan.route.class {
        Class::Short => lock(&service.latencies).delay(&plan.route.name),
        Class::Long => None,
    }
}

fn refuse(reason: Unroutable, fractional: bool) -> Response<Body> {
    let mut response = Response::new(Body::full(format!("{reason}\n").into()));
    *response.status_mut() = reason.status();
    let headers = response.headers_mut();
    header::set(headers, header::OUTCOME, Outcome::NotRun.into());
    header::set(headers, header::POINT, reason.into());
    if reason.status() == StatusCode::SERVICE_UNAVAILABLE {
        set_retry_after(headers, RETRY_AFTER, fractional);
    }
    response
}
