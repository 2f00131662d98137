//! Knows only what ran and what callers were told.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use medlarpoint_routing::{CallResult, IdempotencyKey};

/// What is asked for: an idempotency key, or a single request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) enum Work {
    Keyed(IdempotencyKey),
    Single(usize),
}

/// Counts executions and remembers what callers were told.
#[derive(Debug, Default)]
pub(super) struct Oracle {
    runs: HashMap<Work, u32>,
    runs_of_request: HashMap<usize, u32>,
    told_not_run: HashSet<usize>,
}

impl Oracle {
    pub(super) fn ran(&mut self, request: &Request) {
        *self.runs_of_request.entry(request.number).or_default() += 1;
        let runs = self.runs.entry(request.work).or_default();
        *runs += 1;
        assert!(request.repeatable || *runs <= 1, "{:?} ran twice", request.work);
        let refused = self.told_not_run.contains(&request.number);
        assert!(!refused, "a request ran that was told it did not");
    }

    pub(super) fn told(&mut self, request: &Request, outcome: CallResult) {
        if let CallResult::NotRun { .. } = outcome {
            let runs = self.runs_of_request.get(&request.number).copied().unwrap_or(0);
            assert_eq!(runs, 0, "a request that ran was told it did not");
            self.told_not_run.insert(request.number);
        }
    }
}

#[derive(Clone, Debug)]
pub(super) struct Request {
    pub(super) number: usize,
    pub(super) work: Work,
    pub(super) repeatable: bool,
    pub(super) long: bool,
    pub(super) outbound: usize,
    pub(super) deadline: Duration,
}
