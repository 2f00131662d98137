//! The calls that one run of the target's process has begun and not answered.
//!
//! When a process ends, each of them may be the cause. A broken connection alone says
//! nothing: the network, a full target or a lost response breaks connections as well.

use std::time::Duration;

use indexmap::IndexMap;
use medlarpoint_model::Fingerprint;

use crate::{AttemptId, Suspicion};

/// Time for which a call whose connection broke may still be the cause of the end of a
/// process that answers other calls.
const SUSPECT_TIME: Duration = Duration::from_secs(1);
/// Limit on the calls without a response that are kept.
const MAX_UNANSWERED: usize = 64;

/// A call that a process has begun to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RunningCall {
    /// Identity of the call.
    pub fingerprint: Fingerprint,
    /// What was known about it when the run began.
    pub known: Suspicion,
}

/// A call whose connection broke, or whose sender left, before a response.
#[derive(Clone, Copy, Debug)]
struct Unanswered {
    call: RunningCall,
    since: Duration,
}

/// What was running when a process ended.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RunEnd {
    /// Calls that the process had begun and not answered.
    pub calls: Vec<RunningCall>,
    /// Whether the target had answered any call since it was last replaced. One that has
    /// not may be unable to run any.
    pub had_answered: bool,
}

/// The current run of the target's process.
#[derive(Clone, Debug, Default)]
pub struct TargetRun {
    /// Number of runs that have ended.
    number: u64,
    running: IndexMap<AttemptId, RunningCall>,
    unanswered: Vec<Unanswered>,
    answered_at: Option<Duration>,
    /// Whether this process, or an earlier one that it restarted after, has answered a call.
    has_answered: bool,
}

impl TargetRun {
    /// Returns the number of this run, which rises with each process.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Records that a call is handed over.
    pub fn begin(&mut self, attempt: AttemptId, call: RunningCall) {
        self.running.insert(attempt, call);
    }

    /// Records that the process has answered a call.
    pub fn answer(&mut self, now: Duration, attempt: AttemptId) {
        if self.running.swap_remove(&attempt).is_some() {
            self.answered_at = Some(now);
            self.has_answered = true;
        }
    }

    /// Records that no response to a call will arrive, though the process may run it.
    pub fn abandon(&mut self, now: Duration, attempt: AttemptId) {
        let Some(call) = self.running.swap_remove(&attempt) else {
            return;
        };
        if self.unanswered.len() >= MAX_UNANSWERED {
            self.unanswered.remove(0);
        }
        self.unanswered.push(Unanswered { call, since: now });
    }

    /// Records that a call was not run after all.
    pub fn withdraw(&mut self, attempt: AttemptId) {
        self.running.swap_remove(&attempt);
    }

    /// Returns whether all that is known of the process fits its end: no call runs, and the
    /// connection of one broke after the last response.
    pub fn may_have_ended(&self) -> bool {
        let since_response =
            |unanswered: &Unanswered| self.answered_at.is_none_or(|at| unanswered.since > at);
        self.running.is_empty() && self.unanswered.iter().any(since_response)
    }

    /// Records that the target was replaced by another, perhaps of another release.
    pub fn replace(&mut self) {
        *self = Self { number: self.number + 1, ..Self::default() };
    }

    /// Ends the run with this number. Returns what it was running, or `None` if it has
    /// ended before.
    pub fn end(&mut self, now: Duration, number: u64) -> Option<RunEnd> {
        if number != self.number {
            return None;
        }
        let ended = std::mem::take(self);
        self.number = number + 1;
        self.has_answered = ended.has_answered;
        let is_suspect = |unanswered: &&Unanswered| {
            let since = unanswered.since;
            let answered_since = ended.answered_at.is_some_and(|at| at >= since);
            !answered_since || now.saturating_sub(since) < SUSPECT_TIME
        };
        let unanswered =
            ended.unanswered.iter().filter(is_suspect).map(|unanswered| unanswered.call);
        let mut calls: Vec<RunningCall> = ended.running.values().copied().collect();
        calls.extend(unanswered);
        calls.sort_unstable();
        calls.dedup();
        Some(RunEnd { calls, had_answered: ended.has_answered })
    }
}

#[cfg(test)]
mod tests;
