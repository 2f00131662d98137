//! Attempts that must not be started.

use std::time::Duration;

use indexmap::IndexMap;

use crate::AttemptId;

/// Fenced attempts with the time at which each fence expires. By then the
/// attempt has passed its deadline and is rejected as late if it arrives.
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

    /// Removes fences that have expired.
    pub(crate) fn evict_expired(&mut self, now: Duration) {
        self.until.retain(|_, until| *until > now);
    }
}
