//! Hands a call to the target of this VM and judges its answer.

use std::sync::Arc;
use std::time::Duration;

use http::{HeaderMap, Request, Response, StatusCode};
use medlarpoint_model::Name;
use medlarpoint_platform::call::{self, Answer};
use medlarpoint_routing::{Ended, Head, Outcome, Point, Reply};

use crate::body::{Body, Buffered, Completion, MAX_BUFFERED_BYTES, buffer};
use crate::event::Event;
use crate::header;
use crate::inbound::{InFlightAttempt, SavedResponse, load, respond};
use crate::outbound_call::call_id;
use crate::pool::{ExchangeError, PooledConnection};
use crate::shaped_body;
use crate::state::{Shared, lock};

/// Largest answer kept for a resent idempotency key, in bytes.
const MAX_KEPT_BYTES: usize = 64 * 1024;

/// Sends the call to the target.
pub(crate) async fn hand_over(
    shared: Arc<Shared>,
    head: Head,
    mut parts: http::request::Parts,
    body: Body,
    in_flight: InFlightAttempt,
) -> Response<Body> {
    let Some(target) = lock(&shared.target).clone() else {
        return not_handed(&shared, in_flight, Point::TargetConnect);
    };
    if !is_for(&parts.headers, &target.service) {
        return not_handed(&shared, in_flight, Point::TargetConnect);
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
            route: head.kind.clone(),
            point,
            took_ms: shared.now().saturating_sub(started).as_millis() as u64,
        });
    };
    let exchange = shared.pool.exchange(target.address, request, head.key.is_none());
    let exchanged = tokio::time::timeout(left, exchange).await;
    let (response, connection) = match exchanged {
        Ok(Ok(exchanged)) => exchanged,
        Ok(Err(ExchangeError::Connect(_))) => {
            note_target(&shared, false);
            return not_handed(&shared, in_flight, Point::TargetConnect);
        }
        Ok(Err(ExchangeError::Broken(_))) => {
            log_lost(Point::TargetLost);
            in_flight.end(Ended::Broken);
            return respond(&shared, Reply::Unknown(Point::TargetLost));
        }
        Err(_) => {
            log_lost(Point::Deadline);
            in_flight.end(Ended::Broken);
            return respond(&shared, Reply::Unknown(Point::Deadline));
        }
    };
    note_target(&shared, true);
    let (mut parts, incoming) = response.into_parts();
    if let Some(load) = call::load(&parts.headers) {
        shared.slowdown.record(shared.now(), load.pace_percent);
    }
    let worth = match &id {
        Some(id) => call::judge(parts.status, &parts.headers, id),
        None if target_shed(&parts) => Answer::NotRun,
        None => Answer::Ran,
    };
    match worth {
        Answer::Ran => {}
        Answer::NotRun | Answer::OtherInstance => {
            if buffer(incoming, MAX_BUFFERED_BYTES).await.is_ok() {
                connection.release();
            }
            return not_handed(&shared, in_flight, Point::TargetShed);
        }
        Answer::Foreign => {
            log_lost(Point::TargetGarbled);
            in_flight.end(Ended::Broken);
            return respond(&shared, Reply::Unknown(Point::TargetGarbled));
        }
    }
    let buffered = buffer(incoming, MAX_BUFFERED_BYTES);
    let left = head.deadline.saturating_sub(shared.now());
    match tokio::time::timeout(left, buffered).await {
        Ok(Ok(buffered)) => {
            let took = shared.now().saturating_sub(started).as_millis();
            header::set(&mut parts.headers, header::TOOK_MS, &took.to_string());
            deliver(&shared, &head, parts, buffered, connection, in_flight)
        }
        Ok(Err(_)) => {
            log_lost(Point::HalfAnswer);
            in_flight.end(Ended::Answered(None));
            respond(&shared, Reply::Ran)
        }
        Err(_) => {
            log_lost(Point::Deadline);
            in_flight.end(Ended::Answered(None));
            respond(&shared, Reply::Unknown(Point::Deadline))
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
    head: &Head,
    mut parts: http::response::Parts,
    buffered: Buffered,
    connection: PooledConnection,
    in_flight: InFlightAttempt,
) -> Response<Body> {
    header::strip_hop_by_hop(&mut parts.headers);
    let body = match buffered {
        Buffered::Complete(body) => {
            connection.release();
            let keep = head.key.is_some() && body.len() <= MAX_KEPT_BYTES;
            let kept = keep.then(|| SavedResponse {
                status: parts.status,
                headers: parts.headers.clone(),
                body: body.clone(),
            });
            // Reserved first: the end of the attempt lets the next one start.
            let body = shaped_body::reserve_link(shared, &head.kind, body);
            in_flight.end(Ended::Answered(kept));
            body
        }
        Buffered::Partial(read, rest) => {
            Body::resumed(read, rest, Completion::Attempt(Box::new(in_flight), connection))
        }
    };
    let load = load(shared);
    header::set(&mut parts.headers, header::OUTCOME, Outcome::Ran.into());
    header::set(&mut parts.headers, header::VM, shared.settings.options.vm.as_str());
    header::set_load(&mut parts.headers, load);
    Response::from_parts(parts, body)
}

fn not_handed(shared: &Arc<Shared>, in_flight: InFlightAttempt, point: Point) -> Response<Body> {
    in_flight.end(Ended::NotHanded);
    let retry_after = Duration::from_millis(100);
    let reply = Reply::NotRun { point, refusal: None, retry_after };
    respond(shared, reply)
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
