//! Inbound proxy: accepts attempts from outbound proxies for this VM's target.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode};
use hyper::body::{Body as _, Incoming};
use medlarpoint_model::{Class, Idempotency};
use medlarpoint_platform::call;
use medlarpoint_routing::{
    AttemptId, AttemptInfo, AttemptStatus, Completion, FailurePoint, IdempotencyKey, IntakeAction,
    Load, Outcome, Reply, SuspectReport, Suspicion,
};
use medlarpoint_wire::Readiness;
use tokio::sync::oneshot;

use crate::body::{Body, EndAction, MAX_BUFFERED_BYTES};
use crate::claim;
use crate::event::Event;
use crate::handover::hand_over;
use crate::header;
use crate::held_body::MAX_REPLAY_BYTES;
use crate::outbound_response::call_id;
use crate::state::{Shared, TargetState, lock};
use crate::target_response;

/// Assumed size of a request body without a declared length, in bytes. Outbound proxies
/// declare the length of smaller ones.
const MIN_CHUNKED_BYTES: u64 = MAX_REPLAY_BYTES as u64;
/// Rank of an attempt that states none.
const DEFAULT_RANK: u8 = 1;
/// Number of consecutive failed connections after which the target counts as down.
pub(crate) const TARGET_FAILURE_THRESHOLD: u32 = 3;

/// Channels to the tasks that wait for a decision, by attempt.
pub(crate) type Waiters = HashMap<AttemptId, oneshot::Sender<Decision>>;

/// Response saved to replay when its idempotency key is sent again.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct SavedResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// Decision of the intake on an attempt.
#[derive(Debug)]
pub(crate) enum Decision {
    /// Receive the request body from the given time on, on the local clock, and report
    /// its end. The next decision follows.
    Receive { start: Duration, next: oneshot::Receiver<Decision> },
    /// Hand the attempt over to the target.
    HandOver,
    /// Respond without the target.
    Reply(Reply<SavedResponse>),
}

/// An attempt that was handed over to the target. Dropping it before its end
/// reports the attempt to the intake as lost.
#[derive(Debug)]
pub(crate) struct InFlightAttempt {
    shared: Arc<Shared>,
    attempt: AttemptId,
    ended: bool,
}

impl InFlightAttempt {
    /// Reports that the target has responded and that the response is not saved.
    pub(crate) fn complete(self) {
        self.end(Completion::Responded(None));
    }

    /// Reports how the attempt ended.
    pub(crate) fn end(mut self, result: Completion<SavedResponse>) {
        self.ended = true;
        report_end(&self.shared, self.attempt, result);
    }
}

impl Drop for InFlightAttempt {
    fn drop(&mut self) {
        if !self.ended {
            report_end(&self.shared, self.attempt, Completion::Lost);
        }
    }
}

/// Reports the end of an attempt to the intake and performs what follows.
fn report_end(shared: &Arc<Shared>, attempt: AttemptId, result: Completion<SavedResponse>) {
    let actions = {
        let now = shared.now();
        lock(&shared.intake).completed(now, attempt, result)
    };
    perform(shared, actions);
}

/// Cancels an attempt at the intake if it is dropped while armed, as happens when
/// the outbound proxy closes the connection.
struct CancelGuard {
    shared: Arc<Shared>,
    attempt: AttemptId,
    decision: oneshot::Receiver<Decision>,
    armed: bool,
}

impl CancelGuard {
    /// Waits for the next decision on the attempt.
    async fn next_decision(&mut self) -> Decision {
        let decision = (&mut self.decision).await;
        decision.unwrap_or(Decision::Reply(Reply::Unknown(FailurePoint::Sent)))
    }
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        if !self.armed {
            return;
        }
        lock(&self.shared.waiters).remove(&self.attempt);
        if let Ok(Decision::HandOver) = self.decision.try_recv() {
            // The intake decided to hand the attempt over, but nothing was sent yet.
            report_end(&self.shared, self.attempt, Completion::NotRun);
        }
        let actions = {
            let now = self.shared.now();
            lock(&self.shared.intake).cancel(now, self.attempt)
        };
        perform(&self.shared, actions);
    }
}

/// Performs the actions that the intake decided on.
pub(crate) fn perform(shared: &Arc<Shared>, actions: Vec<IntakeAction<SavedResponse>>) {
    for action in actions {
        match action {
            IntakeAction::Claim { attempt, key } => {
                let shared = Arc::clone(shared);
                tokio::spawn(async move { claim::claim(&shared, attempt, key).await });
            }
            IntakeAction::Receive { attempt, start } => deliver_receive(shared, attempt, start),
            IntakeAction::HandOver { attempt } => deliver(shared, attempt, Decision::HandOver),
            IntakeAction::Reply { attempt, reply } => {
                deliver(shared, attempt, Decision::Reply(reply));
            }
            // Nothing to do: dropping the future that waits for the target's response
            // aborts the request.
            IntakeAction::Abort { .. } => {}
        }
    }
}

/// Delivers a decision to the task that waits for it.
fn deliver(shared: &Arc<Shared>, attempt: AttemptId, decision: Decision) {
    let waiter = lock(&shared.waiters).remove(&attempt);
    let undelivered = match waiter {
        Some(waiter) => waiter.send(decision).err(),
        None => Some(decision),
    };
    if let Some(Decision::HandOver) = undelivered {
        // The waiting task has ended, so nothing was handed over.
        report_end(shared, attempt, Completion::NotRun);
    }
}

/// Delivers the decision to receive a request body, with the channel for the next one.
fn deliver_receive(shared: &Shared, attempt: AttemptId, start: Duration) {
    let (sender, next) = oneshot::channel();
    let mut waiters = lock(&shared.waiters);
    let Some(waiter) = waiters.remove(&attempt) else {
        return;
    };
    // If the waiting task has ended, it cancels the attempt.
    if waiter.send(Decision::Receive { start, next }).is_ok() {
        waiters.insert(attempt, sender);
    }
}

/// Reason why a request is not a valid attempt or query.
#[derive(Debug, thiserror::Error)]
enum RequestError {
    #[error("the request comes from another fleet: check the `fleet` setting of both daemons")]
    Fleet,
    #[error("the header {0} is missing or malformed: send calls to the `listen.calls` address")]
    Header(http::HeaderName),
}

/// Serves an attempt, or a query about one.
pub(crate) async fn serve(shared: Arc<Shared>, request: Request<Incoming>) -> Response<Body> {
    if !header::is_from_fleet(request.headers(), shared.fleet()) {
        return bad_request(&RequestError::Fleet);
    }
    if request.headers().contains_key(&header::QUERY) {
        return respond_to_query(&shared, request.headers());
    }
    let (parts, body) = request.into_parts();
    let size = body.size_hint();
    let body_bytes = size.exact().unwrap_or(size.lower().max(MIN_CHUNKED_BYTES)) as usize;
    let body_bytes = body_bytes.min(MAX_BUFFERED_BYTES);
    let body = Body::streaming(body, EndAction::None);
    serve_attempt(shared, Request::from_parts(parts, body), body_bytes).await
}

/// Serves an attempt. The outbound proxy of the same daemon calls this directly.
///
/// `body_bytes` is the size of the request body that has still to cross the link.
pub(crate) async fn serve_attempt(
    shared: Arc<Shared>,
    request: Request<Body>,
    body_bytes: usize,
) -> Response<Body> {
    let (parts, body) = request.into_parts();
    if let Some(process) = header::parse::<String>(&parts.headers, &header::LEAVING) {
        target_response::on_leaving_reported(&shared, &process);
    }
    match parse_attempt(&shared, &parts.headers, body_bytes) {
        Ok(info) => process(shared, info, parts, body).await,
        Err(error) => bad_request(&error),
    }
}

/// Returns the response to a request that is not a valid attempt or query.
fn bad_request(error: &RequestError) -> Response<Body> {
    let mut response = Response::new(Body::full(error.to_string().into()));
    *response.status_mut() = StatusCode::BAD_REQUEST;
    header::set(response.headers_mut(), header::OUTCOME, "not-run");
    response
}

fn respond_to_query(shared: &Shared, headers: &HeaderMap) -> Response<Body> {
    let attempt = header::parse(headers, &header::QUERY);
    let boot = header::parse(headers, &header::BOOT);
    let age = header::millis(headers, &header::AGE_MS);
    let (Some(attempt), Some(boot), Some(age)) = (attempt, boot, age) else {
        return bad_request(&RequestError::Header(header::QUERY));
    };
    let now = shared.now();
    let status: &'static str = lock(&shared.intake).query(now, attempt, boot, age).into();
    let mut response = Response::new(Body::empty());
    header::set(response.headers_mut(), header::KNOWN, status);
    response
}

/// Returns the status of an attempt from the response to a query about it.
pub(crate) fn parse_attempt_status(headers: &HeaderMap) -> AttemptStatus {
    header::parse(headers, &header::KNOWN).unwrap_or(AttemptStatus::Unreachable)
}

fn parse_attempt(
    shared: &Shared,
    headers: &HeaderMap,
    body_bytes: usize,
) -> Result<AttemptInfo, RequestError> {
    let missing = |name: &http::HeaderName| RequestError::Header(name.clone());
    let attempt =
        header::parse(headers, &header::ATTEMPT).ok_or_else(|| missing(&header::ATTEMPT))?;
    let boot = header::parse(headers, &header::BOOT).ok_or_else(|| missing(&header::BOOT))?;
    let time_left = header::millis(headers, &header::DEADLINE_MS)
        .ok_or_else(|| missing(&header::DEADLINE_MS))?;
    let route: medlarpoint_model::Name =
        header::parse(headers, &header::ROUTE).ok_or_else(|| missing(&header::ROUTE))?;
    let tenant = tenant(headers);
    // The sender may have another configuration version in force. A route that
    // is unknown here gets the strictest treatment.
    let in_force = shared.in_force.load();
    let known = in_force.snapshot.routes().find(|r| r.name == route);
    let class = known.map_or(Class::Short, |route| route.class);
    let idempotency = known.map_or(Idempotency::Store, |route| route.idempotency);
    let repeatable = headers.get(&header::RETRY).is_some_and(|v| v == REPEATABLE);
    let text = headers.get(&header::IDEMPOTENCY_KEY).and_then(|v| v.to_str().ok());
    let key = text.filter(|_| !repeatable);
    let key = key.map(|text| IdempotencyKey::new(&route, tenant.as_str(), text));
    let now = shared.now();
    let weight = lock(&shared.intake).scheduler_mut().policy().tenant_weights.get(&tenant).copied();
    Ok(AttemptInfo {
        attempt,
        boot,
        class,
        weight: weight.unwrap_or(1),
        tenant: tenant.0,
        in_workspace: headers.contains_key(&header::WORKSPACE),
        rank: header::parse(headers, &header::RANK).unwrap_or(DEFAULT_RANK),
        route,
        body_bytes,
        useful_until: useful_until(headers, now),
        may_spill: headers.contains_key(&header::SPILL),
        suspect: is_suspect(shared, headers),
        expected: expected_time(shared, headers),
        deadline: now + time_left,
        key,
        idempotency,
    })
}

/// Returns whether targets have crashed under a call, as this daemon or the sender knows.
fn is_suspect(shared: &Shared, headers: &HeaderMap) -> bool {
    let told = header::parse::<SuspectReport>(headers, &header::SUSPICION);
    let call = header::parse(headers, &header::FINGERPRINT);
    let known = call.map(|call| lock(&shared.suspects).suspicion(call));
    let told = told.map(|report| report.suspicion);
    told.max(known).is_some_and(Suspicion::is_suspect)
}

/// Returns the time that the route usually takes, if it is used here.
fn expected_time(shared: &Shared, headers: &HeaderMap) -> Option<Duration> {
    let is_used = shared.settings.options.routing.target_pace;
    header::millis(headers, &header::EXPECTED_MS).filter(|_| is_used)
}

/// Returns the time until which the response is of full use to the caller.
fn useful_until(headers: &HeaderMap, now: Duration) -> Option<Duration> {
    Some(now + header::millis(headers, &header::USEFUL_MS)?)
}

/// Value of the retry header between proxies on a route declared repeatable.
pub(crate) const REPEATABLE: &str = "repeatable";

/// Returns the workspace of a call if the outbound proxy has identified one, or else the
/// tenant that the caller states; `unnamed` if there is neither.
pub(crate) fn tenant(headers: &HeaderMap) -> medlarpoint_model::WorkspaceName {
    let workspace = header::parse(headers, &header::WORKSPACE);
    let named = workspace.or_else(|| header::parse(headers, &header::TENANT));
    named.unwrap_or_else(|| "unnamed".parse().expect("a valid literal"))
}

/// Passes an attempt to the intake, waits for the decision and carries it out.
async fn process(
    shared: Arc<Shared>,
    info: AttemptInfo,
    parts: http::request::Parts,
    body: Body,
) -> Response<Body> {
    let attempt = info.attempt;
    let (sender, receiver) = oneshot::channel();
    lock(&shared.waiters).insert(attempt, sender);
    let mut guard =
        CancelGuard { shared: Arc::clone(&shared), attempt, decision: receiver, armed: true };
    let actions = {
        let now = shared.now();
        lock(&shared.intake).arrive(now, info.clone())
    };
    perform(&shared, actions);
    let (decision, body) = match guard.next_decision().await {
        Decision::Receive { start, next } => {
            guard.decision = next;
            receive(&shared, &mut guard, &info, start, body).await
        }
        decision => (decision, body),
    };
    let response = match decision {
        // A body is received once.
        Decision::Receive { .. } => respond(&shared, Reply::Unknown(FailurePoint::Sent)),
        Decision::Reply(reply) => {
            log_rejection(&shared, &info, &parts.headers, &reply);
            respond(&shared, reply)
        }
        Decision::HandOver => {
            let in_flight = InFlightAttempt { shared: Arc::clone(&shared), attempt, ended: false };
            let keyed = info.key.is_some();
            let exchange = hand_over(Arc::clone(&shared), info, parts, body, in_flight);
            if keyed {
                // A call with a key continues if the caller disconnects: the outcome must
                // be known when the key is sent again.
                let result = tokio::spawn(exchange).await;
                result
                    .unwrap_or_else(|_| respond(&shared, Reply::Unknown(FailurePoint::TargetLost)))
            } else {
                exchange.await
            }
        }
    };
    guard.armed = false;
    response
}

/// Receives the request body of an attempt once its time on the link has come. Returns
/// the decision that follows, with the body.
async fn receive(
    shared: &Arc<Shared>,
    guard: &mut CancelGuard,
    info: &AttemptInfo,
    start: Duration,
    body: Body,
) -> (Decision, Body) {
    let transfer = async {
        tokio::time::sleep_until(shared.clock.instant(start)).await;
        body.read_ahead(&shared.buffers).await
    };
    let deadline = shared.clock.instant(info.deadline);
    let received = tokio::select! {
        decision = guard.next_decision() => return (decision, Body::empty()),
        received = tokio::time::timeout_at(deadline, transfer) => received,
    };
    let now = shared.now();
    let (actions, body) = match received {
        Ok(Ok(body)) => (lock(&shared.intake).body_received(now, info.attempt), body),
        Ok(Err(_)) | Err(_) => (lock(&shared.intake).body_lost(now, info.attempt), Body::empty()),
    };
    perform(shared, actions);
    (guard.next_decision().await, body)
}

/// Logs an attempt that was rejected before it was handed over, with the load of the
/// target.
fn log_rejection(
    shared: &Shared,
    info: &AttemptInfo,
    headers: &HeaderMap,
    reply: &Reply<SavedResponse>,
) {
    let Reply::NotRun { point, .. } = reply else {
        return;
    };
    let load = load(shared);
    let limit = lock(&shared.intake).scheduler_mut().target_limit();
    shared.emit_call(&Event::AttemptRefused {
        id: call_id(call::caller_info(headers).id.as_ref()),
        attempt: info.attempt,
        route: info.route.clone(),
        rank: info.rank,
        point: *point,
        running: load.running,
        queued: load.queued,
        slots: load.slots,
        per_second: limit.map_or_else(|| "any".to_owned(), |limit| limit.to_string()),
        receive_ms: load.receive_ms,
        link_ms: load.link_ms,
        left_ms: info.deadline.saturating_sub(shared.now()).as_millis() as u64,
    });
}

/// Returns the load of the target, with the slowdown of this VM.
pub(crate) fn load(shared: &Shared) -> Load {
    let now = shared.now();
    Load { pace_percent: shared.slowdown.percent(now), ..lock(&shared.intake).load(now) }
}

/// Returns the response to an attempt whose response does not stream from the
/// target.
pub(crate) fn respond(shared: &Shared, reply: Reply<SavedResponse>) -> Response<Body> {
    let mut response = Response::new(Body::empty());
    let load = load(shared);
    let (status, outcome, point) = match reply {
        Reply::Replay(saved) => {
            *response.headers_mut() = saved.headers;
            *response.body_mut() = Body::full(saved.body);
            (saved.status, Outcome::Ran, None)
        }
        Reply::Ran => (StatusCode::BAD_GATEWAY, Outcome::Ran, Some(FailurePoint::HalfAnswer)),
        Reply::NotRun { point, retry_after, .. } => {
            let retry_ms = retry_after.as_millis().to_string();
            header::set(response.headers_mut(), header::RETRY_AFTER_MS, &retry_ms);
            (StatusCode::SERVICE_UNAVAILABLE, Outcome::NotRun, Some(point))
        }
        Reply::Unknown(point) => (StatusCode::BAD_GATEWAY, Outcome::Unknown, Some(point)),
        Reply::ClaimedBy(claim) => {
            let headers = response.headers_mut();
            header::set(headers, header::CLAIM_VM, claim.vm.as_str());
            header::set(headers, header::CLAIM_BOOT, &claim.boot.to_string());
            (StatusCode::CONFLICT, Outcome::Unknown, Some(FailurePoint::ClaimOrphaned))
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
    set_leaving(shared, headers);
    response
}

/// Names the process of the target if it leaves, for the outbound proxies.
pub(crate) fn set_leaving(shared: &Shared, headers: &mut HeaderMap) {
    headers.remove(&header::LEAVING);
    let target = lock(&shared.target);
    let leaving = target.as_ref().filter(|target| target.is_leaving());
    if let Some(process) = leaving.and_then(TargetState::process) {
        header::set(headers, header::LEAVING, &process);
    }
}

/// Returns whether a target that counts as down accepts a connection within 1 s.
pub(crate) async fn probe_target(address: SocketAddr) -> bool {
    let connect = tokio::net::TcpStream::connect(address);
    matches!(tokio::time::timeout(Duration::from_secs(1), connect).await, Ok(Ok(_)))
}

/// Returns the number of calls that the target can run at a time; zero if it
/// accepts no new work.
pub(crate) fn usable_slots(shared: &Shared) -> u32 {
    let target = lock(&shared.target);
    match target.as_ref() {
        Some(target) if !target.down && !target.silent && target.readiness == Readiness::Ready => {
            target.slots.min(target.connections)
        }
        _ => 0,
    }
}
