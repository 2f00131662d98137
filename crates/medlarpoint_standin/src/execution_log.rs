//! Log of the requests that targets ran, to compare with the responses that callers
//! got.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// One execution of a request by a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Execution {
    /// Whether the request had an idempotency key.
    pub keyed: bool,
    /// Identity that the caller assigned to the request.
    pub request: String,
    /// Name of the target.
    pub target: String,
    /// Time at which the target began to run it.
    pub at: Instant,
}

/// Records executions by the identity of their request. Clones share the log.
#[derive(Clone, Debug, Default)]
pub struct ExecutionLog {
    executions: Arc<Mutex<HashMap<String, Vec<Execution>>>>,
}

impl ExecutionLog {
    /// Records an execution.
    pub fn record(&self, execution: Execution) {
        self.lock().entry(execution.request.clone()).or_default().push(execution);
    }

    /// Returns the number of executions of a request.
    pub fn count(&self, request: &str) -> usize {
        self.lock().get(request).map_or(0, Vec::len)
    }

    /// Returns the executions of a request.
    pub fn executions(&self, request: &str) -> Vec<Execution> {
        self.lock().get(request).cloned().unwrap_or_default()
    }

    /// Returns the number of keyed requests that ran more than once.
    pub fn duplicates(&self) -> usize {
        let executions = self.lock();
        executions
            .values()
            .filter(|executions| {
                executions.len() > 1 && executions.iter().any(|execution| execution.keyed)
            })
            .count()
    }

    /// Returns the number of all executions.
    pub fn total(&self) -> usize {
        self.lock().values().map(Vec::len).sum()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, Vec<Execution>>> {
        self.executions.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
