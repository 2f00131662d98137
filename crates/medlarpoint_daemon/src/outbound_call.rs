//! One call on its way: its attempts, their answers, and what the caller is told.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, Uri, request};
use medlarpoint_model::{Name, Version, Vm};
use medlarpoint_platform::call;
use medlarpoint_routing::{
    Ask, AttemptId, Call, CallAction, CallEvent, Choice, Final, IdempotencyKey, Known, Outcome,
    Pick, Plan, Point, Report, Terms, Verdict,
};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::AbortHandle;

use crate::attempt_response::{classify, counts_against_target, report};
use crate::body::{Body, Buffered, Completion, MAX_BUFFERED_BYTES, buffer};
use crate::event::Event;
use crate::pool::{ExchangeError, Pool};
use crate::state::{ServiceState, Shared, lock};
use crate::{header, inbound};

/// Longest time a question about an attempt may take.
const QUERY_TIMEOUT: Duration = Duration::from_secs(1);

/// Request body of a call.
pub(crate) enum Payload {
    /// SavedResponse, and sent with each attempt.
    Buffered(Bytes),
    /// Streams with the first attempt that takes it.
    Stream(Option<Body>),
}

/// Something that happened to an attempt, with the answer if there is one.
struct News {
    event: CallEvent,
    response: Option<Arrived>,
}

/// An answer that has begun to arrive.
struct Arrived {
    attempt: AttemptId,
    response: Response<Body>,
}

/// Chooses targets for one call.
struct Chooser<'a> {
    service: &'a ServiceState,
    kind: Name,
    bytes: usize,
    key: Option<IdempotencyKey>,
}

impl Pick for Chooser<'_> {
    fn pick(&mut self, now: Duration, exclude: &[Vm], busy: &[Vm]) -> Option<Choice> {
        let mut picker = lock(&self.service.picker);
        if let Some(key) = self.key {
            return picker.pick_keyed(key, exclude);
        }
        let ask = Ask { kind: &self.kind, bytes: self.bytes };
        picker.pick(now, &ask, exclude, busy)
    }

    fn locate(&mut self, _now: Duration, vm: &Vm) -> Option<Choice> {
        lock(&self.service.picker).locate(vm)
    }

    fn may_retry(&mut self) -> bool {
        lock(&self.service.retries).spend()
    }

    fn may_hedge(&mut self) -> bool {
        lock(&self.service.hedges).spend()
    }

    fn attempt_id(&mut self) -> AttemptId {
        AttemptId(rand::random())
    }
}

/// One call with its attempts.
pub(crate) struct OutboundCall {
    shared: Arc<Shared>,
    service: Arc<ServiceState>,
    plan: Arc<Plan>,
    parts: request::Parts,
    payload: Payload,
    key: Option<IdempotencyKey>,
    terms: Terms,
    sender: UnboundedSender<News>,
    receiver: UnboundedReceiver<News>,
    running: HashMap<AttemptId, Running>,
    arrived: HashMap<AttemptId, Arrived>,
    /// When the call came, on the local clock.
    started: Duration,
    /// Attempts sent.
    sent: u32,
    /// Version by which the call was routed.
    version: Version,
}

/// An attempt whose answer has not come.
struct Running {
    task: AbortHandle,
    vm: Vm,
    sent: Duration,
}

impl Drop for OutboundCall {
    fn drop(&mut self) {
        let now = self.shared.now();
        for (attempt, running) in self.running.drain() {
            running.task.abort();
            lock(&self.service.picker).abandoned(now, &running.vm, attempt);
        }
    }
}

impl OutboundCall {
    /// Prepares a call.
    pub(crate) fn new(
        shared: Arc<Shared>,
        service: Arc<ServiceState>,
        plan: Arc<Plan>,
        parts: request::Parts,
        payload: Payload,
        key: Option<IdempotencyKey>,
        terms: Terms,
    ) -> Self {
        let (sender, receiver) = unbounded_channel();
        let (running, arrived) = (HashMap::new(), HashMap::new());
        let (started, version) = (shared.now(), shared.version());
        Self {
            started,
            sent: 0,
            version,
            shared,
            service,
            plan,
            parts,
            payload,
            key,
            terms,
            sender,
            receiver,
            running,
            arrived,
        }
    }

    /// Sends attempts until there is something to tell the caller.
    pub(crate) async fn run(mut self) -> Response<Body> {
        let now = self.shared.now();
        let service = Arc::clone(&self.service);
        let bytes = match &self.payload {
            Payload::Buffered(bytes) => bytes.len(),
            Payload::Stream(_) => 0,
        };
        let kind = self.plan.route.name.clone();
        let mut chooser = Chooser { service: &service, kind, bytes, key: self.key };
        let (mut call, mut actions) = Call::start(now, self.terms, &mut chooser);
        loop {
            if let Some(outcome) = self.perform(actions, &call) {
                return self.conclude(outcome);
            }
            let wake = self.shared.clock.instant(call.wake());
            let event = tokio::select! {
                biased;
                news = self.receiver.recv() => self.learn(news),
                () = tokio::time::sleep_until(wake) => CallEvent::Wake,
            };
            let now = self.shared.now();
            actions = call.on(now, event, &mut chooser);
        }
    }

    fn perform(&mut self, actions: Vec<CallAction>, call: &Call) -> Option<Final> {
        let mut outcome = None;
        for action in actions {
            match action {
                CallAction::Send(attempt, choice) => {
                    let may_spill = call.may_spill(&choice.vm);
                    self.send(attempt, choice, may_spill);
                }
                CallAction::Query(attempt, choice) => self.query(attempt, &choice),
                CallAction::Cancel(attempt) => self.cancel(attempt),
                CallAction::Finish(end) => outcome = Some(end),
            }
        }
        outcome
    }

    fn send(&mut self, attempt: AttemptId, choice: Choice, may_spill: bool) {
        let now = self.shared.now();
        self.sent += 1;
        let body = match &mut self.payload {
            Payload::Buffered(bytes) => Some(Body::full(bytes.clone())),
            Payload::Stream(body) => body.take(),
        };
        let Some(body) = body else {
            // The body went with an earlier attempt; nothing more can be sent.
            let verdict =
                Verdict::NotRun { point: Point::Refused, retry_after: Duration::from_millis(100) };
            let event = CallEvent::Answered(attempt, verdict);
            // The receiver lives as long as this exchange.
            let _ = self.sender.send(News { event, response: None });
            return;
        };
        let kind = &self.plan.route.name;
        lock(&self.service.picker).sent(now, &choice.vm, attempt, kind);
        let mut request = self.request(attempt, &choice, body);
        if may_spill {
            request.headers_mut().insert(header::SPILL, HeaderValue::from_static("yes"));
        }
        let repeatable = self.terms.repeatable;
        let (shared, sender) = (Arc::clone(&self.shared), self.sender.clone());
        let address = choice.address;
        let own = choice.vm == shared.settings.options.vm;
        let task = tokio::spawn(async move {
            let exchanged = if own {
                Ok(inbound::serve_attempt(shared, request).await)
            } else {
                exchange(&shared.pool, address, request, repeatable).await
            };
            // Nobody listens once the call is over.
            let _ = sender.send(news(attempt, exchanged));
        });
        let running = Running { task: task.abort_handle(), vm: choice.vm, sent: now };
        self.running.insert(attempt, running);
    }

    fn request(&self, attempt: AttemptId, choice: &Choice, body: Body) -> Request<Body> {
        let mut request = Request::new(body);
        *request.method_mut() = self.parts.method.clone();
        let path = self.parts.uri.path_and_query().cloned();
        *request.uri_mut() = path.map(Uri::from).unwrap_or_default();
        let headers = request.headers_mut();
        *headers = self.parts.headers.clone();
        if !headers.contains_key(http::header::HOST)
            && let Some(authority) = self.parts.uri.authority()
        {
            header::set(headers, http::header::HOST, authority.as_str());
        }
        let left = self.terms.deadline.saturating_sub(self.shared.now());
        header::set(headers, header::FLEET, self.shared.fleet().as_str());
        header::set(headers, header::ATTEMPT, &attempt.to_string());
        header::set(headers, header::BOOT, &choice.boot.to_string());
        header::set(headers, header::ROUTE, self.plan.route.name.as_str());
        header::set(headers, header::DEADLINE_MS, &left.as_millis().to_string());
        if let Some(until) = self.terms.useful_until {
            let now = self.shared.now();
            let ms = until.saturating_sub(now).as_millis();
            header::set(headers, header::USEFUL_MS, &ms.to_string());
        }
        header::set(headers, header::SERVICE, self.service.name.as_str());
        header::set(headers, header::RANK, &self.plan.route.priority.to_string());
        let retry = if self.terms.repeatable { inbound::REPEATABLE } else { "no" };
        header::set(headers, header::RETRY, retry);
        request
    }

    fn query(&self, attempt: AttemptId, choice: &Choice) {
        let now = self.shared.now();
        let sent = self.running.get(&attempt).map_or(now, |running| running.sent);
        let age = now.saturating_sub(sent);
        let mut request = Request::new(Body::empty());
        *request.uri_mut() = Uri::from_static("/");
        let headers = request.headers_mut();
        header::set(headers, http::header::HOST, &choice.address.to_string());
        header::set(headers, header::FLEET, self.shared.fleet().as_str());
        header::set(headers, header::QUERY, &attempt.to_string());
        header::set(headers, header::BOOT, &choice.boot.to_string());
        header::set(headers, header::AGE_MS, &age.as_millis().to_string());
        let (pool, sender) = (Arc::clone(&self.shared.pool), self.sender.clone());
        let address = choice.address;
        tokio::spawn(async move {
            let exchange = pool.exchange_on_new_connection(address, request);
            let known = match tokio::time::timeout(QUERY_TIMEOUT, exchange).await {
                Ok(Ok((response, _))) => inbound::parse_known(response.headers()),
                _ => Known::Unreachable,
            };
            let event = CallEvent::Queried(attempt, known);
            // Nobody listens once the call is over.
            let _ = sender.send(News { event, response: None });
        });
    }

    fn cancel(&mut self, attempt: AttemptId) {
        self.arrived.remove(&attempt);
        if let Some(running) = self.running.remove(&attempt) {
            running.task.abort();
            let now = self.shared.now();
            lock(&self.service.picker).abandoned(now, &running.vm, attempt);
        }
    }

    /// Takes news of an attempt and keeps the books of the picker.
    fn learn(&mut self, news: Option<News>) -> CallEvent {
        let Some(news) = news else {
            return CallEvent::Wake;
        };
        let now = self.shared.now();
        let report = news.response.as_ref().map(|arrived| report(&arrived.response));
        let report = report.unwrap_or_default();
        if let CallEvent::Answered(attempt, _) | CallEvent::Failed(attempt, _) = &news.event
            && let Some(running) = self.running.get(attempt)
        {
            let took = now.saturating_sub(running.sent);
            let vm = running.vm.clone();
            self.log_attempt(*attempt, &vm, &news.event, took);
            self.note(now, &vm, *attempt, &news.event, report, took);
            if matches!(news.event, CallEvent::Answered(..)) {
                self.running.remove(attempt);
            }
        }
        if let Some(arrived) = news.response {
            self.arrived.insert(arrived.attempt, arrived);
        }
        news.event
    }

    fn note(
        &self,
        now: Duration,
        vm: &Vm,
        attempt: AttemptId,
        event: &CallEvent,
        report: Report,
        took: Duration,
    ) {
        let kind = &self.plan.route.name;
        let mut picker = lock(&self.service.picker);
        match event {
            CallEvent::Answered(_, Verdict::Answer) => {
                picker.answered(now, vm, attempt, kind, &report);
                drop(picker);
                lock(&self.service.latencies).observe(now, kind, took);
            }
            CallEvent::Answered(_, verdict) => {
                let failed = counts_against_target(verdict);
                picker.refused(now, vm, attempt, &Report { failed, ..report });
            }
            _ => picker.failed(now, vm, attempt),
        }
    }

    /// Returns the identity that the caller gave the call, for the logs.
    fn id(&self) -> String {
        call_id(call::caller(&self.parts.headers).id.as_ref())
    }

    /// Tells whether the caller takes fractions of a second as advice on when
    /// to return.
    fn takes_fractions(&self) -> bool {
        call::caller(&self.parts.headers).id.is_some()
    }

    fn log_end(&self, outcome: Final) {
        let (id, route) = (self.id(), self.plan.route.name.to_string());
        let service = self.plan.route.service.to_string();
        let took = self.shared.now().saturating_sub(self.started);
        let (sent, version) = (self.sent, self.version);
        let took_ms = took.as_millis() as u64;
        let event = match outcome {
            Final::NotRun { point, retry_after } => {
                let retry_ms = retry_after.as_millis() as u64;
                Event::CallRefused { id, route, service, point, sent, took_ms, retry_ms, version }
            }
            Final::Ran | Final::Answer(_) => {
                let (outcome, point) = (Outcome::Ran, Point::HalfAnswer);
                Event::CallFailed { id, route, service, outcome, point, sent, took_ms, version }
            }
            Final::Unknown(point) => {
                let outcome = Outcome::Unknown;
                Event::CallFailed { id, route, service, outcome, point, sent, took_ms, version }
            }
        };
        self.shared.emit_call(&event);
    }

    fn log_attempt(&self, attempt: AttemptId, vm: &Vm, event: &CallEvent, took: Duration) {
        let point = match event {
            CallEvent::Failed(_, point) => *point,
            CallEvent::Answered(_, Verdict::NotRun { point, .. } | Verdict::Unknown(point)) => {
                *point
            }
            CallEvent::Answered(_, Verdict::Failure) => Point::TargetFailed,
            CallEvent::Answered(_, Verdict::Ran) => Point::HalfAnswer,
            _ => return,
        };
        let took_ms = took.as_millis() as u64;
        let (id, vm) = (self.id(), vm.clone());
        self.shared.emit_call(&Event::AttemptEnded { id, attempt, vm, point, took_ms });
    }

    /// Answers the caller.
    fn conclude(mut self, outcome: Final) -> Response<Body> {
        let Final::Answer(attempt) = outcome else {
            self.log_end(outcome);
            return told(outcome, self.takes_fractions());
        };
        let Some(arrived) = self.arrived.remove(&attempt) else {
            return told(Final::Ran, self.takes_fractions());
        };
        let (mut parts, body) = arrived.response.into_parts();
        header::strip_hop_by_hop(&mut parts.headers);
        parts.headers.remove(&header::LOAD);
        parts.headers.remove(&header::TOOK_MS);
        Response::from_parts(parts, body)
    }
}

/// Sends an attempt to another daemon and reads its answer, whole unless it is
/// large.
async fn exchange(
    pool: &Arc<Pool>,
    address: SocketAddr,
    request: Request<Body>,
    repeatable: bool,
) -> Result<Response<Body>, ExchangeError> {
    let (response, connection) = pool.exchange(address, request, repeatable).await?;
    let (parts, incoming) = response.into_parts();
    let body = match buffer(incoming, MAX_BUFFERED_BYTES).await {
        Ok(Buffered::Complete(body)) => {
            connection.release();
            Body::full(body)
        }
        Ok(Buffered::Partial(read, rest)) => {
            Body::resumed(read, rest, Completion::Connection(connection))
        }
        Err(error) => return Err(ExchangeError::Broken(error)),
    };
    Ok(Response::from_parts(parts, body))
}

fn news(attempt: AttemptId, exchanged: Result<Response<Body>, ExchangeError>) -> News {
    match exchanged {
        Ok(response) => {
            let verdict = classify(response.status(), response.headers());
            let event = CallEvent::Answered(attempt, verdict);
            News { event, response: Some(Arrived { attempt, response }) }
        }
        Err(ExchangeError::Connect(_)) => {
            News { event: CallEvent::Failed(attempt, Point::Connect), response: None }
        }
        Err(ExchangeError::Broken(_)) => {
            News { event: CallEvent::Failed(attempt, Point::Sent), response: None }
        }
    }
}

/// Writes an answer that does not come from the target.
fn told(outcome: Final, fractional: bool) -> Response<Body> {
    let (status, outcome, point, retry_after) = match outcome {
        Final::NotRun { point, retry_after } => {
            (StatusCode::SERVICE_UNAVAILABLE, Outcome::NotRun, point, Some(retry_after))
        }
        Final::Ran | Final::Answer(_) => {
            (StatusCode::BAD_GATEWAY, Outcome::Ran, Point::HalfAnswer, None)
        }
        Final::Unknown(Point::Deadline) => {
            (StatusCode::GATEWAY_TIMEOUT, Outcome::Unknown, Point::Deadline, None)
        }
        Final::Unknown(point) => (StatusCode::BAD_GATEWAY, Outcome::Unknown, point, None),
    };
    let text = format!("{outcome} at {point}: {}\n", point.reason());
    let mut response = Response::new(Body::full(text.into()));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    header::set(headers, header::OUTCOME, outcome.into());
    header::set(headers, header::POINT, point.into());
    if let Some(after) = retry_after {
        header::set(headers, header::RETRY_AFTER_MS, &after.as_millis().to_string());
        set_retry_after(headers, after, fractional);
    }
    response
}

/// Returns the identity that a caller gave a call, for the logs.
pub(crate) fn call_id(id: Option<&HeaderValue>) -> String {
    id.and_then(|id| id.to_str().ok()).unwrap_or("-").to_owned()
}

/// Tells a caller when to come back.
pub(crate) fn set_retry_after(headers: &mut HeaderMap, after: Duration, fractional: bool) {
    if fractional {
        call::set_retry_after(headers, after);
        return;
    }
    let seconds = after.as_millis().div_ceil(1_000).max(1).to_string();
    header::set(headers, http::header::RETRY_AFTER, &seconds);
}
