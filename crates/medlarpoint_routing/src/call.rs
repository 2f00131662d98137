//! The outbound side of one call.
//!
//! A call that may not be repeated has at most one attempt that might run: the
//! next is sent only once the last is proven not to have run.

use std::time::Duration;

use indexmap::IndexMap;
use medlarpoint_model::Vm;

use crate::{AttemptId, Choice, Claim, Point};

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
pub struct Terms {
    /// May run more than once.
    pub repeatable: bool,
    /// Carries an idempotency key.
    pub keyed: bool,
    /// Most targets that may be given the call.
    pub attempts: u32,
    /// This layer may send it again; false below another layer that may.
    pub may_retry: bool,
    /// When the caller stops waiting, on the local clock.
    pub deadline: Duration,
    /// When the answer ceases to be of full use to the caller.
    pub useful_until: Option<Duration>,
    /// Time that an attempt needs at the least; with less left, none is made.
    pub least_time: Duration,
    /// Wait before a second attempt; `None` never hedges.
    pub hedge_after: Option<Duration>,
    /// Silence after which the inbound proxy is asked about an attempt.
    pub suspect_after: Duration,
}

/// Chooses targets and keeps the budgets.
pub trait Pick {
    /// Chooses a target that is not among `exclude`. At those among `busy` the
    /// call would be late.
    fn pick(&mut self, now: Duration, exclude: &[Vm], busy: &[Vm]) -> Option<Choice>;
    /// Finds the inbound proxy of a VM.
    fn locate(&mut self, now: Duration, vm: &Vm) -> Option<Choice>;
    /// Takes a retry from the budget.
    fn may_retry(&mut self) -> bool;
    /// Takes a hedge from the budget.
    fn may_hedge(&mut self) -> bool;
    /// Draws the identity of a new attempt.
    fn attempt_id(&mut self) -> AttemptId;
}

/// What an inbound proxy knows of an attempt.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::EnumString, strum::IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Known {
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
pub enum Verdict {
    /// The target's answer begins.
    Answer,
    /// The target's answer begins, and says that the target failed.
    Failure,
    /// Not run.
    NotRun {
        /// Where it was refused.
        point: Point,
        /// When to come back.
        retry_after: Duration,
    },
    /// It ran, but its answer is gone.
    Ran,
    /// It may have run.
    Unknown(Point),
    /// Another inbound proxy holds the key.
    ClaimedBy(Claim),
}

/// Something that happened to an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The inbound proxy answered.
    Answered(AttemptId, Verdict),
    /// The exchange failed at a point before any answer.
    Failed(AttemptId, Point),
    /// The answer to [`Action::Query`].
    Queried(AttemptId, Known),
    /// Time has passed.
    Wake,
}

/// Something for the driver to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send an attempt.
    Send(AttemptId, Choice),
    /// Ask the inbound proxy about an attempt, on a new connection.
    Query(AttemptId, Choice),
    /// Nobody waits for this attempt any more.
    Cancel(AttemptId),
    /// Tell the caller; the call is over.
    Finish(Final),
}

/// What the caller is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Final {
    /// The answer of this attempt.
    Answer(AttemptId),
    /// Not run; come back after the given time.
    NotRun {
        /// Why the last attempt did not run.
        point: Point,
        /// When to come back.
        retry_after: Duration,
    },
    /// It ran, but its answer is gone.
    Ran,
    /// It may have run.
    Unknown(Point),
}

#[derive(Clone, Debug)]
struct Attempt {
    choice: Choice,
    ask_at: Duration,
    gap: Duration,
    /// The connection is gone, so no answer can come.
    cut: bool,
    asking: bool,
}

/// One call on its way.
#[derive(Clone, Debug)]
pub struct Call {
    terms: Terms,
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
    doubt: Option<Point>,
    /// A target's failure, told to the caller if nothing better comes.
    failure: Option<AttemptId>,
}

impl Call {
    /// Starts a call.
    pub fn start<P: Pick>(now: Duration, terms: Terms, pick: &mut P) -> (Self, Vec<Action>) {
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
            None => call.finish_not_run(Point::NoTarget, Duration::from_millis(250)),
        };
        (call, actions)
    }

    /// Returns when [`Event::Wake`] is due.
    pub fn wake(&self) -> Duration {
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
    pub fn is_over(&self) -> bool {
        self.over
    }

    /// Takes an event.
    pub fn on<P: Pick>(&mut self, now: Duration, event: Event, pick: &mut P) -> Vec<Action> {
        if self.over {
            return Vec::new();
        }
        let answered = matches!(event, Event::Answered(_, Verdict::Answer | Verdict::Failure));
        if now >= self.terms.deadline && !answered {
            return self.on_wake(now, pick);
        }
        match event {
            Event::Answered(attempt, verdict) => self.on_verdict(now, attempt, verdict, pick),
            Event::Failed(attempt, point) => self.on_failure(now, attempt, point, pick),
            Event::Queried(attempt, known) => self.on_known(now, attempt, known, pick),
            Event::Wake => self.on_wake(now, pick),
        }
    }

    fn on_verdict<P: Pick>(
        &mut self,
        now: Duration,
        attempt: AttemptId,
        verdict: Verdict,
        pick: &mut P,
    ) -> Vec<Action> {
        if verdict == Verdict::Answer && self.attempts.contains_key(&attempt) {
            self.attempts.swap_remove(&attempt);
            return self.finish(Final::Answer(attempt));
        }
        let Some(gone) = self.attempts.swap_remove(&attempt) else {
            return Vec::new();
        };
        if reached(&verdict) {
            self.reached += 1;
        }
        match verdict {
            Verdict::Answer => Vec::new(),
            Verdict::Failure => {
                self.failure = Some(attempt);
                if !self.terms.repeatable {
                    return self.finish(Final::Answer(attempt));
                }
                self.again(now, Point::TargetFailed, &gone.choice.vm, pick)
            }
            Verdict::NotRun { point, retry_after } => {
                let others = if point == Point::Busy { &mut self.busy } else { &mut self.excluded };
                others.push(gone.choice.vm);
                self.next(now, point, retry_after, pick)
            }
            Verdict::Ran if self.terms.repeatable => {
                self.again(now, Point::HalfAnswer, &gone.choice.vm, pick)
            }
            Verdict::Ran => self.finish(Final::Ran),
            Verdict::Unknown(point) => self.doubtful(now, point, &gone.choice.vm, pick),
            Verdict::ClaimedBy(claim) => self.follow(now, &claim, pick),
        }
    }

    fn on_failure<P: Pick>(
        &mut self,
        now: Duration,
        attempt: AttemptId,
        point: Point,
        pick: &mut P,
    ) -> Vec<Action> {
        if point == Point::Connect {
            let verdict = Verdict::NotRun { point, retry_after: Duration::from_millis(100) };
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

    fn on_known<P: Pick>(
        &mut self,
        now: Duration,
        attempt: AttemptId,
        known: Known,
        pick: &mut P,
    ) -> Vec<Action> {
        let Some(state) = self.attempts.get_mut(&attempt) else {
            return Vec::new();
        };
        state.asking = false;
        let cut = state.cut;
        let choice = state.choice.clone();
        match known {
            Known::Unseen => {
                let verdict = Verdict::NotRun { point: Point::Fenced, retry_after: Duration::ZERO };
                self.on_verdict(now, attempt, verdict, pick)
            }
            Known::Restarted | Known::Forgotten => {
                self.attempts.swap_remove(&attempt);
                self.reached += 1;
                self.doubtful(now, Point::Silent, &choice.vm, pick)
            }
            Known::Running if !cut => self.ask_later(now, attempt),
            Known::Unreachable if !cut || !self.terms.repeatable => self.ask_later(now, attempt),
            Known::Finished if !cut => {
                // The answer is on its way, or the connection has gone silent.
                state.cut = true;
                self.ask_later(now, attempt)
            }
            Known::Running if self.terms.keyed => self.ask_later(now, attempt),
            Known::Finished if self.terms.keyed && self.sent < MAX_ATTEMPTS => {
                // The window of the same inbound proxy has the answer. Should that
                // proxy restart first, the new attempt does not run, but this one did.
                self.attempts.swap_remove(&attempt);
                self.doubt = Some(Point::HalfAnswer);
                self.send(now, choice, pick)
            }
            Known::Finished if !self.terms.repeatable => self.finish(Final::Ran),
            Known::Running | Known::Finished | Known::Unreachable => {
                self.attempts.swap_remove(&attempt);
                self.reached += 1;
                let mut actions = vec![Action::Cancel(attempt)];
                actions.extend(self.doubtful(now, Point::Silent, &choice.vm, pick));
                actions
            }
        }
    }

    fn on_wake<P: Pick>(&mut self, now: Duration, pick: &mut P) -> Vec<Action> {
        if now >= self.terms.deadline {
            return if let Some(failure) = self.failure {
                self.finish(Final::Answer(failure))
            } else if self.attempts.is_empty() && self.doubt.is_none() {
                self.finish_not_run(Point::Refused, Duration::ZERO)
            } else {
                self.finish(Final::Unknown(Point::Deadline))
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

    fn hedge<P: Pick>(&mut self, now: Duration, pick: &mut P) -> Vec<Action> {
        self.hedged = true;
        let mut exclude = self.excluded.clone();
        exclude.extend(self.attempts.values().map(|attempt| attempt.choice.vm.clone()));
        let room = self.reached + 1 < self.terms.attempts;
        if self.attempts.len() != 1 || !room || !pick.may_hedge() {
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
            let gap = if state.cut { state.gap.min(self.terms.suspect_after) } else { state.gap };
            state.ask_at = now + gap;
        }
        Vec::new()
    }

    /// Goes on after an attempt that may have run.
    fn doubtful<P: Pick>(
        &mut self,
        now: Duration,
        point: Point,
        vm: &Vm,
        pick: &mut P,
    ) -> Vec<Action> {
        if !self.terms.repeatable {
            return self.finish(Final::Unknown(point));
        }
        self.again(now, point, vm, pick)
    }

    fn again<P: Pick>(
        &mut self,
        now: Duration,
        point: Point,
        vm: &Vm,
        pick: &mut P,
    ) -> Vec<Action> {
        self.doubt = Some(point);
        self.excluded.push(vm.clone());
        self.next(now, point, Duration::ZERO, pick)
    }

    /// Sends another attempt, unless one is still under way.
    fn next<P: Pick>(
        &mut self,
        now: Duration,
        point: Point,
        retry_after: Duration,
        pick: &mut P,
    ) -> Vec<Action> {
        if !self.attempts.is_empty() {
            return Vec::new();
        }
        let may = self.terms.may_retry
            && self.sent < MAX_ATTEMPTS
            && self.reached < self.terms.attempts
            && now + self.terms.least_time < self.terms.deadline;
        // A late call that was refused would wait elsewhere as well; its
        // caller is told at once.
        let late = self.terms.useful_until.is_some_and(|until| now >= until);
        let may = may && !(late && point == Point::Refused);
        // Where no target was given anything, another try costs no target work.
        let free = !point.reached_target();
        if may
            && let Some(choice) = pick.pick(now, &self.excluded, &self.busy)
            && (free || pick.may_retry())
        {
            return self.send(now, choice, pick);
        }
        match self.failure {
            Some(failure) => self.finish(Final::Answer(failure)),
            None => self.finish_not_run(point, retry_after),
        }
    }

    fn follow<P: Pick>(&mut self, now: Duration, claim: &Claim, pick: &mut P) -> Vec<Action> {
        self.redirects += 1;
        let owner = pick.locate(now, &claim.vm).filter(|choice| choice.boot == claim.boot);
        match owner {
            Some(choice) if self.redirects <= MAX_REDIRECTS => {
                // Whoever holds the key may have run it for an earlier call.
                self.doubt = Some(Point::ClaimOrphaned);
                self.send(now, choice, pick)
            }
            _ => self.finish(Final::Unknown(Point::ClaimOrphaned)),
        }
    }

    fn send<P: Pick>(&mut self, now: Duration, choice: Choice, pick: &mut P) -> Vec<Action> {
        let attempt = pick.attempt_id();
        self.sent += 1;
        let state = Attempt {
            choice: choice.clone(),
            ask_at: now + self.terms.suspect_after,
            gap: self.terms.suspect_after,
            cut: false,
            asking: false,
        };
        self.attempts.insert(attempt, state);
        vec![Action::Send(attempt, choice)]
    }

    fn finish_not_run(&mut self, point: Point, retry_after: Duration) -> Vec<Action> {
        match self.doubt {
            Some(doubt) => self.finish(Final::Unknown(doubt)),
            None => self.finish(Final::NotRun { point, retry_after }),
        }
    }

    fn finish(&mut self, outcome: Final) -> Vec<Action> {
        self.over = true;
        let mut actions: Vec<Action> =
            self.attempts.drain(..).map(|(id, _)| Action::Cancel(id)).collect();
        actions.push(Action::Finish(outcome));
        actions
    }
}

/// Tells whether a target was, or may have been, given the call.
fn reached(verdict: &Verdict) -> bool {
    match verdict {
        Verdict::NotRun { point, .. } => point.reached_target(),
        Verdict::Answer | Verdict::Failure | Verdict::Ran | Verdict::Unknown(_) => true,
        Verdict::ClaimedBy(_) => false,
    }
}

#[cfg(test)]
mod tests;
