//! The inbound side of calls: which calls are handed to the target, and when.
//!
//! Only the intake may report that a call did not run. It reports so only for
//! attempts that its own run of the daemon has received, has not handed over to
//! the target and will not hand over.

use std::time::Duration;

use indexmap::IndexMap;
use medlarpoint_model::{Idempotency, Policy, Vm};

use crate::fence::Fence;
use crate::finished::Finished;
use crate::idempotency::{IdempotencyWindow, KeyOutcome, KeyState};
use crate::pace::{CallEnd, End};
use crate::{
    Admission, AttemptId, AttemptInfo, AttemptStatus, Claim, Decision, FailurePoint,
    IdempotencyKey, Load, Rejection, Scheduler, Ticket,
};

/// Advised time until a retry where it can't be derived from a queue.
const RETRY_AFTER: Duration = Duration::from_millis(250);
/// Limit of the attempts fenced at a time. When it is reached, an unseen attempt
/// is reported as forgotten.
const MAX_FENCED: usize = 100_000;
/// Time for which an attempt is fenced: longer than TCP keeps retransmitting, so
/// that a delayed attempt can't arrive after it.
const FENCE_TIME: Duration = Duration::from_secs(1_200);
/// Limit of the time that a query may have taken to arrive. The sender of a query
/// ignores responses that come later.
const QUERY_SLACK: Duration = Duration::from_secs(3);

/// An operation that the driver of the intake must carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action<A> {
    /// Creation of the record of a key in the store; the result goes to
    /// [`Intake::claimed`].
    Claim {
        /// Attempt that holds a slot and whose key is to be claimed.
        attempt: AttemptId,
        /// Idempotency key of the attempt.
        key: IdempotencyKey,
    },
    /// Receipt of the request body from the given time on; its end goes to
    /// [`Intake::body_received`].
    Receive {
        /// Attempt whose body is to be received.
        attempt: AttemptId,
        /// Time at which to start, on the local clock.
        start: Duration,
    },
    /// Handover of the call to the target; the result goes to
    /// [`Intake::completed`].
    HandOver {
        /// Attempt that holds a slot.
        attempt: AttemptId,
    },
    /// Cancellation of the call at the target.
    Abort {
        /// Attempt that is in flight at the target.
        attempt: AttemptId,
    },
    /// Response to the outbound proxy without, or instead of, one of the target.
    Reply {
        /// Attempt that the response is for.
        attempt: AttemptId,
        /// Content of the response.
        reply: Reply<A>,
    },
}

/// A response to the outbound proxy that is not streamed from the target.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply<A> {
    /// The call did not run and will not.
    NotRun {
        /// Point of failure.
        point: FailurePoint,
        /// Reason of the scheduler, if the scheduler rejected the call.
        rejection: Option<Rejection>,
        /// Advised time until a retry.
        retry_after: Duration,
    },
    /// The stored response to an earlier attempt with the same key.
    Replay(A),
    /// A call with this key ran; its response was not stored.
    Ran,
    /// The call may have run.
    Unknown(FailurePoint),
    /// Another inbound proxy holds the key.
    ClaimedBy(Claim),
}

/// Result of a claim to an idempotency key.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimResult {
    /// The record in the store names this attempt.
    Acquired,
    /// The record in the store names another attempt.
    HeldBy(Claim),
    /// The record was not created, or it is unknown whether it was.
    Failed,
}

/// Result of a call that was handed over to the target.
#[derive(Clone, Debug, PartialEq)]
pub enum Completion<A> {
    /// The target responded. Holds the response if it is to be stored, which
    /// applies to small responses to calls with a key.
    Responded(Option<A>),
    /// The target did not run the call, because no connection could be made.
    NotRun,
    /// The target rejected the call and did not run it.
    Rejected,
    /// The connection to the target failed after bytes were sent, or its response
    /// was invalid or late.
    Lost,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Phase {
    /// The attempt waits for a slot.
    Queued,
    /// The request body is received from the given time on, on the local clock.
    Receiving { start: Duration },
    /// The attempt holds a slot and waits for the claim of its key.
    Claiming,
    /// The attempt has been in flight at the target since the given time.
    Running { since: Duration },
}

/// An unfinished attempt.
#[derive(Clone, Debug)]
struct PendingAttempt {
    info: AttemptInfo,
    phase: Phase,
    /// Whether the sender has cancelled the attempt.
    cancelled: bool,
    /// How the call ended at the target, as far as is known.
    end: End,
    /// Whether the scheduler has been told of the end, while the response is still sent.
    end_counted: bool,
}

/// The inbound side of one target.
#[derive(Clone, Debug)]
pub struct Intake<A> {
    vm: Vm,
    /// Number of this run of the daemon.
    boot: u64,
    scheduler: Scheduler,
    window: IdempotencyWindow<A>,
    /// Attempts that were queried before they arrived.
    fence: Fence,
    /// Attempts that have finished.
    finished: Finished,
    /// Unfinished attempts.
    pending: IndexMap<AttemptId, PendingAttempt>,
    draining: bool,
}

impl<A: Clone> Intake<A> {
    /// Creates an intake whose target has no slots yet.
    pub fn new(vm: Vm, boot: u64, policy: Policy) -> Self {
        Self {
            vm,
            boot,
            scheduler: Scheduler::new(0, policy),
            window: IdempotencyWindow::default(),
            fence: Fence::default(),
            finished: Finished::default(),
            pending: IndexMap::new(),
            draining: false,
        }
    }

    /// Returns the scheduler, to change its slots, policy or link.
    pub fn scheduler_mut(&mut self) -> &mut Scheduler {
        &mut self.scheduler
    }

    /// Returns the load at `now`. While new calls are rejected, no slot is usable.
    pub fn load(&self, now: Duration) -> Load {
        let load = self.scheduler.load(now);
        if self.draining { Load { slots: 0, ..load } } else { load }
    }

    /// Sets whether new calls are rejected.
    pub fn set_draining(&mut self, draining: bool) {
        self.draining = draining;
    }

    /// Returns whether new calls are rejected.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Returns the number of unfinished attempts, queued ones included.
    pub fn unfinished(&self) -> usize {
        self.pending.len()
    }

    /// Handles the arrival of an attempt.
    pub fn arrive(&mut self, now: Duration, info: AttemptInfo) -> Vec<Action<A>> {
        let attempt = info.attempt;
        if info.boot != self.boot {
            return vec![not_run(attempt, FailurePoint::Restarted, None, Duration::ZERO)];
        }
        if self.pending.contains_key(&attempt) || self.finished.contains(attempt) {
            return vec![reply(attempt, Reply::Unknown(FailurePoint::Sent))];
        }
        if self.fence.contains(attempt) || now >= info.deadline {
            return vec![not_run(
                attempt,
                FailurePoint::Refused,
                Some(Rejection::TooLate),
                RETRY_AFTER,
            )];
        }
        if let Some(key) = info.key
            && let Some(actions) = self.known_key(attempt, key)
        {
            self.finished.insert(now, attempt);
            return actions;
        }
        let window_full = info.key.is_some() && self.window.is_full();
        if self.draining || window_full {
            return vec![not_run(attempt, FailurePoint::Refused, None, RETRY_AFTER)];
        }
        self.admit(now, info)
    }

    /// Returns the reply to a key whose outcome is in the window, or no actions if
    /// an attempt of the key is unfinished, whose outcome the new one then waits
    /// for. Returns `None` if the key may run.
    fn known_key(&mut self, attempt: AttemptId, key: IdempotencyKey) -> Option<Vec<Action<A>>> {
        match self.window.get_mut(key)? {
            KeyState::Active { waiters, .. } => {
                waiters.push(attempt);
                Some(Vec::new())
            }
            KeyState::Ran { response: Some(response), .. } => {
                Some(vec![reply(attempt, Reply::Replay(response.clone()))])
            }
            KeyState::Ran { response: None, .. } => Some(vec![reply(attempt, Reply::Ran)]),
            KeyState::Unknown { .. } => {
                Some(vec![reply(attempt, Reply::Unknown(FailurePoint::TargetLost))])
            }
            KeyState::Claimed { .. } => None,
        }
    }

    fn admit(&mut self, now: Duration, info: AttemptInfo) -> Vec<Action<A>> {
        let attempt = info.attempt;
        let (admission, displaced) = self.scheduler.arrive(now, ticket(now, &info));
        let mut actions = self.apply(now, displaced.into_iter().collect());
        match admission {
            Admission::Rejected(rejection, retry_after) => {
                actions.push(not_run(attempt, point_of(rejection), Some(rejection), retry_after));
            }
            Admission::Queued => self.register(info, Phase::Queued),
            Admission::Receive(start) => {
                self.register(info, Phase::Receiving { start });
                actions.push(Action::Receive { attempt, start });
            }
            Admission::Run => {
                self.register(info, Phase::Queued);
                actions.extend(self.start(now, attempt));
            }
        }
        actions
    }

    fn register(&mut self, info: AttemptInfo, phase: Phase) {
        if let Some(key) = info.key {
            self.window.activate(key, info.attempt);
        }
        self.pending.insert(
            info.attempt,
            PendingAttempt {
                info,
                phase,
                cancelled: false,
                end: End::Withdrawn,
                end_counted: false,
            },
        );
    }

    /// Starts an attempt that holds a slot, with the claim of its key if it needs
    /// one.
    fn start(&mut self, now: Duration, attempt: AttemptId) -> Vec<Action<A>> {
        let Some(pending) = self.pending.get_mut(&attempt) else {
            return Vec::new();
        };
        let needs_claim = pending.info.idempotency == Idempotency::Store;
        if let Some(key) = pending.info.key.filter(|_| needs_claim) {
            pending.phase = Phase::Claiming;
            return vec![Action::Claim { attempt, key }];
        }
        pending.phase = Phase::Running { since: now };
        vec![Action::HandOver { attempt }]
    }

    /// Handles the result of a claim.
    pub fn claimed(
        &mut self,
        now: Duration,
        attempt: AttemptId,
        result: ClaimResult,
    ) -> Vec<Action<A>> {
        let Some(pending) = self.pending.get_mut(&attempt) else {
            return Vec::new();
        };
        let Some(key) = pending.info.key else {
            return Vec::new();
        };
        match result {
            ClaimResult::Acquired => {
                if let Some(KeyState::Active { claimed, .. }) = self.window.get_mut(key) {
                    *claimed = true;
                }
                if now >= pending.info.deadline || pending.cancelled {
                    return self.end_not_run(now, attempt, FailurePoint::Refused);
                }
                pending.phase = Phase::Running { since: now };
                vec![Action::HandOver { attempt }]
            }
            ClaimResult::HeldBy(claim) if claim.vm == self.vm && claim.boot == self.boot => {
                // This run of the daemon claimed the key and no longer remembers
                // the outcome.
                self.end_elsewhere(now, attempt, &Reply::Unknown(FailurePoint::ClaimOrphaned))
            }
            ClaimResult::HeldBy(claim) => {
                self.end_elsewhere(now, attempt, &Reply::ClaimedBy(claim))
            }
            ClaimResult::Failed => self.end_not_run(now, attempt, FailurePoint::ClaimFailed),
        }
    }

    /// Records that the target has answered a call whose response is still sent to its
    /// caller, as large ones are. The rest of that time is not the target's.
    pub fn answered(&mut self, now: Duration, attempt: AttemptId) {
        let Some(mut pending) = self.pending.get(&attempt).cloned() else {
            return;
        };
        pending.end = End::Answered;
        self.count_end(now, &pending);
        if let Some(pending) = self.pending.get_mut(&attempt) {
            pending.end_counted = true;
        }
    }

    /// Handles the result of a call that was handed over.
    pub fn completed(
        &mut self,
        now: Duration,
        attempt: AttemptId,
        completion: Completion<A>,
    ) -> Vec<Action<A>> {
        if let Some(pending) = self.pending.get_mut(&attempt) {
            pending.end = match completion {
                Completion::Responded(_) => End::Answered,
                Completion::Lost => End::Unanswered,
                // Such rejections come from the rate of calls, or from the shutdown.
                Completion::Rejected
                    if self.draining || self.scheduler.target_limit().is_some() =>
                {
                    End::Withdrawn
                }
                Completion::Rejected => End::Rejected,
                Completion::NotRun => End::Withdrawn,
            };
        }
        let (end, outcome) = match completion {
            Completion::NotRun | Completion::Rejected => {
                return self.end_not_run(now, attempt, FailurePoint::TargetConnect);
            }
            Completion::Responded(response) => {
                let outcome = response.clone().map_or(Reply::Ran, Reply::Replay);
                (KeyOutcome::Ran(response), outcome)
            }
            Completion::Lost => (KeyOutcome::Unknown, Reply::Unknown(FailurePoint::TargetLost)),
        };
        let Some(pending) = self.remove(now, attempt) else {
            return Vec::new();
        };
        let mut actions = Vec::new();
        if matches!(outcome, Reply::Unknown(_)) && !pending.cancelled {
            actions.push(reply(attempt, outcome.clone()));
        }
        if let Some(key) = pending.info.key {
            let waiting = self.window.record_outcome(now, key, end);
            actions.extend(waiting.into_iter().map(|other| reply(other, outcome.clone())));
        }
        actions.extend(self.release_slot(now, &pending));
        actions
    }

    /// Handles the cancellation of an attempt by its sender. A call with a key
    /// continues, because a retry may need its outcome.
    pub fn cancel(&mut self, now: Duration, attempt: AttemptId) -> Vec<Action<A>> {
        let Some(pending) = self.pending.get_mut(&attempt) else {
            return Vec::new();
        };
        pending.cancelled = true;
        match (&pending.phase, pending.info.key) {
            (Phase::Queued, None) => {
                self.scheduler.remove(attempt);
                self.remove(now, attempt);
                Vec::new()
            }
            // The rest of the body will not arrive, with or without a key.
            (Phase::Receiving { .. }, _) => self.end_unstarted(now, attempt),
            (Phase::Running { .. }, None) => vec![Action::Abort { attempt }],
            _ => Vec::new(),
        }
    }

    /// Rejects all calls that hold no slot, so that other targets can serve them.
    pub fn reject_queued(&mut self, now: Duration) -> Vec<Action<A>> {
        let mut waiting = self.scheduler.clear();
        let receiving = self.pending.iter();
        let receiving = receiving.filter(|(_, p)| matches!(p.phase, Phase::Receiving { .. }));
        waiting.extend(receiving.map(|(attempt, _)| *attempt));
        let rejected = waiting.into_iter();
        let rejected = rejected
            .map(|attempt| Decision::Rejected(attempt, Rejection::NoTarget, Duration::ZERO))
            .collect();
        self.apply(now, rejected)
    }

    /// Returns the status of an attempt. An attempt that has not arrived is
    /// fenced, so that it will not run if it arrives later.
    ///
    /// `age` is the time since the attempt was sent.
    pub fn query(
        &mut self,
        now: Duration,
        attempt: AttemptId,
        boot: u64,
        age: Duration,
    ) -> AttemptStatus {
        if boot != self.boot {
            return AttemptStatus::Restarted;
        }
        if self.pending.contains_key(&attempt) {
            return AttemptStatus::Running;
        }
        if self.finished.contains(attempt) {
            return AttemptStatus::Finished;
        }
        let sent = now.saturating_sub(age + QUERY_SLACK);
        if !self.finished.covers(sent) || self.fence.len() >= MAX_FENCED {
            return AttemptStatus::Forgotten;
        }
        self.fence.insert(attempt, now + FENCE_TIME);
        AttemptStatus::Unseen
    }

    /// Rejects queued calls that can no longer be served and evicts expired
    /// entries.
    pub fn sweep(&mut self, now: Duration) -> Vec<Action<A>> {
        self.window.collect(now);
        self.fence.evict_expired(now);
        self.finished.evict_expired(now);
        let decisions = self.scheduler.sweep(now);
        self.apply(now, decisions)
    }

    fn apply(&mut self, now: Duration, decisions: Vec<Decision>) -> Vec<Action<A>> {
        let mut actions = Vec::new();
        for decision in decisions {
            match decision {
                Decision::Run(attempt) => actions.extend(self.start(now, attempt)),
                Decision::Rejected(attempt, rejection, retry_after) => {
                    let Some(pending) = self.remove(now, attempt) else {
                        continue;
                    };
                    self.release_link(now, &pending);
                    let waiting = pending.info.key.map(|key| self.window.release(key));
                    for id in waiting.into_iter().flatten().chain([attempt]) {
                        actions.push(not_run(
                            id,
                            point_of(rejection),
                            Some(rejection),
                            retry_after,
                        ));
                    }
                }
            }
        }
        actions
    }

    /// Ends an attempt that holds a slot and did not run.
    fn end_not_run(
        &mut self,
        now: Duration,
        attempt: AttemptId,
        point: FailurePoint,
    ) -> Vec<Action<A>> {
        let Some(pending) = self.remove(now, attempt) else {
            return Vec::new();
        };
        let waiting = pending.info.key.map(|key| {
            let claimed =
                matches!(self.window.get_mut(key), Some(KeyState::Active { claimed: true, .. }));
            if claimed {
                self.window.record_outcome(now, key, KeyOutcome::Claimed)
            } else {
                self.window.release(key)
            }
        });
        let waiting = waiting.into_iter().flatten().chain([attempt]);
        let mut actions: Vec<Action<A>> =
            waiting.map(|id| not_run(id, point, None, RETRY_AFTER)).collect();
        actions.extend(self.release_slot(now, &pending));
        actions
    }

    fn end_elsewhere(
        &mut self,
        now: Duration,
        attempt: AttemptId,
        outcome: &Reply<A>,
    ) -> Vec<Action<A>> {
        let Some(pending) = self.remove(now, attempt) else {
            return Vec::new();
        };
        let waiting = pending.info.key.map(|key| self.window.release(key));
        let waiting = waiting.into_iter().flatten().chain([attempt]);
        let mut actions: Vec<Action<A>> = waiting.map(|id| reply(id, outcome.clone())).collect();
        actions.extend(self.release_slot(now, &pending));
        actions
    }

    fn remove(&mut self, now: Duration, attempt: AttemptId) -> Option<PendingAttempt> {
        let pending = self.pending.swap_remove(&attempt)?;
        self.finished.insert(now, attempt);
        Some(pending)
    }

    fn release_slot(&mut self, now: Duration, pending: &PendingAttempt) -> Vec<Action<A>> {
        if pending.info.suspect {
            self.scheduler.on_suspect_ended();
        }
        self.count_end(now, pending);
        let took = match pending.phase {
            Phase::Running { since } => Some(now.saturating_sub(since)),
            Phase::Queued | Phase::Receiving { .. } | Phase::Claiming => None,
        };
        let decisions = self.scheduler.release(now, pending.info.class, &pending.info.route, took);
        self.apply(now, decisions)
    }

    /// Tells the scheduler how a call at the target ended. Suspects are left out: they may
    /// take the target down whatever its pace.
    fn count_end(&mut self, now: Duration, pending: &PendingAttempt) {
        if pending.info.suspect || pending.end_counted {
            return;
        }
        let (started_at, end) = match pending.phase {
            Phase::Running { since } => (since, pending.end),
            Phase::Claiming => (now, End::Withdrawn),
            // The attempt holds no slot.
            Phase::Queued | Phase::Receiving { .. } => return,
        };
        let PendingAttempt { info, .. } = pending;
        let call = CallEnd { attempt: info.attempt, started_at, expected: info.expected, end };
        self.scheduler.on_call_ended(now, info.class, &info.route, &call);
    }
}

/// Returns the request for a slot that an attempt makes at `now`.
fn ticket(now: Duration, info: &AttemptInfo) -> Ticket {
    Ticket {
        attempt: info.attempt,
        class: info.class,
        tenant: info.tenant.clone(),
        in_workspace: info.in_workspace,
        weight: info.weight,
        route: info.route.clone(),
        body_bytes: info.body_bytes,
        rank: info.rank,
        useful_until: info.useful_until,
        may_spill: info.may_spill,
        suspect: info.suspect,
        expected: info.expected,
        arrived: now,
        deadline: info.deadline,
    }
}

fn point_of(rejection: Rejection) -> FailurePoint {
    match rejection {
        Rejection::Busy => FailurePoint::Busy,
        Rejection::QueueFull | Rejection::TooLate | Rejection::Displaced | Rejection::NoTarget => {
            FailurePoint::Refused
        }
    }
}

fn reply<A>(attempt: AttemptId, reply: Reply<A>) -> Action<A> {
    Action::Reply { attempt, reply }
}

fn not_run<A>(
    attempt: AttemptId,
    point: FailurePoint,
    rejection: Option<Rejection>,
    retry_after: Duration,
) -> Action<A> {
    reply(attempt, Reply::NotRun { point, rejection, retry_after })
}

mod receive;
#[cfg(test)]
mod tests;
