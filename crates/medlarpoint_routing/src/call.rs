//! The outbound side of one call.
//!
//! For a call that may not be repeated, at most one attempt can run: the next
//! attempt is sent only once the previous one is proven not to have run.

use std::time::Duration;

use indexmap::IndexMap;
use medlarpoint_model::Vm;

use crate::{AttemptId, Claim, Destination, FailurePoint};

/// Limit on redirects of a call to the inbound proxy that claims its key.
const MAX_REDIRECTS: u32 = 3;
/// Limit on attempts sent for one call, including those that reached no target.
const MAX_SENT_ATTEMPTS: u32 = 6;
/// Limit on busy targets that may reject a call before it queues at one.
const MAX_SPILLS: usize = 2;
/// Upper bound on the interval between two queries about a silent attempt.
const MAX_QUERY_INTERVAL: Duration = Duration::from_secs(4);

/// Limits on how a call may be sent, retried and hedged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Constraints {
    /// Whether the call may run more than once.
    pub repeatable: bool,
    /// Whether the call carries an idempotency key.
    pub keyed: bool,
    /// Limit on attempts that may reach a target.
    pub max_target_attempts: u32,
    /// Whether this layer may send the call again; false if a layer above retries.
    pub may_retry: bool,
    /// Time on the local clock at which the caller stops waiting.
    pub deadline: Duration,
    /// Time on the local clock until which a response is of full use to the caller.
    pub useful_until: Option<Duration>,
    /// Minimum time an attempt needs; none is sent with less left to the deadline.
    pub min_attempt_time: Duration,
    /// Delay before a hedged attempt; `None` disables hedging.
    pub hedge_after: Option<Duration>,
    /// Time without a response after which the inbound proxy is queried about an
    /// attempt.
    pub query_after: Duration,
}

/// Selects targets for a call and spends the retry and hedge budgets.
pub trait Selector {
    /// Selects a target that is not in `exclude`. A call sent to a target in
    /// `busy` would be late.
    fn pick(&mut self, now: Duration, exclude: &[Vm], busy: &[Vm]) -> Option<Destination>;
    /// Returns the destination on a VM, or `None` if the VM has no known target.
    fn locate(&mut self, now: Duration, vm: &Vm) -> Option<Destination>;
    /// Takes one retry from the budget and returns whether one was available.
    fn spend_retry(&mut self) -> bool;
    /// Takes one hedge from the budget and returns whether one was available.
    fn spend_hedge(&mut self) -> bool;
    /// Returns the time after which the call may run again if targets have crashed under
    /// it; `None` if it may run now.
    fn crash_backoff(&mut self, now: Duration) -> Option<Duration>;
    /// Returns an identifier for a new attempt, unique across the fleet.
    fn new_attempt_id(&mut self) -> AttemptId;
}

/// Status of an attempt as reported by the queried inbound proxy.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::EnumString, strum::IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum AttemptStatus {
    /// The attempt never arrived and is fenced: it will be rejected if it does.
    Unseen,
    /// The attempt is queued or running.
    Running,
    /// The attempt has ended.
    Finished,
    /// The attempt is not in progress; it may have ended too long ago to be
    /// remembered.
    Forgotten,
    /// The inbound proxy has restarted since the attempt was sent.
    Restarted,
    /// The inbound proxy did not respond to the query.
    Unreachable,
}

/// Result of an attempt as reported by the inbound proxy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// The target's response has begun.
    Response,
    /// The target's response has begun and says that the target failed.
    Failure,
    /// The attempt did not run.
    NotRun {
        /// Point at which the attempt failed.
        point: FailurePoint,
        /// Suggested wait before the caller tries again.
        retry_after: Duration,
    },
    /// The attempt ran, but its response is lost.
    Ran,
    /// The attempt may have run.
    Unknown(FailurePoint),
    /// Another inbound proxy holds the claim of the key.
    ClaimedBy(Claim),
}

/// Input to the state machine of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The inbound proxy responded to an attempt.
    Responded(AttemptId, AttemptResult),
    /// The exchange failed at the given point before any response.
    Failed(AttemptId, FailurePoint),
    /// Result of [`Action::Query`].
    StatusReceived(AttemptId, AttemptStatus),
    /// The time returned by [`Call::next_wake`] has come.
    Wake,
}

/// Action for the driver to perform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send an attempt.
    Send(AttemptId, Destination),
    /// Query the inbound proxy about an attempt, on a new connection.
    Query(AttemptId, Destination),
    /// Cancel an attempt whose result is no longer needed.
    Cancel(AttemptId),
    /// Respond to the caller; no action follows.
    Finish(CallResult),
}

/// Result of a call, as reported to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallResult {
    /// The response of this attempt.
    Response(AttemptId),
    /// The call did not run.
    NotRun {
        /// Point at which the last attempt failed.
        point: FailurePoint,
        /// Suggested wait before the caller tries again.
        retry_after: Duration,
    },
    /// The call ran, but its response is lost.
    Ran,
    /// The call may have run.
    Unknown(FailurePoint),
}

#[derive(Clone, Debug)]
struct Attempt {
    destination: Destination,
    query_at: Duration,
    query_interval: Duration,
    /// Whether the connection is lost, so that no response can arrive.
    connection_lost: bool,
    /// Whether a query about the attempt is in progress.
    querying: bool,
}

/// State machine of one call.
#[derive(Clone, Debug)]
pub struct Call {
    constraints: Constraints,
    attempts: IndexMap<AttemptId, Attempt>,
    excluded: Vec<Vm>,
    /// Targets that rejected the call as busy. An attempt sent there again must
    /// queue.
    busy: Vec<Vm>,
    sent: u32,
    /// Number of attempts that reached, or may have reached, a target.
    delivered: u32,
    redirects: u32,
    hedged: bool,
    started: Duration,
    finished: bool,
    /// Point at which an earlier attempt that may have run was given up.
    unresolved: Option<FailurePoint>,
    /// Attempt at which the target failed. Its response is passed on if no other
    /// attempt succeeds.
    failure: Option<AttemptId>,
}

impl Call {
    /// Starts a call and returns the first actions.
    pub fn start<P: Selector>(
        now: Duration,
        constraints: Constraints,
        selector: &mut P,
    ) -> (Self, Vec<Action>) {
        let mut call = Self {
            constraints,
            attempts: IndexMap::new(),
            excluded: Vec::new(),
            busy: Vec::new(),
            sent: 0,
            delivered: 0,
            redirects: 0,
            hedged: false,
            started: now,
            finished: false,
            unresolved: None,
            failure: None,
        };
        if let Some(retry_after) = selector.crash_backoff(now) {
            let actions = call.finish_not_run(FailurePoint::CrashBackoff, retry_after);
            return (call, actions);
        }
        let actions = match selector.pick(now, &[], &[]) {
            Some(destination) => call.send(now, destination, selector),
            None => call.finish_not_run(FailurePoint::NoTarget, Duration::from_millis(250)),
        };
        (call, actions)
    }

    /// Returns the time at which [`Event::Wake`] is due.
    pub fn next_wake(&self) -> Duration {
        let mut at = self.constraints.deadline;
        if let Some(after) = self.hedge_delay() {
            at = at.min(self.started + after);
        }
        let queries = self.attempts.values().filter(|a| !a.querying).map(|a| a.query_at);
        queries.fold(at, Duration::min)
    }

    /// Returns whether a target may reject the next attempt as busy. A target
    /// that has already done so must queue the attempt.
    pub fn may_spill(&self, vm: &Vm) -> bool {
        self.constraints.may_retry && self.busy.len() < MAX_SPILLS && !self.busy.contains(vm)
    }

    /// Returns whether the result has been reported to the caller.
    pub fn is_finished(&self) -> bool {
        self.finished
    }

    /// Moves the deadline to `limit` if it is later.
    pub fn limit_deadline(&mut self, limit: Duration) {
        self.constraints.deadline = self.constraints.deadline.min(limit);
    }

    /// Handles an event and returns the actions that follow from it.
    pub fn handle<P: Selector>(
        &mut self,
        now: Duration,
        event: Event,
        selector: &mut P,
    ) -> Vec<Action> {
        if self.finished {
            return Vec::new();
        }
        let responded =
            matches!(event, Event::Responded(_, AttemptResult::Response | AttemptResult::Failure));
        if now >= self.constraints.deadline && !responded {
            return self.on_wake(now, selector);
        }
        match event {
            Event::Responded(attempt, result) => self.on_result(now, attempt, result, selector),
            Event::Failed(attempt, point) => self.on_failure(now, attempt, point, selector),
            Event::StatusReceived(attempt, status) => {
                self.on_status(now, attempt, status, selector)
            }
            Event::Wake => self.on_wake(now, selector),
        }
    }

    fn on_result<P: Selector>(
        &mut self,
        now: Duration,
        attempt: AttemptId,
        result: AttemptResult,
        selector: &mut P,
    ) -> Vec<Action> {
        if result == AttemptResult::Response && self.attempts.contains_key(&attempt) {
            self.attempts.swap_remove(&attempt);
            return self.finish(CallResult::Response(attempt));
        }
        let Some(ended) = self.attempts.swap_remove(&attempt) else {
            return Vec::new();
        };
        if may_have_reached_target(&result) {
            self.delivered += 1;
        }
        match result {
            AttemptResult::Response => Vec::new(),
            AttemptResult::Failure => {
                self.failure = Some(attempt);
                if !self.constraints.repeatable {
                    return self.finish(CallResult::Response(attempt));
                }
                self.retry_elsewhere(
                    now,
                    FailurePoint::TargetFailed,
                    &ended.destination.vm,
                    selector,
                )
            }
            // Every other inbound proxy would reject the call as well.
            AttemptResult::NotRun { point: point @ FailurePoint::CrashBackoff, retry_after } => {
                self.finish_not_run(point, retry_after)
            }
            AttemptResult::NotRun { point, retry_after } => {
                let unavailable =
                    if point == FailurePoint::Busy { &mut self.busy } else { &mut self.excluded };
                unavailable.push(ended.destination.vm);
                self.retry_or_finish(now, point, retry_after, selector)
            }
            AttemptResult::Ran if self.constraints.repeatable => {
                self.retry_elsewhere(now, FailurePoint::HalfAnswer, &ended.destination.vm, selector)
            }
            AttemptResult::Ran => self.finish(CallResult::Ran),
            AttemptResult::Unknown(point) => {
                self.on_unknown_outcome(now, point, &ended.destination.vm, selector)
            }
            AttemptResult::ClaimedBy(claim) => self.redirect(now, &claim, selector),
        }
    }

    fn on_failure<P: Selector>(
        &mut self,
        now: Duration,
        attempt: AttemptId,
        point: FailurePoint,
        selector: &mut P,
    ) -> Vec<Action> {
        if point == FailurePoint::Connect {
            let result = AttemptResult::NotRun { point, retry_after: Duration::from_millis(100) };
            return self.on_result(now, attempt, result, selector);
        }
        let Some(state) = self.attempts.get_mut(&attempt) else {
            return Vec::new();
        };
        state.connection_lost = true;
        if state.querying {
            return Vec::new();
        }
        state.querying = true;
        vec![Action::Query(attempt, state.destination.clone())]
    }

    fn on_status<P: Selector>(
        &mut self,
        now: Duration,
        attempt: AttemptId,
        status: AttemptStatus,
        selector: &mut P,
    ) -> Vec<Action> {
        let Some(state) = self.attempts.get_mut(&attempt) else {
            return Vec::new();
        };
        state.querying = false;
        let connection_lost = state.connection_lost;
        let destination = state.destination.clone();
        match status {
            AttemptStatus::Unseen => {
                let result = AttemptResult::NotRun {
                    point: FailurePoint::Fenced,
                    retry_after: Duration::ZERO,
                };
                self.on_result(now, attempt, result, selector)
            }
            AttemptStatus::Restarted | AttemptStatus::Forgotten => {
                self.attempts.swap_remove(&attempt);
                self.delivered += 1;
                self.on_unknown_outcome(now, FailurePoint::Silent, &destination.vm, selector)
            }
            AttemptStatus::Running if !connection_lost => self.schedule_query(now, attempt),
            AttemptStatus::Unreachable if !connection_lost || !self.constraints.repeatable => {
                self.schedule_query(now, attempt)
            }
            AttemptStatus::Finished if !connection_lost => {
                // The response is in flight, or the connection was lost silently.
                state.connection_lost = true;
                self.schedule_query(now, attempt)
            }
            AttemptStatus::Running if self.constraints.keyed => self.schedule_query(now, attempt),
            AttemptStatus::Finished if self.constraints.keyed && self.sent < MAX_SENT_ATTEMPTS => {
                // The idempotency window of the same inbound proxy has the response.
                // If that proxy restarts first, the new attempt does not run, but this
                // one did.
                self.attempts.swap_remove(&attempt);
                self.unresolved = Some(FailurePoint::HalfAnswer);
                self.send(now, destination, selector)
            }
            AttemptStatus::Finished if !self.constraints.repeatable => self.finish(CallResult::Ran),
            AttemptStatus::Running | AttemptStatus::Finished | AttemptStatus::Unreachable => {
                self.attempts.swap_remove(&attempt);
                self.delivered += 1;
                let mut actions = vec![Action::Cancel(attempt)];
                actions.extend(self.on_unknown_outcome(
                    now,
                    FailurePoint::Silent,
                    &destination.vm,
                    selector,
                ));
                actions
            }
        }
    }

    fn on_wake<P: Selector>(&mut self, now: Duration, selector: &mut P) -> Vec<Action> {
        if now >= self.constraints.deadline {
            return if let Some(failure) = self.failure {
                self.finish(CallResult::Response(failure))
            } else if self.attempts.is_empty() && self.unresolved.is_none() {
                self.finish_not_run(FailurePoint::Refused, Duration::ZERO)
            } else {
                self.finish(CallResult::Unknown(FailurePoint::Deadline))
            };
        }
        let mut actions = Vec::new();
        if self.hedge_delay().is_some_and(|after| now >= self.started + after) {
            actions.extend(self.hedge(now, selector));
        }
        for (attempt, state) in &mut self.attempts {
            if !state.querying && now >= state.query_at {
                state.querying = true;
                actions.push(Action::Query(*attempt, state.destination.clone()));
            }
        }
        actions
    }

    fn hedge_delay(&self) -> Option<Duration> {
        self.constraints.hedge_after.filter(|_| !self.hedged && self.constraints.repeatable)
    }

    fn hedge<P: Selector>(&mut self, now: Duration, selector: &mut P) -> Vec<Action> {
        self.hedged = true;
        let mut exclude = self.excluded.clone();
        exclude.extend(self.attempts.values().map(|attempt| attempt.destination.vm.clone()));
        let may_deliver = self.delivered + 1 < self.constraints.max_target_attempts;
        let may_run = selector.crash_backoff(now).is_none();
        if self.attempts.len() != 1 || !may_deliver || !may_run || !selector.spend_hedge() {
            return Vec::new();
        }
        match selector.pick(now, &exclude, &self.busy) {
            Some(destination) => self.send(now, destination, selector),
            None => Vec::new(),
        }
    }

    fn schedule_query(&mut self, now: Duration, attempt: AttemptId) -> Vec<Action> {
        if let Some(state) = self.attempts.get_mut(&attempt) {
            state.query_interval = (state.query_interval * 2).min(MAX_QUERY_INTERVAL);
            let interval = if state.connection_lost {
                state.query_interval.min(self.constraints.query_after)
            } else {
                state.query_interval
            };
            state.query_at = now + interval;
        }
        Vec::new()
    }

    /// Ends the call, or retries a repeatable one, after an attempt that may have
    /// run.
    fn on_unknown_outcome<P: Selector>(
        &mut self,
        now: Duration,
        point: FailurePoint,
        vm: &Vm,
        selector: &mut P,
    ) -> Vec<Action> {
        if !self.constraints.repeatable {
            return self.finish(CallResult::Unknown(point));
        }
        self.retry_elsewhere(now, point, vm, selector)
    }

    fn retry_elsewhere<P: Selector>(
        &mut self,
        now: Duration,
        point: FailurePoint,
        vm: &Vm,
        selector: &mut P,
    ) -> Vec<Action> {
        self.unresolved = Some(point);
        self.excluded.push(vm.clone());
        self.retry_or_finish(now, point, Duration::ZERO, selector)
    }

    /// Sends another attempt if permitted; otherwise finishes the call. Does
    /// nothing while an attempt is in progress.
    fn retry_or_finish<P: Selector>(
        &mut self,
        now: Duration,
        point: FailurePoint,
        retry_after: Duration,
        selector: &mut P,
    ) -> Vec<Action> {
        if !self.attempts.is_empty() {
            return Vec::new();
        }
        let may_send = self.constraints.may_retry
            && self.sent < MAX_SENT_ATTEMPTS
            && self.delivered < self.constraints.max_target_attempts
            && now + self.constraints.min_attempt_time < self.constraints.deadline;
        // A late call that was rejected would also queue at other targets, so it
        // ends at once.
        let late = self.constraints.useful_until.is_some_and(|until| now >= until);
        let may_send = may_send && !(late && point == FailurePoint::Refused);
        let may_send = may_send && selector.crash_backoff(now).is_none();
        // An attempt that reached no target caused no work there, so the retry does
        // not count against the budget.
        let costs_nothing = !point.may_have_reached_target();
        if may_send
            && let Some(destination) = selector.pick(now, &self.excluded, &self.busy)
            && (costs_nothing || selector.spend_retry())
        {
            return self.send(now, destination, selector);
        }
        match self.failure {
            Some(failure) => self.finish(CallResult::Response(failure)),
            None => self.finish_not_run(point, retry_after),
        }
    }

    fn redirect<P: Selector>(
        &mut self,
        now: Duration,
        claim: &Claim,
        selector: &mut P,
    ) -> Vec<Action> {
        self.redirects += 1;
        let holder =
            selector.locate(now, &claim.vm).filter(|destination| destination.boot == claim.boot);
        match holder {
            Some(destination) if self.redirects <= MAX_REDIRECTS => {
                // The holder of the claim may have run the key for an earlier call.
                self.unresolved = Some(FailurePoint::ClaimOrphaned);
                self.send(now, destination, selector)
            }
            _ => self.finish(CallResult::Unknown(FailurePoint::ClaimOrphaned)),
        }
    }

    fn send<P: Selector>(
        &mut self,
        now: Duration,
        destination: Destination,
        selector: &mut P,
    ) -> Vec<Action> {
        let attempt = selector.new_attempt_id();
        self.sent += 1;
        let state = Attempt {
            destination: destination.clone(),
            query_at: now + self.constraints.query_after,
            query_interval: self.constraints.query_after,
            connection_lost: false,
            querying: false,
        };
        self.attempts.insert(attempt, state);
        vec![Action::Send(attempt, destination)]
    }

    fn finish_not_run(&mut self, point: FailurePoint, retry_after: Duration) -> Vec<Action> {
        match self.unresolved {
            Some(point) => self.finish(CallResult::Unknown(point)),
            None => self.finish(CallResult::NotRun { point, retry_after }),
        }
    }

    fn finish(&mut self, result: CallResult) -> Vec<Action> {
        self.finished = true;
        let mut actions: Vec<Action> =
            self.attempts.drain(..).map(|(id, _)| Action::Cancel(id)).collect();
        actions.push(Action::Finish(result));
        actions
    }
}

/// Returns whether the attempt reached, or may have reached, a target.
fn may_have_reached_target(result: &AttemptResult) -> bool {
    match result {
        AttemptResult::NotRun { point, .. } => point.may_have_reached_target(),
        AttemptResult::Response
        | AttemptResult::Failure
        | AttemptResult::Ran
        | AttemptResult::Unknown(_) => true,
        AttemptResult::ClaimedBy(_) => false,
    }
}

#[cfg(test)]
mod tests;
