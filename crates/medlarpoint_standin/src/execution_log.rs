//! What targets ran, to be compared with what callers were told.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// One execution.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Execution {
    /// Whether the caller gave an idempotency key.
    pub keyed: bool,
    /// Identity given by the caller.
    pub request: String,
    /// Name of the target.
    pub target: String,
}

/// Counts executions by the identity that callers give their requests.
#[derive(Clone, Debug, Default)]
pub struct ExecutionLog {
    runs: Arc<Mutex<HashMap<String, Vec<Execution>>>>,
}

impl ExecutionLog {
    /// Notes an execution.
    pub fn record(&self, run: Execution) {
        self.lock().entry(run.request.clone()).or_default().push(run);
    }

    /// Returns how often a request ran.
    pub fn count(&self, request: &str) -> usize {
        self.lock().get(request).map_or(0, Vec::len)
    }

    /// Returns the number of keyed requests that ran more than once.
    pub fn duplicates(&self) -> usize {
        let runs = self.lock();
        runs.values().filter(|runs| runs.len() > 1 && runs.iter().any(|run| run.keyed)).count()
    }

    /// Returns the number of executions.
    pub fn total(&self) -> usize {
        self.lock().values().map(Vec::len).sum()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, Vec<Execution>>> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
