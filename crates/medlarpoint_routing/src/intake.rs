//! The inbound side of calls: what is handed to the target, and when.
//!
//! The intake is the only place that may say "not run", and it says so only of
//! attempts of its own run that it never handed over and never will.

use std::time::Duration;

use indexmap::IndexMap;
use medlarpoint_model::{Idempotency, Policy, Vm};

use crate::fence::Fence;
use crate::recent::Recent;
use crate::window::{End, Slot, Window};
use crate::{
    AttemptId, Claim, Entry, Gate, Head, IdempotencyKey, Known, Load, Point, Refusal, Settled,
    Ticket,
};

/// Advice on when to come back where no queue gives a better one.
const RETRY_AFTER: Duration = Duration::from_millis(250);
/// Attempts fenced at a time.
const MAX_FENCED: usize = 100_000;
/// Time for which an attempt is fenced: longer than TCP goes on to resend what
/// is under way.
const FENCE_TIME: Duration = Duration::from_secs(1_200);
/// Time a question may have been under way; older answers are ignored by those
/// who asked.
const QUERY_SLACK: Duration = Duration::from_secs(3);

/// Something for the driver to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action<A> {
    /// Create the record of a key in the store, and report to
    /// [`Intake::claimed`].
    Claim {
        /// The attempt.
        attempt: AttemptId,
        /// Its key.
        key: IdempotencyKey,
    },
    /// Send the call to the target, and report to [`Intake::ended`].
    HandOver {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Stop the call at the target.
    Abort {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Answer the outbound proxy without, or instead of, the target.
    Reply {
        /// The attempt.
        attempt: AttemptId,
        /// The answer.
        reply: Reply<A>,
    },
}

/// An answer that does not stream from the target.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply<A> {
    /// Not run.
    NotRun {
        /// Why.
        point: Point,
        /// Refusal of the gate, where it was the gate.
        refusal: Option<Refusal>,
        /// When to come back.
        retry_after: Duration,
    },
    /// The answer that an earlier attempt of the key got.
    Replay(A),
    /// The key ran; its answer was not kept.
    Ran,
    /// It may have run.
    Unknown(Point),
    /// Another inbound proxy holds the key.
    ClaimedBy(Claim),
}

/// Result of a claim.
#[derive(Clone, Debug, PartialEq)]
pub enum Claimed {
    /// The record names this attempt.
    Mine,
    /// The record names another attempt.
    Theirs(Claim),
    /// The record was not made, or it is not known whether it was.
    Failed,
}

/// How a handed-over call ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Ended<A> {
    /// The target answered; small answers to keyed calls are kept.
    Answered(Option<A>),
    /// The target could not be connected to.
    NotHanded,
    /// The target was lost after bytes were handed over.
    Broken,
}

#[derive(Clone, Debug, PartialEq)]
enum Phase {
    Queued,
    Claiming,
    Running { since: Duration },
}

#[derive(Clone, Debug)]
struct Job {
    head: Head,
    phase: Phase,
    abandoned: bool,
}

/// The inbound side of one target.
#[derive(Clone, Debug)]
pub struct Intake<A> {
    vm: Vm,
    boot: u64,
    gate: Gate,
    window: Window<A>,
    /// Attempts that were asked after before they came, or that are over.
    fence: Fence,
    finished: Recent,
    jobs: IndexMap<AttemptId, Job>,
    draining: bool,
}

impl<A: Clone> Intake<A> {
    /// Creates an intake without a target.
    pub fn new(vm: Vm, boot: u64, policy: Policy, now: Duration) -> Self {
        Self {
            vm,
            boot,
            gate: Gate::new(0, policy, now),
            window: Window::default(),
            fence: Fence::default(),
            finished: Recent::default(),
            jobs: IndexMap::new(),
            draining: false,
        }
    }

    /// Returns the gate, to change slots or policy.
    pub fn gate_mut(&mut self) -> &mut Gate {
        &mut self.gate
    }

    /// Returns the load now.
    pub fn load(&self, now: Duration) -> Load {
        self.gate.load(now)
    }

    /// Stops or resumes taking new work.
    pub fn set_draining(&mut self, draining: bool) {
        self.draining = draining;
    }

    /// Tells whether new work is refused.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Returns the number of attempts that are not over.
    pub fn unfinished(&self) -> usize {
        self.jobs.len()
    }

    /// Takes an attempt.
    pub fn arrive(&mut self, now: Duration, head: Head) -> Vec<Action<A>> {
        let attempt = head.attempt;
        if head.boot != self.boot {
            return vec![not_run(attempt, Point::Restarted, None, Duration::ZERO)];
        }
        if self.jobs.contains_key(&attempt) || self.finished.contains(attempt) {
            return vec![reply(attempt, Reply::Unknown(Point::Sent))];
        }
        if self.fence.contains(attempt) || now >= head.deadline {
            return vec![not_run(attempt, Point::Refused, Some(Refusal::TooLate), RETRY_AFTER)];
        }
        if let Some(key) = head.key
            && let Some(actions) = self.known_key(attempt, key)
        {
            self.finished.insert(now, attempt);
            return actions;
        }
        let window_full = head.key.is_some() && self.window.is_full();
        if self.draining || window_full {
            return vec![not_run(attempt, Point::Refused, None, RETRY_AFTER)];
        }
        self.admit(now, head)
    }

    /// Answers from the window, or lets the attempt wait for the one under way.
    fn known_key(&mut self, attempt: AttemptId, key: IdempotencyKey) -> Option<Vec<Action<A>>> {
        match self.window.get_mut(key)? {
            Slot::Active { joined, .. } => {
                joined.push(attempt);
                Some(Vec::new())
            }
            Slot::Ran { answer: Some(answer), .. } => {
                Some(vec![reply(attempt, Reply::Replay(answer.clone()))])
            }
            Slot::Ran { answer: None, .. } => Some(vec![reply(attempt, Reply::Ran)]),
            Slot::Lost { .. } => Some(vec![reply(attempt, Reply::Unknown(Point::TargetLost))]),
            Slot::Claimed { .. } => None,
        }
    }

    fn admit(&mut self, now: Duration, head: Head) -> Vec<Action<A>> {
        let attempt = head.attempt;
        let ticket = Ticket {
            attempt,
            class: head.class,
            tenant: head.tenant.clone(),
            weight: head.weight,
            kind: head.kind.clone(),
            rank: head.rank,
            useful_until: head.useful_until,
            may_spill: head.may_spill,
            since: now,
            deadline: head.deadline,
        };
        let (entry, displaced) = self.gate.arrive(now, ticket);
        let mut actions = self.settle_all(now, displaced.into_iter().collect());
        match entry {
            Entry::Refused(refusal, retry_after) => {
                actions.push(not_run(attempt, point_of(refusal), Some(refusal), retry_after));
            }
            Entry::Queued => self.enter(head, Phase::Queued),
            Entry::Run => {
                self.enter(head, Phase::Queued);
                actions.extend(self.start(now, attempt));
            }
        }
        actions
    }

    fn enter(&mut self, head: Head, phase: Phase) {
        if let Some(key) = head.key {
            self.window.activate(key, head.attempt);
        }
        self.jobs.insert(head.attempt, Job { head, phase, abandoned: false });
    }

    /// Starts an attempt that holds a slot.
    fn start(&mut self, now: Duration, attempt: AttemptId) -> Vec<Action<A>> {
        let Some(job) = self.jobs.get_mut(&attempt) else {
            return Vec::new();
        };
        let needs_claim = job.head.once == Idempotency::Store;
        if let Some(key) = job.head.key.filter(|_| needs_claim) {
            job.phase = Phase::Claiming;
            return vec![Action::Claim { attempt, key }];
        }
        job.phase = Phase::Running { since: now };
        vec![Action::HandOver { attempt }]
    }

    /// Takes the result of a claim.
    pub fn claimed(
        &mut self,
        now: Duration,
        attempt: AttemptId,
        result: Claimed,
    ) -> Vec<Action<A>> {
        let Some(job) = self.jobs.get_mut(&attempt) else {
            return Vec::new();
        };
        let Some(key) = job.head.key else {
            return Vec::new();
        };
        match result {
            Claimed::Mine => {
                if let Some(Slot::Active { claimed, .. }) = self.window.get_mut(key) {
                    *claimed = true;
                }
                if now >= job.head.deadline || job.abandoned {
                    return self.end_not_run(now, attempt, Point::Refused);
                }
                job.phase = Phase::Running { since: now };
                vec![Action::HandOver { attempt }]
            }
            Claimed::Theirs(claim) if claim.vm == self.vm && claim.boot == self.boot => {
                // Our own run held the key and no longer remembers what came of it.
                self.end_elsewhere(now, attempt, &Reply::Unknown(Point::ClaimOrphaned))
            }
            Claimed::Theirs(claim) => self.end_elsewhere(now, attempt, &Reply::ClaimedBy(claim)),
            Claimed::Failed => self.end_not_run(now, attempt, Point::ClaimFailed),
        }
    }

    /// Takes the end of a call that was handed over.
    pub fn ended(&mut self, now: Duration, attempt: AttemptId, ended: Ended<A>) -> Vec<Action<A>> {
        let (end, joined) = match ended {
            Ended::NotHanded => return self.end_not_run(now, attempt, Point::TargetConnect),
            Ended::Answered(answer) => {
                let joined = answer.clone().map_or(Reply::Ran, Reply::Replay);
                (End::Ran(answer), joined)
            }
            Ended::Broken => (End::Lost, Reply::Unknown(Point::TargetLost)),
        };
        let Some(job) = self.remove(now, attempt) else {
            return Vec::new();
        };
        let mut actions = Vec::new();
        if matches!(joined, Reply::Unknown(_)) && !job.abandoned {
            actions.push(reply(attempt, joined.clone()));
        }
        if let Some(key) = job.head.key {
            let waiting = self.window.settle(now, key, end);
            actions.extend(waiting.into_iter().map(|other| reply(other, joined.clone())));
        }
        actions.extend(self.free(now, &job));
        actions
    }

    /// Notes that nobody waits for an attempt any more. A keyed call goes on,
    /// since its outcome will be asked for.
    pub fn cancel(&mut self, now: Duration, attempt: AttemptId) -> Vec<Action<A>> {
        let Some(job) = self.jobs.get_mut(&attempt) else {
            return Vec::new();
        };
        job.abandoned = true;
        match (&job.phase, job.head.key) {
            (Phase::Queued, None) => {
                self.gate.remove(attempt);
                self.remove(now, attempt);
                Vec::new()
            }
            (Phase::Running { .. }, None) => vec![Action::Abort { attempt }],
            _ => Vec::new(),
        }
    }

    /// Refuses everything that waits for a slot, so that it can be served
    /// elsewhere.
    pub fn bounce(&mut self, now: Duration) -> Vec<Action<A>> {
        let waiting = self.gate.clear();
        let refused = waiting.into_iter();
        let refused = refused
            .map(|attempt| Settled::Refused(attempt, Refusal::NoTarget, Duration::ZERO))
            .collect();
        self.settle_all(now, refused)
    }

    /// Tells what is known of an attempt. One that has not been seen is fenced:
    /// it will not run should it still arrive.
    ///
    /// `age` is the time since the attempt was sent.
    pub fn query(&mut self, now: Duration, attempt: AttemptId, boot: u64, age: Duration) -> Known {
        if boot != self.boot {
            return Known::Restarted;
        }
        if self.jobs.contains_key(&attempt) {
            return Known::Running;
        }
        if self.finished.contains(attempt) {
            return Known::Finished;
        }
        let sent = now.saturating_sub(age + QUERY_SLACK);
        if !self.finished.covers(sent) || self.fence.len() >= MAX_FENCED {
            return Known::Forgotten;
        }
        self.fence.insert(attempt, now + FENCE_TIME);
        Known::Unseen
    }

    /// Advances time: refuses what can no longer be done, forgets what is old.
    pub fn sweep(&mut self, now: Duration) -> Vec<Action<A>> {
        self.window.collect(now);
        self.fence.collect(now);
        self.finished.collect(now);
        let settled = self.gate.sweep(now);
        self.settle_all(now, settled)
    }

    fn settle_all(&mut self, now: Duration, settled: Vec<Settled>) -> Vec<Action<A>> {
        let mut actions = Vec::new();
        for decision in settled {
            match decision {
                Settled::Run(attempt) => actions.extend(self.start(now, attempt)),
                Settled::Refused(attempt, refusal, retry_after) => {
                    let Some(job) = self.remove(now, attempt) else {
                        continue;
                    };
                    let waiting = job.head.key.map(|key| self.window.release(key));
                    for one in waiting.into_iter().flatten().chain([attempt]) {
                        actions.push(not_run(one, point_of(refusal), Some(refusal), retry_after));
                    }
                }
            }
        }
        actions
    }

    /// Ends an attempt that holds a slot and was not handed over.
    fn end_not_run(&mut self, now: Duration, attempt: AttemptId, point: Point) -> Vec<Action<A>> {
        let Some(job) = self.remove(now, attempt) else {
            return Vec::new();
        };
        let waiting = job.head.key.map(|key| {
            let claimed =
                matches!(self.window.get_mut(key), Some(Slot::Active { claimed: true, .. }));
            if claimed {
                self.window.settle(now, key, End::Claimed)
            } else {
                self.window.release(key)
            }
        });
        let waiting = waiting.into_iter().flatten().chain([attempt]);
        let mut actions: Vec<Action<A>> =
            waiting.map(|one| not_run(one, point, None, RETRY_AFTER)).collect();
        actions.extend(self.free(now, &job));
        actions
    }

    fn end_elsewhere(
        &mut self,
        now: Duration,
        attempt: AttemptId,
        answer: &Reply<A>,
    ) -> Vec<Action<A>> {
        let Some(job) = self.remove(now, attempt) else {
            return Vec::new();
        };
        let waiting = job.head.key.map(|key| self.window.release(key));
        let waiting = waiting.into_iter().flatten().chain([attempt]);
        let mut actions: Vec<Action<A>> = waiting.map(|one| reply(one, answer.clone())).collect();
        actions.extend(self.free(now, &job));
        actions
    }

    fn remove(&mut self, now: Duration, attempt: AttemptId) -> Option<Job> {
        let job = self.jobs.swap_remove(&attempt)?;
        self.finished.insert(now, attempt);
        Some(job)
    }

    fn free(&mut self, now: Duration, job: &Job) -> Vec<Action<A>> {
        let took = match job.phase {
            Phase::Running { since } => Some(now.saturating_sub(since)),
            Phase::Queued | Phase::Claiming => None,
        };
        let settled = self.gate.leave(now, job.head.class, &job.head.kind, took);
        self.settle_all(now, settled)
    }
}

fn point_of(refusal: Refusal) -> Point {
    match refusal {
        Refusal::Busy => Point::Busy,
        Refusal::QueueFull | Refusal::TooLate | Refusal::Displaced | Refusal::NoTarget => {
            Point::Refused
        }
    }
}

fn reply<A>(attempt: AttemptId, reply: Reply<A>) -> Action<A> {
    Action::Reply { attempt, reply }
}

fn not_run<A>(
    attempt: AttemptId,
    point: Point,
    refusal: Option<Refusal>,
    retry_after: Duration,
) -> Action<A> {
    reply(attempt, Reply::NotRun { point, refusal, retry_after })
}

#[cfg(test)]
mod tests;
