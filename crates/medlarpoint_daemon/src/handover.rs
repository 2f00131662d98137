//! Hands attempts over to the target of this VM and checks the responses.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use http_body::Body as _;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use medlarpoint_model::{Fingerprint, Name};
use medlarpoint_platform::call::{self, ResponseClass};
use medlarpoint_routing::{AttemptInfo, Completion, FailurePoint, Outcome, Reply};

use crate::body::{Body, Buffered, EndAction, MAX_BUFFERED_BYTES, buffer};
use crate::event::Event;
use crate::header;
use crate::inbound::{InFlightAttempt, SavedResponse, load, respond, set_leaving};
use crate::outbound_response::call_id;
use crate::pool::{ConnectError, Demand, ExchangeError, PooledConnection};
use crate::state::{Shared, TargetState, lock};
use crate::target_end::HandedOver;
use crate::{call_identity, interim, shaped_body, target_end, target_response, workspace};

/// Limit on a response that is saved to replay when its idempotency key is sent
/// again, in bytes.
const MAX_SAVED_BYTES: usize = 64 * 1024;
/// Limit on the body of a rejection that is read only to use its connection again, in bytes.
const MAX_DISCARDED_BYTES: usize = 16 * 1024;
/// Limit on the time to read it, for which the rejection waits.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(50);

/// Sends an attempt to the target and returns the response for the outbound proxy.
pub(crate) async fn hand_over(
    shared: Arc<Shared>,
    info: AttemptInfo,
    mut parts: http::request::Parts,
    body: Body,
    in_flight: InFlightAttempt,
) -> Response<Body> {
    let Some(target) = lock(&shared.target).clone() else {
        return reject(&shared, in_flight, Completion::NotRun, FailurePoint::TargetConnect);
    };
    if !matches_service(&parts.headers, &target.service) {
        return reject(&shared, in_flight, Completion::NotRun, FailurePoint::TargetConnect);
    }
    let fingerprint = call_identity::of_attempt(&parts, &body);
    learn_suspicion(&shared, &parts.headers, fingerprint);
    let time_left = info.deadline.saturating_sub(shared.now());
    let has_workspaces = shared.in_force.load().keys.has_workspaces();
    let id = set_target_headers(&mut parts.headers, &target, has_workspaces, time_left);
    let request = Request::from_parts(parts, body);
    let started_at = shared.now();
    let log_lost = |point| {
        shared.emit_call(&Event::AttemptLost {
            id: call_id(id.as_ref()),
            attempt: info.attempt,
            route: info.route.clone(),
            point,
            took_ms: shared.now().saturating_sub(started_at).as_millis() as u64,
            fingerprint,
        });
    };
    let lose = |in_flight: InFlightAttempt, point| {
        log_lost(point);
        in_flight.end(Completion::Lost);
        respond_unknown(&shared, point, fingerprint)
    };
    let handed_over = match HandedOver::new(&shared, info.attempt, fingerprint) {
        Ok(handed_over) => handed_over,
        Err(retry_after) => return reject_suspect(&shared, in_flight, fingerprint, retry_after),
    };
    let demand = Demand { repeatable: info.key.is_none(), id: id.clone() };
    let exchanged = exchange(&shared, target.address, request, &demand, time_left).await;
    let (response, connection) = match exchanged {
        Ok(exchanged) => exchanged,
        Err(NoResponse::Connect(error)) => {
            handed_over.withdraw();
            if error.is_refused() {
                target_end::on_refused(&shared, &target);
            }
            record_connection(&shared, false);
            return reject(&shared, in_flight, Completion::NotRun, FailurePoint::TargetConnect);
        }
        Err(NoResponse::Lost) => {
            let ended = handed_over.has_target_ended(&target).await;
            let point = if ended { FailurePoint::TargetCrashed } else { FailurePoint::TargetLost };
            return lose(in_flight, point);
        }
        Err(NoResponse::Invalid) => return lose(in_flight, FailurePoint::TargetGarbled),
        Err(NoResponse::Deadline) => return lose(in_flight, FailurePoint::Deadline),
    };
    record_connection(&shared, true);
    let (mut parts, incoming) = response.into_parts();
    if let Some(load) = call::parse_load(&parts.headers) {
        shared.slowdown.record(shared.now(), load.pace_percent);
    }
    let class = classify(&parts, id.as_ref(), &connection);
    target_response::observe(&shared, &target, class, &parts.headers);
    match class {
        ResponseClass::Ran => handed_over.answer(),
        ResponseClass::NotRun | ResponseClass::OtherInstance => {
            handed_over.withdraw();
            discard(incoming, connection, id).await;
            let is_same_process = class == ResponseClass::NotRun;
            let completion =
                if is_same_process { Completion::Rejected } else { Completion::NotRun };
            return reject(&shared, in_flight, completion, FailurePoint::TargetShed);
        }
        ResponseClass::Unverified => {
            return lose(in_flight, FailurePoint::TargetGarbled);
        }
    }
    let buffered = buffer(incoming, MAX_BUFFERED_BYTES, &shared.buffers);
    let time_left = info.deadline.saturating_sub(shared.now());
    match tokio::time::timeout(time_left, buffered).await {
        Ok(Ok(buffered)) => {
            let elapsed = shared.now().saturating_sub(started_at).as_millis();
            header::set(&mut parts.headers, header::TOOK_MS, &elapsed.to_string());
            let mut response =
                forward_response(&shared, &info, parts, buffered, connection, in_flight);
            set_suspicion(&shared, response.headers_mut(), fingerprint);
            response
        }
        Ok(Err(_)) => {
            log_lost(FailurePoint::HalfAnswer);
            in_flight.end(Completion::Responded(None));
            respond(&shared, Reply::Ran)
        }
        Err(_) => {
            log_lost(FailurePoint::Deadline);
            in_flight.end(Completion::Responded(None));
            respond(&shared, Reply::Unknown(FailurePoint::Deadline))
        }
    }
}

/// Reason why the target has not responded.
#[derive(Debug)]
enum NoResponse {
    /// Nothing was sent.
    Connect(ConnectError),
    /// The connection broke.
    Lost,
    /// The target wrote something else than a final response.
    Invalid,
    /// The time is over.
    Deadline,
}

/// Sends a call to the target and waits for the head of its response.
async fn exchange(
    shared: &Shared,
    address: SocketAddr,
    mut request: Request<Body>,
    demand: &Demand,
    time_left: Duration,
) -> Result<(Response<Incoming>, PooledConnection), NoResponse> {
    let interim = interim::Counter::watch(&mut request);
    let exchange = shared.target_pool.exchange(address, request, demand);
    let result = tokio::select! {
        result = tokio::time::timeout(time_left, exchange) => result,
        () = interim.exceeded() => return Err(NoResponse::Invalid),
    };
    result.map_err(|_| NoResponse::Deadline)?.map_err(|error| match error {
        ExchangeError::Connect(error) => NoResponse::Connect(error),
        ExchangeError::Lost(_) => NoResponse::Lost,
        ExchangeError::NotFinal(_) => NoResponse::Invalid,
    })
}

/// Classifies the response to the call with an id. Calls without one are those of our own
/// interface.
fn classify(
    parts: &http::response::Parts,
    id: Option<&HeaderValue>,
    connection: &PooledConnection,
) -> ResponseClass {
    match id {
        Some(id) => {
            let is_first = !connection.is_reused();
            call::classify_response(parts.status, &parts.headers, id, is_first)
        }
        None if is_shed(parts) => ResponseClass::NotRun,
        None => ResponseClass::Ran,
    }
}

/// Reads the rest of a rejection of the call with an id, so that its connection can be used
/// again. A connection on which it does not end soon is closed.
async fn discard(mut incoming: Incoming, connection: PooledConnection, id: Option<HeaderValue>) {
    let read = async {
        let mut read_bytes = 0;
        while let Some(Ok(frame)) = incoming.frame().await {
            read_bytes += frame.data_ref().map_or(0, Bytes::len);
            if read_bytes > MAX_DISCARDED_BYTES {
                break;
            }
        }
        incoming.is_end_stream()
    };
    if tokio::time::timeout(DISCARD_TIMEOUT, read).await == Ok(true) {
        connection.release_rejected(id);
    }
}

/// Replaces the headers between proxies by those for the target. Returns the id of the call,
/// if its caller has given it one.
fn set_target_headers(
    headers: &mut HeaderMap,
    target: &TargetState,
    has_workspaces: bool,
    time_left: Duration,
) -> Option<HeaderValue> {
    workspace::set_for_target(headers, has_workspaces);
    strip_proxy_headers(headers);
    header::set(headers, header::DEADLINE_MS, &time_left.as_millis().to_string());
    let id = call::caller_info(headers).id?;
    let instance = target.instance.as_ref().map(|instance| &*instance.report().instance);
    call::set_target(headers, time_left, instance);
    Some(id)
}

/// Returns whether an attempt is meant for `service`. An attempt that names no
/// service matches any.
fn matches_service(headers: &HeaderMap, service: &Name) -> bool {
    headers
        .get(&header::SERVICE)
        .is_none_or(|named| named.as_bytes() == service.as_str().as_bytes())
}

/// Returns the target's response with the headers for the outbound proxy.
fn forward_response(
    shared: &Arc<Shared>,
    info: &AttemptInfo,
    mut parts: http::response::Parts,
    buffered: Buffered,
    connection: PooledConnection,
    in_flight: InFlightAttempt,
) -> Response<Body> {
    header::strip_hop_by_hop(&mut parts.headers);
    let body = match buffered {
        Buffered::Complete(body) => {
            connection.release();
            let save = info.key.is_some() && body.len() <= MAX_SAVED_BYTES;
            let saved = save.then(|| SavedResponse {
                status: parts.status,
                headers: parts.headers.clone(),
                // A copy, since the response outlives the memory reserved for this call.
                body: Bytes::copy_from_slice(&body),
            });
            // The link is reserved before the attempt ends, since its end lets the
            // next attempt start.
            let body = shaped_body::reserve_link(shared, &info.route, body);
            in_flight.end(Completion::Responded(saved));
            body
        }
        Buffered::Partial(prefix, rest) => {
            let now = shared.now();
            lock(&shared.intake).answered(now, info.attempt);
            Body::with_prefix(prefix, rest, EndAction::Attempt(Box::new(in_flight), connection))
        }
    };
    let load = load(shared);
    header::set(&mut parts.headers, header::OUTCOME, Outcome::Ran.into());
    header::set(&mut parts.headers, header::VM, shared.settings.options.vm.as_str());
    header::set_load(&mut parts.headers, load);
    set_leaving(shared, &mut parts.headers);
    Response::from_parts(parts, body)
}

/// Ends an attempt of which nothing was sent to the target, or that the target
/// states it has not run.
fn reject(
    shared: &Arc<Shared>,
    in_flight: InFlightAttempt,
    completion: Completion<SavedResponse>,
    point: FailurePoint,
) -> Response<Body> {
    in_flight.end(completion);
    let retry_after = Duration::from_millis(100);
    let reply = Reply::NotRun { point, rejection: None, retry_after };
    respond(shared, reply)
}

/// Rejects an attempt of a call under which targets have crashed. It may run after
/// `retry_after`.
fn reject_suspect(
    shared: &Arc<Shared>,
    in_flight: InFlightAttempt,
    fingerprint: Fingerprint,
    retry_after: Duration,
) -> Response<Body> {
    in_flight.end(Completion::NotRun);
    let reply = Reply::NotRun { point: FailurePoint::CrashBackoff, rejection: None, retry_after };
    let mut response = respond(shared, reply);
    set_suspicion(shared, response.headers_mut(), fingerprint);
    response
}

/// Returns the response to an attempt that the target may have run, with what is known of
/// crashes under its call.
fn respond_unknown(
    shared: &Shared,
    point: FailurePoint,
    fingerprint: Fingerprint,
) -> Response<Body> {
    let mut response = respond(shared, Reply::Unknown(point));
    set_suspicion(shared, response.headers_mut(), fingerprint);
    response
}

/// Merges what the outbound proxy knows of crashes under its call.
fn learn_suspicion(shared: &Shared, headers: &HeaderMap, fingerprint: Fingerprint) {
    if let Some(report) = header::parse(headers, &header::SUSPICION) {
        let now = shared.now();
        lock(&shared.suspects).merge(now, fingerprint, report);
    }
}

/// Tells the outbound proxy what is known of crashes under its call.
fn set_suspicion(shared: &Shared, headers: &mut HeaderMap, fingerprint: Fingerprint) {
    let now = shared.now();
    let report = lock(&shared.suspects).report(now, fingerprint);
    if let Some(report) = report {
        header::set(headers, header::SUSPICION, &report.to_string());
    }
}

/// Returns whether the target rejected the call to shed load and states that the
/// call has not run.
fn is_shed(parts: &http::response::Parts) -> bool {
    let outcome: Option<Outcome> = header::parse(&parts.headers, &header::OUTCOME);
    parts.status == StatusCode::SERVICE_UNAVAILABLE && outcome == Some(Outcome::NotRun)
}

/// Removes the headers that are meant for this proxy and forbids further retries.
fn strip_proxy_headers(headers: &mut HeaderMap) {
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
        header::LEAVING,
        header::FINGERPRINT,
        header::SUSPICION,
        header::EXPECTED_MS,
    ] {
        headers.remove(name);
    }
    headers.insert(header::RETRY, HeaderValue::from_static("no"));
}

/// Counts consecutive failures to connect to the target; a success resets the count.
fn record_connection(shared: &Shared, success: bool) {
    let mut target = lock(&shared.target);
    if let Some(target) = target.as_mut() {
        target.failures = if success { 0 } else { target.failures + 1 };
    }
}

#[cfg(test)]
mod tests;
