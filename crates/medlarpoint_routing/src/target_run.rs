//! The calls that one run of the target's process has begun and not answered.
//!
//! When a process ends, each of them may be the cause. A broken connection alone says
//! nothing: the network, a full target or a lost response breaks connections as well.

use std::time::Duration;

use indexmap::IndexMap;
use medlarpoint_model::Fingerprint;

use crate::AttemptId;

/// Time for which a call whose connection broke may still be the cause of the end of a
/// process that answers other calls.
const SUSPECT_TIME: Duration = Duration::from_secs(1);
/// Limit on the calls without a response that are kept.
const MAX_UNANSWERED: usize = 64;

/// A call whose connection broke, or whose sender left, before a response.
#[derive(Clone, Copy, Debug)]
struct Unanswered {
    fingerprint: Fingerprint,
    since: Duration,
}

/// What was running when a process ended.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RunEnd {
    /// Calls that the process had begun and not answered.
    pub calls: Vec<Fingerprint>,
    /// Whether the process had answered any call. One that ends before it has may be
    /// unable to run any.
    pub had_answered: bool,
}

/// The current run of the target's process.
#[derive(Clone, Debug, Default)]
pub struct TargetRun {
    /// Number of runs that have ended.
    number: u64,
    running: IndexMap<AttemptId, Fingerprint>,
    unanswered: Vec<Unanswered>,
    answered_at: Option<Duration>,
}

impl TargetRun {
    /// Returns the number of this run, which rises with each process.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Records that a call is handed over.
    pub fn begin(&mut self, attempt: AttemptId, fingerprint: Fingerprint) {
        self.running.insert(attempt, fingerprint);
    }

    /// Records that the process has answered a call. Returns whether it ran in this run.
    pub fn answer(&mut self, now: Duration, attempt: AttemptId) -> bool {
        let is_current = self.running.swap_remove(&attempt).is_some();
        if is_current {
            self.answered_at = Some(now);
        }
        is_current
    }

    /// Records that no response to a call will arrive, though the process may run it.
    pub fn abandon(&mut self, now: Duration, attempt: AttemptId) {
        let Some(fingerprint) = self.running.swap_remove(&attempt) else {
            return;
        };
        if self.unanswered.len() >= MAX_UNANSWERED {
            self.unanswered.remove(0);
        }
        self.unanswered.push(Unanswered { fingerprint, since: now });
    }

    /// Records that a call was not run after all.
    pub fn withdraw(&mut self, attempt: AttemptId) {
        self.running.swap_remove(&attempt);
    }

    /// Ends the run with this number. Returns what it was running, or `None` if it has
    /// ended before.
    pub fn end(&mut self, now: Duration, number: u64) -> Option<RunEnd> {
        if number != self.number {
            return None;
        }
        let ended = std::mem::take(self);
        self.number = number + 1;
        let is_suspect = |call: &&Unanswered| {
            let answered_since = ended.answered_at.is_some_and(|at| at >= call.since);
            !answered_since || now.saturating_sub(call.since) < SUSPECT_TIME
        };
        let unanswered = ended.unanswered.iter().filter(is_suspect).map(|call| call.fingerprint);
        let mut calls: Vec<Fingerprint> = ended.running.values().copied().collect();
        calls.extend(unanswered);
        calls.sort_unstable();
        calls.dedup();
        Some(RunEnd { calls, had_answered: ended.answered_at.is_some() })
    }
}

#[cfg(test)]
mod tests;
