//! One outbound call: sends its attempts, collects their responses and responds
//! to the caller.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, Uri, request};
use medlarpoint_model::{BodyIdentity, Fingerprint, Version, Vm, Workspace};
use medlarpoint_platform::call;
use medlarpoint_routing::{
    AttemptId, AttemptResult, AttemptStatus, Call, CallAction, CallEvent, CallResult, Constraints,
    Destination, FailurePoint, IdempotencyKey, Outcome, ResolvedRoute, ResponseInfo,
};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::AbortHandle;

use crate::attempt_response::{classify, counts_against_target, response_info};
use crate::body::{Body, Buffered, EndAction, MAX_BUFFERED_BYTES, buffer};
use crate::event::Event;
use crate::held_body::{HeldBody, announce};
use crate::outbound_response::{call_id, error_response};
use crate::pool::{Demand, ExchangeError};
use crate::state::{ServiceState, Shared, lock};
use crate::target_selector::TargetSelector;
use crate::{call_identity, header, inbound, rollouts};

/// Time limit for a query about an attempt.
const QUERY_TIMEOUT: Duration = Duration::from_secs(1);

/// Request body of a call.
pub(crate) enum Payload {
    /// Bytes in memory, sent with each attempt.
    Buffered(Bytes),
    /// Large body, read from the caller once an inbound proxy asks for it.
    Held(Arc<HeldBody>),
}

impl Payload {
    /// Returns the size in bytes, or what is known of it so far.
    fn len(&self) -> usize {
        match self {
            Self::Buffered(bytes) => bytes.len(),
            Self::Held(held) => held.len(),
        }
    }

    /// Returns the identity of the call, or `None` while its body has not been read.
    fn fingerprint(&self, parts: &request::Parts) -> Option<Fingerprint> {
        match self {
            Self::Buffered(bytes) => {
                Some(call_identity::of_call(parts, BodyIdentity::Bytes(bytes)))
            }
            Self::Held(_) => None,
        }
    }

    /// Returns the body for the next attempt; `None` if it cannot be sent once more.
    fn body(&self) -> Option<Body> {
        match self {
            Self::Buffered(bytes) => Some(Body::full(bytes.clone())),
            Self::Held(held) => held.is_replayable().then(|| Body::Held(held.reader())),
        }
    }
}

/// Event of an attempt, with the response if one has begun to arrive.
struct AttemptEvent {
    event: CallEvent,
    response: Option<AttemptResponse>,
}

/// Response to an attempt, whose head has arrived and whose body may still stream.
struct AttemptResponse {
    attempt: AttemptId,
    response: Response<Body>,
}

/// What the configuration says about a call.
pub(crate) struct Routed {
    /// Service that the call is sent to.
    pub(crate) service: Arc<ServiceState>,
    /// Route that the call matches.
    pub(crate) resolved: Arc<ResolvedRoute>,
    /// Workspace that the call belongs to; `None` if the version in force has
    /// no workspaces, or if a call on a public route carries no valid key.
    pub(crate) workspace: Option<Arc<Workspace>>,
}

/// A call with its attempts. Dropping it cancels the attempts that are pending.
pub(crate) struct OutboundCall {
    shared: Arc<Shared>,
    service: Arc<ServiceState>,
    resolved: Arc<ResolvedRoute>,
    /// Workspace that the call belongs to; `None` if the version in force has
    /// no workspaces, or if a call on a public route carries no valid key.
    workspace: Option<Arc<Workspace>>,
    parts: request::Parts,
    payload: Payload,
    /// Identity of the call; `None` while its body stays with the caller.
    fingerprint: Option<Fingerprint>,
    key: Option<IdempotencyKey>,
    constraints: Constraints,
    sender: UnboundedSender<AttemptEvent>,
    receiver: UnboundedReceiver<AttemptEvent>,
    pending: HashMap<AttemptId, PendingAttempt>,
    responses: HashMap<AttemptId, AttemptResponse>,
    /// Start of the call, on the local clock.
    started_at: Duration,
    /// Number of attempts started.
    attempts_sent: u32,
    /// Configuration version that the call was routed by.
    version: Version,
}

/// An attempt whose response has not begun to arrive.
struct PendingAttempt {
    task: AbortHandle,
    vm: Vm,
    /// Time at which the attempt was sent, on the local clock.
    sent_at: Duration,
}

impl Drop for OutboundCall {
    fn drop(&mut self) {
        let now = self.shared.now();
        for (attempt, pending) in std::mem::take(&mut self.pending) {
            self.abandon(now, attempt, &pending);
        }
    }
}

impl OutboundCall {
    /// Creates a call of which no attempt has been sent.
    pub(crate) fn new(
        shared: Arc<Shared>,
        routed: Routed,
        parts: request::Parts,
        payload: Payload,
        key: Option<IdempotencyKey>,
        constraints: Constraints,
    ) -> Self {
        let Routed { service, resolved, workspace } = routed;
        let (sender, receiver) = unbounded_channel();
        let (pending, responses) = (HashMap::new(), HashMap::new());
        let (started_at, version) = (shared.now(), shared.version());
        let fingerprint = payload.fingerprint(&parts);
        Self {
            started_at,
            attempts_sent: 0,
            version,
            shared,
            service,
            resolved,
            workspace,
            parts,
            payload,
            fingerprint,
            key,
            constraints,
            sender,
            receiver,
            pending,
            responses,
        }
    }

    /// Sends attempts until the call is finished and returns the response to the
    /// caller.
    pub(crate) async fn run(mut self) -> Response<Body> {
        let now = self.shared.now();
        let service = Arc::clone(&self.service);
        let body_bytes = self.payload.len();
        let route = self.resolved.route.name.clone();
        let shared = Arc::clone(&self.shared);
        let mut selector = TargetSelector {
            service: &service,
            suspects: &shared.suspects,
            route,
            body_bytes,
            fingerprint: self.fingerprint,
            key: self.key,
            has_picked: false,
        };
        let mut shutdown = shared.lifecycle.subscribe_shutdown();
        if let Some(shutdown) = *shutdown.borrow_and_update() {
            let deadline = &mut self.constraints.deadline;
            *deadline = shutdown.respond_until.min(*deadline);
        }
        let (mut call, mut actions) = Call::start(now, self.constraints, &mut selector);
        loop {
            if let Some(result) = self.perform(actions, &call) {
                return self.into_response(result);
            }
            let wake = self.shared.clock.instant(call.next_wake());
            let event = tokio::select! {
                biased;
                event = self.receiver.recv() => self.handle_event(event),
                () = tokio::time::sleep_until(wake) => CallEvent::Wake,
                Ok(()) = shutdown.changed() => {
                    // The call has to end before the process does.
                    if let Some(shutdown) = *shutdown.borrow_and_update() {
                        call.limit_deadline(shutdown.respond_until);
                    }
                    CallEvent::Wake
                }
            };
            let now = self.shared.now();
            actions = call.handle(now, event, &mut selector);
        }
    }

    /// Performs the actions of the call; returns its result once it is finished.
    fn perform(&mut self, actions: Vec<CallAction>, call: &Call) -> Option<CallResult> {
        let mut finished = None;
        for action in actions {
            match action {
                CallAction::Send(attempt, destination) => {
                    let may_spill = call.may_spill(&destination.vm);
                    self.send_attempt(attempt, destination, may_spill);
                }
                CallAction::Query(attempt, destination) => {
                    self.query_attempt(attempt, &destination);
                }
                CallAction::Cancel(attempt) => self.cancel_attempt(attempt),
                CallAction::Finish(result) => finished = Some(result),
            }
        }
        finished
    }

    fn send_attempt(&mut self, attempt: AttemptId, destination: Destination, may_spill: bool) {
        let now = self.shared.now();
        self.attempts_sent += 1;
        let Some(body) = self.payload.body() else {
            // An earlier attempt has read the body, so this one cannot be sent.
            let result = AttemptResult::NotRun {
                point: FailurePoint::Refused,
                retry_after: Duration::from_millis(100),
            };
            let event = CallEvent::Responded(attempt, result);
            // Sending cannot fail: `self` owns the receiver.
            let _ = self.sender.send(AttemptEvent { event, response: None });
            return;
        };
        let route = &self.resolved.route.name;
        lock(&self.service.picker).on_sent(now, &destination.vm, attempt, route);
        let mut request = self.build_request(attempt, &destination, body, may_spill);
        let repeatable = self.constraints.repeatable;
        let (shared, sender) = (Arc::clone(&self.shared), self.sender.clone());
        let address = destination.address;
        let is_local = destination.vm == shared.settings.options.vm;
        let permission = if is_local { None } else { announce(&mut request) };
        let task = tokio::spawn(async move {
            let result = if is_local {
                Ok(inbound::serve_attempt(shared, request, 0).await)
            } else {
                exchange(&shared, address, request, repeatable).await
            };
            drop(permission);
            // The receiver is dropped once the call has finished.
            let _ = sender.send(attempt_event(attempt, result));
        });
        let pending =
            PendingAttempt { task: task.abort_handle(), vm: destination.vm, sent_at: now };
        self.pending.insert(attempt, pending);
    }

    /// Queries the inbound proxy about the status of an attempt.
    fn query_attempt(&self, attempt: AttemptId, destination: &Destination) {
        let now = self.shared.now();
        let sent_at = self.pending.get(&attempt).map_or(now, |pending| pending.sent_at);
        let age = now.saturating_sub(sent_at);
        let mut request = Request::new(Body::empty());
        *request.uri_mut() = Uri::from_static("/");
        let headers = request.headers_mut();
        header::set(headers, http::header::HOST, &destination.address.to_string());
        header::set(headers, header::FLEET, self.shared.fleet().as_str());
        header::set(headers, header::QUERY, &attempt.to_string());
        header::set(headers, header::BOOT, &destination.boot.to_string());
        header::set(headers, header::AGE_MS, &age.as_millis().to_string());
        let (pool, sender) = (Arc::clone(&self.shared.pool), self.sender.clone());
        let address = destination.address;
        tokio::spawn(async move {
            let exchange = pool.exchange_on_new_connection(address, request);
            let status = match tokio::time::timeout(QUERY_TIMEOUT, exchange).await {
                Ok(Ok((response, _))) => inbound::parse_attempt_status(response.headers()),
                _ => AttemptStatus::Unreachable,
            };
            let event = CallEvent::StatusReceived(attempt, status);
            // The receiver is dropped once the call has finished.
            let _ = sender.send(AttemptEvent { event, response: None });
        });
    }

    fn cancel_attempt(&mut self, attempt: AttemptId) {
        self.responses.remove(&attempt);
        if let Some(pending) = self.pending.remove(&attempt) {
            self.abandon(self.shared.now(), attempt, &pending);
        }
    }

    /// Cancels an attempt that has no response.
    fn abandon(&self, now: Duration, attempt: AttemptId, pending: &PendingAttempt) {
        pending.task.abort();
        let (service, PendingAttempt { vm, sent_at, .. }) = (&self.service, pending);
        lock(&service.picker).on_abandoned(now, vm, attempt);
        rollouts::count_abandoned(service, &self.resolved, now, vm, *sent_at);
    }

    /// Records an event of an attempt in the log and in the picker's statistics.
    fn handle_event(&mut self, received: Option<AttemptEvent>) -> CallEvent {
        let Some(AttemptEvent { event, response }) = received else {
            return CallEvent::Wake;
        };
        let now = self.shared.now();
        let info = response.as_ref().map(|received| response_info(&received.response));
        let info = info.unwrap_or_default();
        if let CallEvent::Responded(attempt, _) | CallEvent::Failed(attempt, _) = &event
            && let Some(pending) = self.pending.get(attempt)
        {
            let elapsed = now.saturating_sub(pending.sent_at);
            let vm = pending.vm.clone();
            if let Some(response) = &response {
                self.record_departure(now, &vm, &response.response);
                self.record_suspicion(now, &response.response);
            }
            self.log_attempt(*attempt, &vm, &event, elapsed);
            self.update_picker(now, &vm, *attempt, &event, info, elapsed);
            let took = info.service_time.unwrap_or(elapsed);
            rollouts::count_response(&self.service, &self.resolved, now, &vm, &event, took);
            if matches!(event, CallEvent::Responded(..)) {
                self.pending.remove(attempt);
            }
        }
        if let Some(response) = response {
            self.responses.insert(response.attempt, response);
        }
        event
    }

    /// Records what the inbound proxy knows of crashes under the call.
    fn record_suspicion(&self, now: Duration, response: &Response<Body>) {
        let report = header::parse(response.headers(), &header::SUSPICION);
        if let (Some(fingerprint), Some(report)) = (self.fingerprint, report) {
            lock(&self.shared.suspects).merge(now, fingerprint, report);
        }
    }

    /// Records the process of the target that the response names as leaving.
    fn record_departure(&self, now: Duration, vm: &Vm, response: &Response<Body>) {
        if let Some(process) = header::parse::<String>(response.headers(), &header::LEAVING) {
            lock(&self.shared.departures).record(now, vm, &process);
        }
    }

    fn update_picker(
        &self,
        now: Duration,
        vm: &Vm,
        attempt: AttemptId,
        event: &CallEvent,
        info: ResponseInfo,
        elapsed: Duration,
    ) {
        let route = &self.resolved.route.name;
        let mut picker = lock(&self.service.picker);
        match event {
            CallEvent::Responded(_, AttemptResult::Response) => {
                picker.on_response(now, vm, attempt, route, &info);
                drop(picker);
                lock(&self.service.hedge_delays).observe(now, route, elapsed);
            }
            CallEvent::Responded(_, result) => {
                let failed = counts_against_target(result);
                picker.on_rejected(now, vm, attempt, &ResponseInfo { failed, ..info });
            }
            _ => picker.on_connect_failed(now, vm, attempt),
        }
    }

    /// Returns the id that the caller gave the call, for log lines.
    fn id(&self) -> String {
        call_id(call::caller_info(&self.parts.headers).id.as_ref())
    }

    /// Returns whether the caller reads a retry delay in fractions of a second.
    fn accepts_fractions(&self) -> bool {
        call::caller_info(&self.parts.headers).id.is_some()
    }

    /// Logs a call for which no target's response is passed on.
    fn log_failure(&self, result: CallResult) {
        let (id, route) = (self.id(), self.resolved.route.name.to_string());
        let service = self.resolved.route.service.to_string();
        let elapsed = self.shared.now().saturating_sub(self.started_at);
        let (sent, version) = (self.attempts_sent, self.version);
        let took_ms = elapsed.as_millis() as u64;
        let event = match result {
            CallResult::NotRun { point: FailurePoint::CrashBackoff, retry_after } => {
                self.backed_off(id, retry_after)
            }
            CallResult::NotRun { point, retry_after } => {
                let retry_ms = retry_after.as_millis() as u64;
                Event::CallRefused { id, route, service, point, sent, took_ms, retry_ms, version }
            }
            CallResult::Ran | CallResult::Response(_) => {
                let (outcome, point) = (Outcome::Ran, FailurePoint::HalfAnswer);
                Event::CallFailed { id, route, service, outcome, point, sent, took_ms, version }
            }
            CallResult::Unknown(point) => {
                let outcome = Outcome::Unknown;
                Event::CallFailed { id, route, service, outcome, point, sent, took_ms, version }
            }
        };
        self.shared.emit_call(&event);
    }

    /// Returns the event of a call that was rejected for the crashes under it.
    fn backed_off(&self, id: String, retry_after: Duration) -> Event {
        let call = self.fingerprint.unwrap_or(Fingerprint(0));
        let crashes = lock(&self.shared.suspects).suspicion(call).crashes;
        Event::CallBackedOff { id, call, crashes, retry_ms: retry_after.as_millis() as u64 }
    }

    /// Logs an attempt that failed. Other events of attempts are not logged.
    fn log_attempt(&self, attempt: AttemptId, vm: &Vm, event: &CallEvent, elapsed: Duration) {
        let point = match event {
            CallEvent::Failed(_, point)
            | CallEvent::Responded(
                _,
                AttemptResult::NotRun { point, .. } | AttemptResult::Unknown(point),
            ) => *point,
            CallEvent::Responded(_, AttemptResult::Failure) => FailurePoint::TargetFailed,
            CallEvent::Responded(_, AttemptResult::Ran) => FailurePoint::HalfAnswer,
            _ => return,
        };
        let took_ms = elapsed.as_millis() as u64;
        let (id, vm) = (self.id(), vm.clone());
        self.shared.emit_call(&Event::AttemptEnded { id, attempt, vm, point, took_ms });
    }

    /// Ends the call and returns the response to the caller.
    fn into_response(mut self, result: CallResult) -> Response<Body> {
        let CallResult::Response(attempt) = result else {
            self.log_failure(result);
            return error_response(result, self.accepts_fractions());
        };
        let Some(received) = self.responses.remove(&attempt) else {
            return error_response(CallResult::Ran, self.accepts_fractions());
        };
        let (mut parts, body) = received.response.into_parts();
        header::strip_hop_by_hop(&mut parts.headers);
        parts.headers.remove(&header::LOAD);
        parts.headers.remove(&header::TOOK_MS);
        parts.headers.remove(&header::LEAVING);
        parts.headers.remove(&header::SUSPICION);
        Response::from_parts(parts, body)
    }
}

/// Sends an attempt to another daemon and reads the response, with the complete
/// body unless it exceeds [`MAX_BUFFERED_BYTES`].
async fn exchange(
    shared: &Shared,
    address: SocketAddr,
    request: Request<Body>,
    repeatable: bool,
) -> Result<Response<Body>, ExchangeError> {
    let demand = Demand { repeatable, id: None };
    let (response, connection) = shared.pool.exchange(address, request, &demand).await?;
    let (parts, incoming) = response.into_parts();
    let body = match buffer(incoming, MAX_BUFFERED_BYTES, &shared.buffers).await {
        Ok(Buffered::Complete(body)) => {
            connection.release();
            Body::full(body)
        }
        Ok(Buffered::Partial(prefix, rest)) => {
            Body::with_prefix(prefix, rest, EndAction::Connection(connection))
        }
        Err(error) => return Err(ExchangeError::Lost(error)),
    };
    Ok(Response::from_parts(parts, body))
}

fn attempt_event(
    attempt: AttemptId,
    result: Result<Response<Body>, ExchangeError>,
) -> AttemptEvent {
    match result {
        Ok(response) => {
            let result = classify(response.status(), response.headers());
            let event = CallEvent::Responded(attempt, result);
            AttemptEvent { event, response: Some(AttemptResponse { attempt, response }) }
        }
        Err(ExchangeError::Connect(_)) => AttemptEvent {
            event: CallEvent::Failed(attempt, FailurePoint::Connect),
            response: None,
        },
        Err(ExchangeError::Lost(_) | ExchangeError::NotFinal(_)) => {
            AttemptEvent { event: CallEvent::Failed(attempt, FailurePoint::Sent), response: None }
        }
    }
}

mod attempt_request;
