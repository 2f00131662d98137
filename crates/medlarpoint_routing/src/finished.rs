//! Attempts that finished recently.

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexSet;

use crate::AttemptId;

/// Limit of the attempts remembered at a time.
const MAX_ATTEMPTS: usize = 50_000;
/// Time for which a finished attempt is remembered.
const RETENTION: Duration = Duration::from_secs(20);

/// Finished attempts, and the time up to which some have been evicted.
///
/// Invariant: an attempt that finished after `horizon` is in `attempts`.
#[derive(Clone, Debug, Default)]
pub(crate) struct Finished {
    order: VecDeque<(Duration, AttemptId)>,
    attempts: IndexSet<AttemptId>,
    horizon: Duration,
}

impl Finished {
    pub(crate) fn insert(&mut self, now: Duration, attempt: AttemptId) {
        if self.attempts.insert(attempt) {
            self.order.push_back((now, attempt));
        }
        if self.order.len() > MAX_ATTEMPTS {
            self.evict_oldest();
        }
    }

    pub(crate) fn contains(&self, attempt: AttemptId) -> bool {
        self.attempts.contains(&attempt)
    }

    /// Returns whether every attempt that was sent at `sent` or later and has
    /// finished is still remembered.
    pub(crate) fn covers(&self, sent: Duration) -> bool {
        sent > self.horizon
    }

    /// Evicts attempts whose retention has expired.
    pub(crate) fn evict_expired(&mut self, now: Duration) {
        while self.order.front().is_some_and(|(at, _)| *at + RETENTION < now) {
            self.evict_oldest();
        }
    }

    fn evict_oldest(&mut self) {
        let Some((at, attempt)) = self.order.pop_front() else {
            return;
        };
        self.horizon = self.horizon.max(at);
        self.attempts.swap_remove(&attempt);
    }
}
