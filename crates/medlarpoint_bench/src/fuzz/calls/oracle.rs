//! Oracle that compares executions with the results that callers got.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use medlarpoint_routing::{CallResult, IdempotencyKey};

/// Identity of a piece of work: requests with the same key are the same work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) enum Work {
    Keyed(IdempotencyKey),
    Single(usize),
}

/// Counts executions and records the results that callers got.
#[derive(Debug, Default)]
pub(super) struct Oracle {
    runs_by_work: HashMap<Work, u32>,
    runs_by_request: HashMap<usize, u32>,
    reported_not_run: HashSet<usize>,
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
    pub(super) number: usize,
    pub(super) work: Work,
    pub(super) repeatable: bool,
    pub(super) long: bool,
    pub(super) outbound: usize,
    pub(super) deadline: Duration,
}
