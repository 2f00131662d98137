//! The inbound proxy: takes attempts from other daemons for this VM's target.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode};
use hyper::body::Incoming;
use medlarpoint_model::{Class, Once, Vm};
use medlarpoint_platform::call::{self, Answer};
use medlarpoint_routing::{
    AttemptId, Claim, Claimed, Ended, Head, IdempotencyKey, IntakeAction, Known, Load, Outcome,
    Point, Reply,
};
use medlarpoint_store::{Error, Expected, Key, LeaseId, Store};
use medlarpoint_wire::Stage;
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

use crate::body::{Body, Finish, Gathered, gather};
use crate::event::Event;
use crate::exchange::call_id;
use crate::header;
use crate::pool::{ExchangeError, Lease};
use crate::state::{Shared, lock};

/// Largest answer read whole before it is passed on, in bytes. What breaks off
/// before can still be had from another target.
const MAX_WHOLE_BYTES: usize = 1 << 20;
/// Rank of a call that names none.
const DEFAULT_RANK: u8 = 1;
/// Largest answer kept for a resent idempotency key, in bytes.
const MAX_KEPT_BYTES: usize = 64 * 1024;
/// Time to live of the leases that records of idempotency keys are bound to;
/// the longest that the platform's store grants.
const CLAIM_LEASE: Duration = Duration::from_secs(600);
/// Time for which new records are bound to the same lease. A record stays in
/// the store for the rest of the lease, which is at least half of it.
const CLAIM_LEASE_USE: Duration = Duration::from_secs(300);
/// Times a claim whose answer was lost is looked up.
const CLAIM_LOOKUPS: u32 = 3;
/// Failed connections in a row after which a target is taken out.
pub(crate) const TARGET_FAILURES: u32 = 3;

/// Those who wait for a decision on their attempt.
pub(crate) type Waiters = HashMap<AttemptId, oneshot::Sender<Signal>>;

/// An answer kept for a resent idempotency key.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Kept {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

/// A decision on an attempt.
#[derive(Debug)]
pub(crate) enum Signal {
    HandOver,
    Reply(Reply<Kept>),
}

/// Record of an idempotency key in the store.
#[derive(Debug, Serialize, Deserialize)]
struct ClaimRecord {
    vm: Vm,
    boot: u64,
    attempt: String,
}

/// An attempt handed over to the target. Dropped before its end, it counts as
/// broken.
#[derive(Debug)]
pub(crate) struct Job {
    shared: Arc<Shared>,
    attempt: AttemptId,
    done: bool,
}

impl Job {
    /// The target is done.
    pub(crate) fn answered(self) {
        self.end(Ended::Answered(None));
    }

    fn end(mut self, ended: Ended<Kept>) {
        self.done = true;
        finish(&self.shared, self.attempt, ended);
    }
}

impl Drop for Job {
    fn drop(&mut self) {
        if !self.done {
            finish(&self.shared, self.attempt, Ended::Broken);
        }
    }
}

fn finish(shared: &Arc<Shared>, attempt: AttemptId, ended: Ended<Kept>) {
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
    decision: oneshot::Receiver<Signal>,
    armed: bool,
}

impl Drop for Cancel {
    fn drop(&mut self) {
        if !self.armed {
            return;
        }
        lock(&self.shared.waiters).remove(&self.attempt);
        if let Ok(Signal::HandOver) = self.decision.try_recv() {
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
pub(crate) fn perform(shared: &Arc<Shared>, actions: Vec<IntakeAction<Kept>>) {
    for action in actions {
        match action {
            IntakeAction::Claim { attempt, key } => {
                let shared = Arc::clone(shared);
                tokio::spawn(async move { claim(&shared, attempt, key).await });
            }
            IntakeAction::HandOver { attempt } => signal(shared, attempt, Signal::HandOver),
            IntakeAction::Reply { attempt, reply } => {
                signal(shared, attempt, Signal::Reply(reply));
            }
            // The exchange with the target ends with the future that drives it.
            IntakeAction::Abort { .. } => {}
        }
    }
}

fn signal(shared: &Arc<Shared>, attempt: AttemptId, signal: Signal) {
    let waiter = lock(&shared.waiters).remove(&attempt);
    let unheard = match waiter {
        Some(waiter) => waiter.send(signal).err(),
        None => Some(signal),
    };
    if let Some(Signal::HandOver) = unheard {
        // Whoever was to carry it out has gone; nothing was handed over.
        finish(shared, attempt, Ended::NotHanded);
    }
}

/// Creates the record of a key. After a lost answer the record tells whose it is.
async fn claim(shared: &Arc<Shared>, attempt: AttemptId, key: IdempotencyKey) {
    let result = try_claim(shared, attempt, key).await;
    let actions = {
        let now = shared.now();
        lock(&shared.intake).claimed(now, attempt, result)
    };
    perform(shared, actions);
}

async fn try_claim(shared: &Shared, attempt: AttemptId, key: IdempotencyKey) -> Claimed {
    let Ok(key) = format!("once/{key}").parse::<Key>() else {
        return Claimed::Failed;
    };
    let vm = shared.settings.options.vm.clone();
    let record = ClaimRecord { vm, boot: shared.boot, attempt: attempt.to_string() };
    let Ok(value) = rmp_serde::to_vec_named(&record) else {
        return Claimed::Failed;
    };
    for _ in 0..CLAIM_LOOKUPS {
        let Ok(lease) = claim_lease(shared).await else {
            return Claimed::Failed;
        };
        let value = Bytes::from(value.clone());
        let written = shared.store.swap(&key, Expected::Absent, value, Some(lease)).await;
        match written {
            Ok(_) => return Claimed::Mine,
            // Another holds it, or an earlier try of ours got through.
            Err(Error::Conflict { .. }) => {
                if let Ok(Some(item)) = shared.store.get(&key).await {
                    return owner(&item.value, &record.attempt);
                }
            }
            Err(Error::Unknown(_)) => {}
            Err(Error::LeaseGone) => *shared.claim_lease.lock().await = None,
            Err(_) => return Claimed::Failed,
        }
    }
    Claimed::Failed
}

/// Returns the lease that new records are bound to.
async fn claim_lease(shared: &Shared) -> Result<LeaseId, Error> {
    let mut lease = shared.claim_lease.lock().await;
    let now = shared.now();
    if let Some((id, granted)) = *lease
        && now.saturating_sub(granted) < CLAIM_LEASE_USE
    {
        return Ok(id);
    }
    let id = shared.store.grant(CLAIM_LEASE).await?;
    *lease = Some((id, now));
    Ok(id)
}

fn owner(value: &[u8], attempt: &str) -> Claimed {
    match rmp_serde::from_slice::<ClaimRecord>(value) {
        Ok(record) if record.attempt == attempt => Claimed::Mine,
        Ok(record) => Claimed::Theirs(Claim { vm: record.vm, boot: record.boot }),
        Err(_) => Claimed::Failed,
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
    if !header::is_of(request.headers(), shared.fleet()) {
        return malformed(&Malformed::Fleet);
    }
    if request.headers().contains_key(&header::QUERY) {
        return answer_query(&shared, request.headers());
    }
    let (parts, body) = request.into_parts();
    let body = Body::passing(body, Finish::Nothing);
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
    let mut response = Response::new(Body::whole(error.to_string().into()));
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
pub(crate) fn known(headers: &HeaderMap) -> Known {
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
        (&mut cancel.decision).await.unwrap_or(Signal::Reply(Reply::Unknown(Point::Sent)));
    let response = match decision {
        Signal::Reply(reply) => {
            log_refusal(&shared, &head, &parts.headers, &reply);
            answer(&shared, reply)
        }
        Signal::HandOver => {
            let job = Job { shared: Arc::clone(&shared), attempt, done: false };
            let keyed = head.key.is_some();
            let exchange = hand_over(Arc::clone(&shared), head, parts, body, job);
            if keyed {
                // Its outcome will be asked for, so it goes on without the caller.
                let joined = tokio::spawn(exchange).await;
                joined.unwrap_or_else(|_| answer(&shared, Reply::Unknown(Point::TargetLost)))
            } else {
                exchange.await
            }
        }
    };
    cancel.armed = false;
    response
}

fn log_refusal(shared: &Shared, head: &Head, headers: &HeaderMap, reply: &Reply<Kept>) {
    let Reply::NotRun { point, .. } = reply else {
        return;
    };
    let load = load(shared);
    shared.emit_call(&Event::AttemptRefused {
        id: call_id(headers),
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

/// Sends the call to the target.
async fn hand_over(
    shared: Arc<Shared>,
    head: Head,
    mut parts: http::request::Parts,
    body: Body,
    job: Job,
) -> Response<Body> {
    let Some(target) = lock(&shared.target).clone() else {
        return not_handed(&shared, job, Point::TargetConnect);
    };
    strip(&mut parts.headers);
    let left = head.deadline.saturating_sub(shared.now());
    header::set(&mut parts.headers, header::DEADLINE_MS, &left.as_millis().to_string());
    let id = call::caller(&parts.headers).id;
    if id.is_some() {
        let instance = target.occupant.as_ref().map(|occupant| &*occupant.report().instance);
        call::address(&mut parts.headers, left, instance);
    }
    let text = call_id(&parts.headers);
    let request = Request::from_parts(parts, body);
    let started = shared.now();
    let log_lost = |point| {
        shared.emit_call(&Event::AttemptLost {
            id: text.clone(),
            attempt: head.attempt,
            route: head.kind.clone(),
            point,
            took_ms: shared.now().saturating_sub(started).as_millis() as u64,
        });
    };
    let exchange = shared.pool.exchange(target.address, request, head.key.is_none());
    let exchanged = tokio::time::timeout(left, exchange).await;
    let (response, lease) = match exchanged {
        Ok(Ok(exchanged)) => exchanged,
        Ok(Err(ExchangeError::Connect(_))) => {
            note_target(&shared, false);
            return not_handed(&shared, job, Point::TargetConnect);
        }
        Ok(Err(ExchangeError::Broken(_))) => {
            log_lost(Point::TargetLost);
            job.end(Ended::Broken);
            return answer(&shared, Reply::Unknown(Point::TargetLost));
        }
        Err(_) => {
            log_lost(Point::Deadline);
            job.end(Ended::Broken);
            return answer(&shared, Reply::Unknown(Point::Deadline));
        }
    };
    note_target(&shared, true);
    let (mut parts, incoming) = response.into_parts();
    if let Some(load) = call::load(&parts.headers) {
        shared.pace.note(shared.now(), load.pace_percent);
    }
    let worth = match &id {
        Some(id) => call::judge(parts.status, &parts.headers, id),
        None if target_shed(&parts) => Answer::NotRun,
        None => Answer::Ran,
    };
    match worth {
        Answer::Ran => {}
        Answer::NotRun | Answer::OtherInstance => {
            if gather(incoming, MAX_WHOLE_BYTES).await.is_ok() {
                lease.complete();
            }
            return not_handed(&shared, job, Point::TargetShed);
        }
        Answer::Foreign => {
            log_lost(Point::TargetGarbled);
            job.end(Ended::Broken);
            return answer(&shared, Reply::Unknown(Point::TargetGarbled));
        }
    }
    let gathered = gather(incoming, MAX_WHOLE_BYTES);
    let left = head.deadline.saturating_sub(shared.now());
    match tokio::time::timeout(left, gathered).await {
        Ok(Ok(gathered)) => {
            let took = shared.now().saturating_sub(started).as_millis();
            header::set(&mut parts.headers, header::TOOK_MS, &took.to_string());
            deliver(&shared, &head, parts, gathered, lease, job)
        }
        Ok(Err(_)) => {
            log_lost(Point::HalfAnswer);
            job.end(Ended::Answered(None));
            answer(&shared, Reply::Ran)
        }
        Err(_) => {
            log_lost(Point::Deadline);
            job.end(Ended::Answered(None));
            answer(&shared, Reply::Unknown(Point::Deadline))
        }
    }
}

/// Passes the target's answer on.
fn deliver(
    shared: &Shared,
    head: &Head,
    mut parts: http::response::Parts,
    gathered: Gathered,
    lease: Lease,
    job: Job,
) -> Response<Body> {
    header::strip_hop_by_hop(&mut parts.headers);
    let body = match gathered {
        Gathered::Whole(body) => {
            lease.complete();
            let keep = head.key.is_some() && body.len() <= MAX_KEPT_BYTES;
            let kept = keep.then(|| Kept {
                status: parts.status,
                headers: parts.headers.clone(),
                body: body.clone(),
            });
            job.end(Ended::Answered(kept));
            Body::whole(body)
        }
        Gathered::Large(read, rest) => Body::resumed(read, rest, Finish::Job(Box::new(job), lease)),
    };
    let load = load(shared);
    header::set(&mut parts.headers, header::OUTCOME, Outcome::Ran.into());
    header::set(&mut parts.headers, header::VM, shared.settings.options.vm.as_str());
    header::set_load(&mut parts.headers, load);
    Response::from_parts(parts, body)
}

fn not_handed(shared: &Arc<Shared>, job: Job, point: Point) -> Response<Body> {
    job.end(Ended::NotHanded);
    let retry_after = Duration::from_millis(100);
    let reply = Reply::NotRun { point, refusal: None, retry_after };
    answer(shared, reply)
}

/// A target that sheds load says so, and that it did nothing.
fn target_shed(parts: &http::response::Parts) -> bool {
    let outcome: Option<Outcome> = header::parse(&parts.headers, &header::OUTCOME);
    parts.status == StatusCode::SERVICE_UNAVAILABLE && outcome == Some(Outcome::NotRun)
}

/// Removes what is meant for this proxy.
fn strip(headers: &mut HeaderMap) {
    header::strip_hop_by_hop(headers);
    for name in [
        header::FLEET,
        header::ATTEMPT,
        header::BOOT,
        header::ROUTE,
        header::RANK,
        header::USEFUL_MS,
        header::SPILL,
    ] {
        headers.remove(name);
    }
    headers.insert(header::RETRY, http::HeaderValue::from_static("no"));
}

fn note_target(shared: &Shared, success: bool) {
    let mut target = lock(&shared.target);
    if let Some(target) = target.as_mut() {
        target.failures = if success { 0 } else { target.failures + 1 };
    }
}

/// Returns the load of the target, with the pace of this VM.
fn load(shared: &Shared) -> Load {
    let now = shared.now();
    Load { pace_percent: shared.pace.percent(now), ..lock(&shared.intake).load(now) }
}

/// Answers without the target.
fn answer(shared: &Shared, reply: Reply<Kept>) -> Response<Body> {
    let mut response = Response::new(Body::empty());
    let load = load(shared);
    let (status, outcome, point) = match reply {
        Reply::Replay(kept) => {
            *response.headers_mut() = kept.headers;
            *response.body_mut() = Body::whole(kept.body);
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
