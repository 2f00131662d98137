//! Hands a call to the target of this VM and judges its answer.

use std::sync::Arc;
use std::time::Duration;

use http::{HeaderMap, Request, Response, StatusCode};
use medlarpoint_model::Name;
use medlarpoint_platform::call::{self, Answer};
use medlarpoint_routing::{AttemptInfo, Completion, FailurePoint, Outcome, Reply};

use crate::body::{Body, Finish, Gathered, MAX_WHOLE_BYTES, gather};
use crate::event::Event;
use crate::exchange::call_id;
use crate::header;
use crate::inbound::{Job, Kept, answer, load};
use crate::pool::{ExchangeError, Lease};
use crate::sending;
use crate::state::{Shared, lock};

/// Largest answer kept for a resent idempotency key, in bytes.
const MAX_KEPT_BYTES: usize = 64 * 1024;

/// Sends the call to the target.
pub(crate) async fn hand_over(
    shared: Arc<Shared>,
    head: AttemptInfo,
    mut parts: http::request::Parts,
    body: Body,
    job: Job,
) -> Response<Body> {
    let Some(target) = lock(&shared.target).clone() else {
        return not_handed(&shared, job, FailurePoint::TargetConnect);
    };
    if !is_for(&parts.headers, &target.service) {
        return not_handed(&shared, job, FailurePoint::TargetConnect);
    }
    strip(&mut parts.headers);
    let left = head.deadline.saturating_sub(shared.now());
    header::set(&mut parts.headers, header::DEADLINE_MS, &left.as_millis().to_string());
    let id = call::caller(&parts.headers).id;
    if id.is_some() {
        let instance = target.occupant.as_ref().map(|occupant| &*occupant.report().instance);
        call::address(&mut parts.headers, left, instance);
    }
    let request = Request::from_parts(parts, body);
    let started = shared.now();
    let log_lost = |point| {
        shared.emit_call(&Event::AttemptLost {
            id: call_id(id.as_ref()),
            attempt: head.attempt,
            route: head.route.clone(),
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
            return not_handed(&shared, job, FailurePoint::TargetConnect);
        }
        Ok(Err(ExchangeError::Broken(_))) => {
            log_lost(FailurePoint::TargetLost);
            job.end(Completion::Lost);
            return answer(&shared, Reply::Unknown(FailurePoint::TargetLost));
        }
        Err(_) => {
            log_lost(FailurePoint::Deadline);
            job.end(Completion::Lost);
            return answer(&shared, Reply::Unknown(FailurePoint::Deadline));
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
            return not_handed(&shared, job, FailurePoint::TargetShed);
        }
        Answer::Foreign => {
            log_lost(FailurePoint::TargetGarbled);
            job.end(Completion::Lost);
            return answer(&shared, Reply::Unknown(FailurePoint::TargetGarbled));
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
            log_lost(FailurePoint::HalfAnswer);
            job.end(Completion::Responded(None));
            answer(&shared, Reply::Ran)
        }
        Err(_) => {
            log_lost(FailurePoint::Deadline);
            job.end(Completion::Responded(None));
            answer(&shared, Reply::Unknown(FailurePoint::Deadline))
        }
    }
}

/// Tells whether an attempt is for a service; one that names none is for
/// whichever target is here.
fn is_for(headers: &HeaderMap, service: &Name) -> bool {
    headers
        .get(&header::SERVICE)
        .is_none_or(|named| named.as_bytes() == service.as_str().as_bytes())
}

/// Passes the target's answer on.
fn deliver(
    shared: &Arc<Shared>,
    head: &AttemptInfo,
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
            // Reserved first: the end of the job lets the next one start.
            let body = sending::reserve(shared, &head.route, body);
            job.end(Completion::Responded(kept));
            body
        }
        Gathered::Large(read, rest) => Body::resumed(read, rest, Finish::Job(Box::new(job), lease)),
    };
    let load = load(shared);
    header::set(&mut parts.headers, header::OUTCOME, Outcome::Ran.into());
    header::set(&mut parts.headers, header::VM, shared.settings.options.vm.as_str());
    header::set_load(&mut parts.headers, load);
    Response::from_parts(parts, body)
}

fn not_handed(shared: &Arc<Shared>, job: Job, point: FailurePoint) -> Response<Body> {
    job.end(Completion::NotRun);
    let retry_after = Duration::from_millis(100);
    let reply = Reply::NotRun { point, rejection: None, retry_after };
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
        header::SERVICE,
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

#[cfg(test)]
mod tests;
