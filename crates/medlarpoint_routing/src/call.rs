//! The outbound side of one call.
//!
//! A call that may not be repeated has at most one attempt that might run: the
//! next is sent only once the last is proven not to have run.

use std::time::Duration;

use indexmap::IndexMap;
use medlarpoint_model::Vm;

use crate::{AttemptId, Claim, Destination, FailurePoint};

/// Times a call follows the claim of its key to another inbound proxy.
const MAX_REDIRECTS: u32 = 3;
/// Attempts of one call, those that no target was given included.
const MAX_ATTEMPTS: u32 = 6;
/// Busy targets that a call is offered to before it queues at one.
const MAX_SPILLS: usize = 2;
/// Longest wait between two questions after a silent attempt.
const MAX_QUERY_GAP: Duration = Duration::from_secs(4);

/// What a call may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Constraints {
    /// May run more than once.
    pub repeatable: bool,
    /// Carries an idempotency key.
    pub keyed: bool,
    /// Most targets that may be given the call.
    pub max_target_attempts: u32,
    /// This layer may send it again; false below another layer that may.
    pub may_retry: bool,
    /// When the caller stops waiting, on the local clock.
    pub deadline: Duration,
    /// When the answer ceases to be of full use to the caller.
    pub useful_until: Option<Duration>,
    /// Time that an attempt needs at the least; with less left, none is made.
    pub min_attempt_time: Duration,
    /// Wait before a second attempt; `None` never hedges.
    pub hedge_after: Option<Duration>,
    /// Silence after which the inbound proxy is asked about an attempt.
    pub query_after: Duration,
}

/// Chooses targets and keeps the budgets.
pub trait Selector {
    /// Chooses a target that is not among `exclude`. At those among `busy` the
    /// call would be late.
    fn pick(&mut self, now: Duration, exclude: &[Vm], busy: &[Vm]) -> Option<Destination>;
    /// Finds the inbound proxy of a VM.
    fn locate(&mut self, now: Duration, vm: &Vm) -> Option<Destination>;
    /// Takes a retry from the budget.
    fn spend_retry(&mut self) -> bool;
    /// Takes a hedge from the budget.
    fn spend_hedge(&mut self) -> bool;
    /// Draws the identity of a new attempt.
    fn new_attempt_id(&mut self) -> AttemptId;
}

/// What an inbound proxy knows of an attempt.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::EnumString, strum::IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum AttemptStatus {
    /// Never seen, and fenced from now on.
    Unseen,
    /// Not over.
    Running,
    /// Over.
    Finished,
    /// Not under way; it may have ended too long ago to be remembered.
    Forgotten,
    /// The inbound proxy has restarted since.
    Restarted,
    /// The inbound proxy did not answer.
    Unreachable,
}

/// What an inbound proxy answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// The target's answer begins.
    Response,
    /// The target's answer begins, and says that the target failed.
    Failure,
    /// Not run.
    NotRun {
        /// Where it was refused.
        point: FailurePoint,
        /// When to come back.
        retry_after: Duration,
    },
    /// It ran, but its answer is gone.
    Ran,
    /// It may have run.
    Unknown(FailurePoint),
    /// Another inbound proxy holds the key.
    ClaimedBy(Claim),
}

/// Something that happened to an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The inbound proxy answered.
    Responded(AttemptId, AttemptResult),
    /// The exchange failed at a point before any answer.
    Failed(AttemptId, FailurePoint),
    /// The answer to [`Action::Query`].
    StatusReceived(AttemptId, AttemptStatus),
    /// Time has passed.
    Wake,
}

/// Something for the driver to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send an attempt.
    Send(AttemptId, Destination),
    /// Ask the inbound proxy about an attempt, on a new connection.
    Query(AttemptId, Destination),
    /// Nobody waits for this attempt any more.
    Cancel(AttemptId),
    /// Tell the caller; the call is over.
    Finish(CallResult),
}

/// What the caller is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallResult {
    /// The answer of this attempt.
    Response(AttemptId),
    /// Not run; come back after the given time.
    NotRun {
        /// Why the last attempt did not run.
        point: FailurePoint,
        /// When to come back.
        retry_after: Duration,
    },
    /// It ran, but its answer is gone.
    Ran,
    /// It may have run.
    Unknown(FailurePoint),
}

#[derive(Clone, Debug)]
struct Attempt {
    choice: Destination,
    ask_at: Duration,
    gap: Duration,
    /// The connection is gone, so no answer can come.
    cut: bool,
    asking: bool,
}

/// One call on its way.
#[derive(Clone, Debug)]
pub struct Call {
    terms: Constraints,
    attempts: IndexMap<AttemptId, Attempt>,
    excluded: Vec<Vm>,
    /// Targets that were busy. They are asked again only to wait there.
    busy: Vec<Vm>,
    sent: u32,
    /// Targets that were, or may have been, given the call.
    reached: u32,
    redirects: u32,
    hedged: bool,
    started: Duration,
    over: bool,
    /// An attempt whose outcome is unknown was given up for another.
    doubt: Option<FailurePoint>,
    /// A target's failure, told to the caller if nothing better comes.
    failure: Option<AttemptId>,
}

impl Call {
    /// Starts a call.
    pub fn start<P: Selector>(
        now: Duration,
        terms: Constraints,
        pick: &mut P,
    ) -> (Self, Vec<Action>) {
        let mut call = Self {
            terms,
            attempts: IndexMap::new(),
            excluded: Vec::new(),
            busy: Vec::new(),
            sent: 0,
            reached: 0,
            redirects: 0,
            hedged: false,
            started: now,
            over: false,
            doubt: None,
            failure: None,
        };
        let actions = match pick.pick(now, &[], &[]) {
            Some(choice) => call.send(now, choice, pick),
            None => call.finish_not_run(FailurePoint::NoTarget, Duration::from_millis(250)),
        };
        (call, actions)
    }

    /// Returns when [`Event::Wake`] is due.
    pub fn next_wake(&self) -> Duration {
        let mut at = self.terms.deadline;
        if let Some(after) = self.hedge_wait() {
            at = at.min(self.started + after);
        }
        let asks = self.attempts.values().filter(|a| !a.asking).map(|a| a.ask_at);
        asks.fold(at, Duration::min)
    }

    /// Tells whether a target may refuse the next attempt for being busy. One
    /// that has done so is asked again only to wait there.
    pub fn may_spill(&self, vm: &Vm) -> bool {
        self.terms.may_retry && self.busy.len() < MAX_SPILLS && !self.busy.contains(vm)
    }

    /// Tells whether the caller has been told.
    pub fn is_finished(&self) -> bool {
        self.over
    }

    /// Takes an event.
    pub fn handle<P: Selector>(
        &mut self,
        now: Duration,
        event: Event,
        pick: &mut P,
    ) -> Vec<Action> {
        if self.over {
            return Vec::new();
        }
        let answered =
            matches!(event, Event::Responded(_, AttemptResult::Response | AttemptResult::Failure));
        if now >= self.terms.deadline && !answered {
            return self.on_wake(now, pick);
        }
        match event {
            Event::Responded(attempt, verdict) => self.on_verdict(now, attempt, verdict, pick),
            Event::Failed(attempt, point) => self.on_failure(now, attempt, point, pick),
            Event::StatusReceived(attempt, known) => self.on_known(now, attempt, known, pick),
            Event::Wake => self.on_wake(now, pick),
        }
    }

    fn on_verdict<P: Selector>(
        &mut self,
        now: Duration,
        attempt: AttemptId,
        verdict: AttemptResult,
        pick: &mut P,
    ) -> Vec<Action> {
        if verdict == AttemptResult::Response && self.attempts.contains_key(&attempt) {
            self.attempts.swap_remove(&attempt);
            return self.finish(CallResult::Response(attempt));
        }
        let Some(gone) = self.attempts.swap_remove(&attempt) else {
            return Vec::new();
        };
        if reached(&verdict) {
            self.reached += 1;
        }
        match verdict {
            AttemptResult::Response => Vec::new(),
            AttemptResult::Failure => {
                self.failure = Some(attempt);
                if !self.terms.repeatable {
                    return self.finish(CallResult::Response(attempt));
                }
                self.again(now, FailurePoint::TargetFailed, &gone.choice.vm, pick)
            }
            AttemptResult::NotRun { point, retry_after } => {
                let others =
                    if point == FailurePoint::Busy { &mut self.busy } else { &mut self.excluded };
                others.push(gone.choice.vm);
                self.next(now, point, retry_after, pick)
            }
            AttemptResult::Ran if self.terms.repeatable => {
                self.again(now, FailurePoint::HalfAnswer, &gone.choice.vm, pick)
            }
            AttemptResult::Ran => self.finish(CallResult::Ran),
            AttemptResult::Unknown(point) => self.doubtful(now, point, &gone.choice.vm, pick),
            AttemptResult::ClaimedBy(claim) => self.follow(now, &claim, pick),
        }
    }

    fn on_failure<P: Selector>(
        &mut self,
        now: Duration,
        attempt: AttemptId,
        point: FailurePoint,
        pick: &mut P,
    ) -> Vec<Action> {
        if point == FailurePoint::Connect {
            let verdict = AttemptResult::NotRun { point, retry_after: Duration::from_millis(100) };
            return self.on_verdict(now, attempt, verdict, pick);
        }
        let Some(known) = self.attempts.get_mut(&attempt) else {
            return Vec::new();
        };
        known.cut = true;
        if known.asking {
            return Vec::new();
        }
        known.asking = true;
        vec![Action::Query(attempt, known.choice.clone())]
    }

    fn on_known<P: Selector>(
        &mut self,
        now: Duration,
        attempt: AttemptId,
        known: AttemptStatus,
        pick: &mut P,
    ) -> Vec<Action> {
        let Some(state) = self.attempts.get_mut(&attempt) else {
            return Vec::new();
        };
        state.asking = false;
        let cut = state.cut;
        let choice = state.choice.clone();
        match known {
            AttemptStatus::Unseen => {
                let verdict = AttemptResult::NotRun {
                    point: FailurePoint::Fenced,
                    retry_after: Duration::ZERO,
                };
                self.on_verdict(now, attempt, verdict, pick)
            }
            AttemptStatus::Restarted | AttemptStatus::Forgotten => {
                self.attempts.swap_remove(&attempt);
                self.reached += 1;
                self.doubtful(now, FailurePoint::Silent, &choice.vm, pick)
            }
            AttemptStatus::Running if !cut => self.ask_later(now, attempt),
            AttemptStatus::Unreachable if !cut || !self.terms.repeatable => {
                self.ask_later(now, attempt)
            }
            AttemptStatus::Finished if !cut => {
                // The answer is on its way, or the connection has gone silent.
                state.cut = true;
                self.ask_later(now, attempt)
            }
            AttemptStatus::Running if self.terms.keyed => self.ask_later(now, attempt),
            AttemptStatus::Finished if self.terms.keyed && self.sent < MAX_ATTEMPTS => {
                // The window of the same inbound proxy has the answer. Should that
                // proxy restart first, the new attempt does not run, but this one did.
                self.attempts.swap_remove(&attempt);
                self.doubt = Some(FailurePoint::HalfAnswer);
                self.send(now, choice, pick)
            }
            AttemptStatus::Finished if !self.terms.repeatable => self.finish(CallResult::Ran),
            AttemptStatus::Running | AttemptStatus::Finished | AttemptStatus::Unreachable => {
                self.attempts.swap_remove(&attempt);
                self.reached += 1;
                let mut actions = vec![Action::Cancel(attempt)];
                actions.extend(self.doubtful(now, FailurePoint::Silent, &choice.vm, pick));
                actions
            }
        }
    }

    fn on_wake<P: Selector>(&mut self, now: Duration, pick: &mut P) -> Vec<Action> {
        if now >= self.terms.deadline {
            return if let Some(failure) = self.failure {
                self.finish(CallResult::Response(failure))
            } else if self.attempts.is_empty() && self.doubt.is_none() {
                self.finish_not_run(FailurePoint::Refused, Duration::ZERO)
            } else {
                self.finish(CallResult::Unknown(FailurePoint::Deadline))
            };
        }
        let mut actions = Vec::new();
        if self.hedge_wait().is_some_and(|after| now >= self.started + after) {
            actions.extend(self.hedge(now, pick));
        }
        for (attempt, state) in &mut self.attempts {
            if !state.asking && now >= state.ask_at {
                state.asking = true;
                actions.push(Action::Query(*attempt, state.choice.clone()));
            }
        }
        actions
    }

    fn hedge_wait(&self) -> Option<Duration> {
        self.terms.hedge_after.filter(|_| !self.hedged && self.terms.repeatable)
    }

    fn hedge<P: Selector>(&mut self, now: Duration, pick: &mut P) -> Vec<Action> {
        self.hedged = true;
        let mut exclude = self.excluded.clone();
        exclude.extend(self.attempts.values().map(|attempt| attempt.choice.vm.clone()));
        let room = self.reached + 1 < self.terms.max_target_attempts;
        if self.attempts.len() != 1 || !room || !pick.spend_hedge() {
            return Vec::new();
        }
        match pick.pick(now, &exclude, &self.busy) {
            Some(choice) => self.send(now, choice, pick),
            None => Vec::new(),
        }
    }

    fn ask_later(&mut self, now: Duration, attempt: AttemptId) -> Vec<Action> {
        if let Some(state) = self.attempts.get_mut(&attempt) {
            state.gap = (state.gap * 2).min(MAX_QUERY_GAP);
            let gap = if state.cut { state.gap.min(self.terms.query_after) } else { state.gap };
            state.ask_at = now + gap;
        }
        Vec::new()
    }

    /// Goes on after an attempt that may have run.
    fn doubtful<P: Selector>(
        &mut self,
        now: Duration,
        point: FailurePoint,
        vm: &Vm,
        pick: &mut P,
    ) -> Vec<Action> {
        if !self.terms.repeatable {
            return self.finish(CallResult::Unknown(point));
        }
        self.again(now, point, vm, pick)
    }

    fn again<P: Selector>(
        &mut self,
        now: Duration,
        point: FailurePoint,
        vm: &Vm,
        pick: &mut P,
    ) -> Vec<Action> {
        self.doubt = Some(point);
        self.excluded.push(vm.clone());
        self.next(now, point, Duration::ZERO, pick)
    }

    /// Sends another attempt, unless one is still under way.
    fn next<P: Selector>(
        &mut self,
        now: Duration,
        point: FailurePoint,
        retry_after: Duration,
        pick: &mut P,
    ) -> Vec<Action> {
        if !self.attempts.is_empty() {
            return Vec::new();
        }
        let may = self.terms.may_retry
            && self.sent < MAX_ATTEMPTS
            && self.reached < self.terms.max_target_attempts
            && now + self.terms.min_attempt_time < self.terms.deadline;
        // A late call that was refused would wait elsewhere as well; its
        // caller is told at once.
        let late = self.terms.useful_until.is_some_and(|until| now >= until);
        let may = may && !(late && point == FailurePoint::Refused);
        // Where no target was given anything, another try costs no target work.
        let free = !point.may_have_reached_target();
        if may
            && let Some(choice) = pick.pick(now, &self.excluded, &self.busy)
            && (free || pick.spend_retry())
        {
            return self.send(now, choice, pick);
        }
        match self.failure {
            Some(failure) => self.finish(CallResult::Response(failure)),
            None => self.finish_not_run(point, retry_after),
        }
    }

    fn follow<P: Selector>(&mut self, now: Duration, claim: &Claim, pick: &mut P) -> Vec<Action> {
        self.redirects += 1;
        let owner = pick.locate(now, &claim.vm).filter(|choice| choice.boot == claim.boot);
        match owner {
            Some(choice) if self.redirects <= MAX_REDIRECTS => {
                // Whoever holds the key may have run it for an earlier call.
                self.doubt = Some(FailurePoint::ClaimOrphaned);
                self.send(now, choice, pick)
            }
            _ => self.finish(CallResult::Unknown(FailurePoint::ClaimOrphaned)),
        }
    }

    fn send<P: Selector>(
        &mut self,
        now: Duration,
        choice: Destination,
        pick: &mut P,
    ) -> Vec<Action> {
        let attempt = pick.new_attempt_id();
        self.sent += 1;
        let state = Attempt {
            choice: choice.clone(),
            ask_at: now + self.terms.query_after,
            gap: self.terms.query_after,
            cut: false,
            asking: false,
        };
        self.attempts.insert(attempt, state);
        vec![Action::Send(attempt, choice)]
    }

    fn finish_not_run(&mut self, point: FailurePoint, retry_after: Duration) -> Vec<Action> {
        match self.doubt {
            Some(doubt) => self.finish(CallResult::Unknown(doubt)),
            None => self.finish(CallResult::NotRun { point, retry_after }),
        }
    }

    fn finish(&mut self, outcome: CallResult) -> Vec<Action> {
        self.over = true;
        let mut actions: Vec<Action> =
            self.attempts.drain(..).map(|(id, _)| Action::Cancel(id)).collect();
        actions.push(Action::Finish(outcome));
        actions
    }
}

/// Tells whether a target was, or may have been, given the call.
fn reached(verdict: &AttemptResult) -> bool {
    match verdict {
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
