//! Oracle that compares executions with the results that callers got.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use medlarpoint_model::Fingerprint;
use medlarpoint_routing::{AttemptId, CallResult, IdempotencyKey};

/// Identity of a piece of work: requests with the same key are the same work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) enum Work {
    Keyed(IdempotencyKey),
    Single(usize),
}

/// Crashes in a row of which every daemon knows, after which a call may not run for
/// [`FATAL_PAUSE`].
const KNOWN_CRASHES: u32 = 2;
/// Time for which a call does not run after the start of its last known run.
const FATAL_PAUSE: Duration = Duration::from_secs(5);

/// Counts executions and records the results that callers got.
#[derive(Debug, Default)]
pub(super) struct Oracle {
    runs_by_work: HashMap<Work, u32>,
    runs_by_request: HashMap<usize, u32>,
    reported_not_run: HashSet<usize>,
    /// Crashes under the fatal call, one after the other, of which every daemon knows.
    known_crashes: u32,
    /// Time of the last of them.
    last_crash: Duration,
    /// Whether a run that began after the last known crash has crashed its target.
    crashed_again: bool,
    /// Times at which the fatal call began to run.
    fatal_runs: HashMap<AttemptId, Duration>,
}

impl Oracle {
    pub(super) fn record_run(&mut self, request: &Request) {
        *self.runs_by_request.entry(request.number).or_default() += 1;
        let runs = self.runs_by_work.entry(request.work).or_default();
        *runs += 1;
        assert!(request.repeatable || *runs <= 1, "{:?} ran twice", request.work);
        let not_run = self.reported_not_run.contains(&request.number);
        assert!(!not_run, "a request ran after it was reported as not run");
    }

    /// Records that a call that crashes its target begins to run.
    pub(super) fn record_fatal_run(&mut self, now: Duration, attempt: AttemptId) {
        self.fatal_runs.insert(attempt, now);
        let since = now.saturating_sub(self.last_crash);
        let allowed = self.known_crashes < KNOWN_CRASHES || since >= FATAL_PAUSE;
        assert!(allowed, "a fatal call ran again {since:?} after its last known crash");
    }

    /// Records that a target has crashed while it ran these attempts. A run that began
    /// before the last crash was known adds nothing to what is known.
    pub(super) fn record_crash(&mut self, lost: &[AttemptId]) {
        let mut began = lost.iter().filter_map(|attempt| self.fatal_runs.get(attempt));
        self.crashed_again |= began.any(|at| *at >= self.last_crash);
    }

    /// Records that every daemon knows of the crashes so far.
    pub(super) fn record_reports_delivered(&mut self, now: Duration) {
        if std::mem::take(&mut self.crashed_again) {
            self.known_crashes += 1;
            self.last_crash = now;
        }
    }

    pub(super) fn record_result(&mut self, request: &Request, result: CallResult) {
        if let CallResult::NotRun { .. } = result {
            let runs = self.runs_by_request.get(&request.number).copied().unwrap_or(0);
            assert_eq!(runs, 0, "a request that ran was reported as not run");
            self.reported_not_run.insert(request.number);
        }
    }
}

/// A request of a caller.
#[derive(Clone, Debug)]
pub(super) struct Request {
    pub(super) fingerprint: Fingerprint,
    pub(super) number: usize,
    pub(super) work: Work,
    pub(super) repeatable: bool,
    pub(super) long: bool,
    pub(super) outbound: usize,
    pub(super) deadline: Duration,
}
