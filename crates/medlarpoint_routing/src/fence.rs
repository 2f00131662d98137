//! Attempts that must not start, or not start again.

use std::time::Duration;

use indexmap::IndexMap;

use crate::AttemptId;

/// Remembers attempts until their deadline, after which they are refused for
/// being late.
#[derive(Clone, Debug, Default)]
pub(crate) struct Fence {
    until: IndexMap<AttemptId, Duration>,
}

impl Fence {
    pub(crate) fn insert(&mut self, attempt: AttemptId, until: Duration) {
        self.until.insert(attempt, until);
    }

    pub(crate) fn contains(&self, attempt: AttemptId) -> bool {
        self.until.contains_key(&attempt)
    }

    pub(crate) fn len(&self) -> usize {
        self.until.len()
    }

    pub(crate) fn collect(&mut self, now: Duration) {
        self.until.retain(|_, until| *until > now);
    }
}
