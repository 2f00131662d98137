//! The inbound proxy: takes attempts from other daemons for this VM's target.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode};
use hyper::body::Incoming;
use medlarpoint_model::{Class, Once};
use medlarpoint_platform::call;
use medlarpoint_routing::{
    AttemptId, Ended, Head, IdempotencyKey, IntakeAction, Known, Load, Outcome, Point, Reply,
};
use medlarpoint_wire::Stage;
use tokio::sync::oneshot;

use crate::body::{Body, Completion};
use crate::claim;
use crate::event::Event;
use crate::handover::hand_over;
use crate::header;
use crate::outbound_call::call_id;
use crate::state::{Shared, lock};

/// Rank of a call that names none.
const DEFAULT_RANK: u8 = 1;
/// Failed connections in a row after which a target is taken out.
pub(crate) const TARGET_FAILURE_THRESHOLD: u32 = 3;

/// Those who wait for a decision on their attempt.
pub(crate) type Waiters = HashMap<AttemptId, oneshot::Sender<Decision>>;

/// An answer kept for a resent idempotency key.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct SavedResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// A decision on an attempt.
#[derive(Debug)]
pub(crate) enum Decision {
    HandOver,
    Reply(Reply<SavedResponse>),
}

/// An attempt handed over to the target. Dropped before its end, it counts as
/// broken.
#[derive(Debug)]
pub(crate) struct InFlightAttempt {
    shared: Arc<Shared>,
    attempt: AttemptId,
    done: bool,
}

impl InFlightAttempt {
    /// The target is done.
    pub(crate) fn answered(self) {
        self.end(Ended::Answered(None));
    }

    pub(crate) fn end(mut self, ended: Ended<SavedResponse>) {
        self.done = true;
        finish(&self.shared, self.attempt, ended);
    }
}

impl Drop for InFlightAttempt {
    fn drop(&mut self) {
        if !self.done {
            finish(&self.shared, self.attempt, Ended::Broken);
        }
    }
}

fn finish(shared: &Arc<Shared>, attempt: AttemptId, ended: Ended<SavedResponse>) {
    let actions = {
        let now = shared.now();
        lock(&shared.intake).ended(now, attempt, ended)
    };
    perform(shared, actions);
}

/// Tells the intake when nobody waits for an attempt any more.
struct Cancel {
    shared: Arc<Shared>,
    attempt: AttemptId,
    decision: oneshot::Receiver<Decision>,
    armed: bool,
}

impl Drop for Cancel {
    fn drop(&mut self) {
        if !self.armed {
            return;
        }
        lock(&self.shared.waiters).remove(&self.attempt);
        if let Ok(Decision::HandOver) = self.decision.try_recv() {
            // Decided, but not yet carried out.
            finish(&self.shared, self.attempt, Ended::NotHanded);
        }
        let actions = {
            let now = self.shared.now();
            lock(&self.shared.intake).cancel(now, self.attempt)
        };
        perform(&self.shared, actions);
    }
}

/// Carries out the decisions of the intake.
pub(crate) fn perform(shared: &Arc<Shared>, actions: Vec<IntakeAction<SavedResponse>>) {
    for action in actions {
        match action {
            IntakeAction::Claim { attempt, key } => {
                let shared = Arc::clone(shared);
                tokio::spawn(async move { claim::claim(&shared, attempt, key).await });
            }
            IntakeAction::HandOver { attempt } => signal(shared, attempt, Decision::HandOver),
            IntakeAction::Reply { attempt, reply } => {
                signal(shared, attempt, Decision::Reply(reply));
            }
            // The exchange with the target ends with the future that drives it.
            IntakeAction::Abort { .. } => {}
        }
    }
}

fn signal(shared: &Arc<Shared>, attempt: AttemptId, signal: Decision) {
    let waiter = lock(&shared.waiters).remove(&attempt);
    let unheard = match waiter {
        Some(waiter) => waiter.send(signal).err(),
        None => Some(signal),
    };
    if let Some(Decision::HandOver) = unheard {
        // Whoever was to carry it out has gone; nothing was handed over.
        finish(shared, attempt, Ended::NotHanded);
    }
}

/// Why a request is no attempt.
#[derive(Debug, thiserror::Error)]
enum Malformed {
    #[error("the request comes from another fleet: check the `fleet` setting")]
    Fleet,
    #[error("the header {0} is missing or malformed: callers use the `listen.calls` address")]
    Header(http::HeaderName),
}

/// Answers an attempt or a question about one.
pub(crate) async fn serve(shared: Arc<Shared>, request: Request<Incoming>) -> Response<Body> {
    if !header::is_from_fleet(request.headers(), shared.fleet()) {
        return malformed(&Malformed::Fleet);
    }
    if request.headers().contains_key(&header::QUERY) {
        return answer_query(&shared, request.headers());
    }
    let (parts, body) = request.into_parts();
    let body = Body::streaming(body, Completion::None);
    serve_attempt(shared, Request::from_parts(parts, body)).await
}

/// Answers an attempt, also one that the outbound proxy of this daemon makes.
pub(crate) async fn serve_attempt(shared: Arc<Shared>, request: Request<Body>) -> Response<Body> {
    let (parts, body) = request.into_parts();
    match read_head(&shared, &parts.headers) {
        Ok(head) => take(shared, head, parts, body).await,
        Err(error) => malformed(&error),
    }
}

fn malformed(error: &Malformed) -> Response<Body> {
    let mut response = Response::new(Body::full(error.to_string().into()));
    *response.status_mut() = StatusCode::BAD_REQUEST;
    header::set(response.headers_mut(), header::OUTCOME, "not-run");
    response
}

fn answer_query(shared: &Shared, headers: &HeaderMap) -> Response<Body> {
    let attempt = header::parse(headers, &header::QUERY);
    let boot = header::parse(headers, &header::BOOT);
    let age = header::millis(headers, &header::AGE_MS);
    let (Some(attempt), Some(boot), Some(age)) = (attempt, boot, age) else {
        return malformed(&Malformed::Header(header::QUERY));
    };
    let now = shared.now();
    let known: &'static str = lock(&shared.intake).query(now, attempt, boot, age).into();
    let mut response = Response::new(Body::empty());
    header::set(response.headers_mut(), header::KNOWN, known);
    response
}

/// Parses what [`answer_query`] wrote.
pub(crate) fn parse_known(headers: &HeaderMap) -> Known {
    header::parse(headers, &header::KNOWN).unwrap_or(Known::Unreachable)
}

fn read_head(shared: &Shared, headers: &HeaderMap) -> Result<Head, Malformed> {
    let missing = |name: &http::HeaderName| Malformed::Header(name.clone());
    let attempt =
        header::parse(headers, &header::ATTEMPT).ok_or_else(|| missing(&header::ATTEMPT))?;
    let boot = header::parse(headers, &header::BOOT).ok_or_else(|| missing(&header::BOOT))?;
    let left = header::millis(headers, &header::DEADLINE_MS)
        .ok_or_else(|| missing(&header::DEADLINE_MS))?;
    let route: medlarpoint_model::Name =
        header::parse(headers, &header::ROUTE).ok_or_else(|| missing(&header::ROUTE))?;
    let tenant = tenant(headers);
    // The two daemons may be a version apart; a route that is not known here
    // is treated with the most care.
    let in_force = shared.in_force.load();
    let known = in_force.snapshot.routes().find(|r| r.name == route);
    let class = known.map_or(Class::Short, |route| route.class);
    let once = known.map_or(Once::Store, |route| route.once);
    let repeatable = headers.get(&header::RETRY).is_some_and(|v| v == REPEATABLE);
    let text = headers.get(&header::IDEMPOTENCY_KEY).and_then(|v| v.to_str().ok());
    let key = text.filter(|_| !repeatable);
    let key = key.map(|text| IdempotencyKey::new(&route, tenant.as_str(), text));
    let now = shared.now();
    let weight = lock(&shared.intake).gate_mut().policy().tenant_weights.get(&tenant).copied();
    Ok(Head {
        attempt,
        boot,
        class,
        weight: weight.unwrap_or(1),
        tenant: tenant.0,
        rank: header::parse(headers, &header::RANK).unwrap_or(DEFAULT_RANK),
        kind: route,
        useful_until: useful_until(headers, now),
        may_spill: headers.contains_key(&header::SPILL),
        deadline: now + left,
        key,
        once,
    })
}

/// Reads when the answer ceases to be of full use.
fn useful_until(headers: &HeaderMap, now: Duration) -> Option<Duration> {
    Some(now + header::millis(headers, &header::USEFUL_MS)?)
}

/// Value of the retry header between proxies on a route declared repeatable.
pub(crate) const REPEATABLE: &str = "repeatable";

/// Returns the tenant of a call.
pub(crate) fn tenant(headers: &HeaderMap) -> medlarpoint_model::Tenant {
    let named = header::parse(headers, &header::TENANT);
    named.unwrap_or_else(|| "unnamed".parse().expect("a valid literal"))
}

async fn take(
    shared: Arc<Shared>,
    head: Head,
    parts: http::request::Parts,
    body: Body,
) -> Response<Body> {
    let attempt = head.attempt;
    let (sender, receiver) = oneshot::channel();
    lock(&shared.waiters).insert(attempt, sender);
    let mut cancel =
        Cancel { shared: Arc::clone(&shared), attempt, decision: receiver, armed: true };
    let actions = {
        let now = shared.now();
        lock(&shared.intake).arrive(now, head.clone())
    };
    perform(&shared, actions);
    let decision =
        (&mut cancel.decision).await.unwrap_or(Decision::Reply(Reply::Unknown(Point::Sent)));
    let response = match decision {
        Decision::Reply(reply) => {
            log_refusal(&shared, &head, &parts.headers, &reply);
            respond(&shared, reply)
        }
        Decision::HandOver => {
            let in_flight = InFlightAttempt { shared: Arc::clone(&shared), attempt, done: false };
            let keyed = head.key.is_some();
            let exchange = hand_over(Arc::clone(&shared), head, parts, body, in_flight);
            if keyed {
                // Its outcome will be asked for, so it goes on without the caller.
                let joined = tokio::spawn(exchange).await;
                joined.unwrap_or_else(|_| respond(&shared, Reply::Unknown(Point::TargetLost)))
            } else {
                exchange.await
            }
        }
    };
    cancel.armed = false;
    response
}

fn log_refusal(shared: &Shared, head: &Head, headers: &HeaderMap, reply: &Reply<SavedResponse>) {
    let Reply::NotRun { point, .. } = reply else {
        return;
    };
    let load = load(shared);
    shared.emit_call(&Event::AttemptRefused {
        id: call_id(call::caller(headers).id.as_ref()),
        attempt: head.attempt,
        route: head.kind.clone(),
        rank: head.rank,
        point: *point,
        running: load.running,
        queued: load.queued,
        slots: load.slots,
        left_ms: head.deadline.saturating_sub(shared.now()).as_millis() as u64,
    });
}

/// Returns the load of the target, with the pace of this VM.
pub(crate) fn load(shared: &Shared) -> Load {
    let now = shared.now();
    Load { pace_percent: shared.slowdown.percent(now), ..lock(&shared.intake).load(now) }
}

/// Answers without the target.
pub(crate) fn respond(shared: &Shared, reply: Reply<SavedResponse>) -> Response<Body> {
    let mut response = Response::new(Body::empty());
    let load = load(shared);
    let (status, outcome, point) = match reply {
        Reply::Replay(kept) => {
            *response.headers_mut() = kept.headers;
            *response.body_mut() = Body::full(kept.body);
            (kept.status, Outcome::Ran, None)
        }
        Reply::Ran => (StatusCode::BAD_GATEWAY, Outcome::Ran, Some(Point::HalfAnswer)),
        Reply::NotRun { point, retry_after, .. } => {
            let wait = retry_after.as_millis().to_string();
            header::set(response.headers_mut(), header::RETRY_AFTER_MS, &wait);
            (StatusCode::SERVICE_UNAVAILABLE, Outcome::NotRun, Some(point))
        }
        Reply::Unknown(point) => (StatusCode::BAD_GATEWAY, Outcome::Unknown, Some(point)),
        Reply::ClaimedBy(claim) => {
            let headers = response.headers_mut();
            header::set(headers, header::CLAIM_VM, claim.vm.as_str());
            header::set(headers, header::CLAIM_BOOT, &claim.boot.to_string());
            (StatusCode::CONFLICT, Outcome::Unknown, Some(Point::ClaimOrphaned))
        }
    };
    *response.status_mut() = status;
    let headers = response.headers_mut();
    header::set(headers, header::OUTCOME, outcome.into());
    header::set(headers, header::VM, shared.settings.options.vm.as_str());
    if let Some(point) = point {
        header::set(headers, header::POINT, point.into());
    }
    header::set_load(headers, load);
    response
}

/// Connects to a target that was taken out, to see whether it is back.
pub(crate) async fn probe_target(address: SocketAddr) -> bool {
    let connect = tokio::net::TcpStream::connect(address);
    matches!(tokio::time::timeout(Duration::from_secs(1), connect).await, Ok(Ok(_)))
}

/// Tells whether the target takes new work.
pub(crate) fn usable_slots(shared: &Shared) -> u32 {
    let target = lock(&shared.target);
    match target.as_ref() {
        Some(target) if !target.down && !target.silent && target.stage == Stage::Ready => {
            target.slots.min(target.connections)
        }
        _ => 0,
    }
}
