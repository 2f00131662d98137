//! Attempts that ended lately.

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexSet;

use crate::AttemptId;

/// Attempts remembered at a time.
const MAX_ATTEMPTS: usize = 50_000;
/// Time for which an ended attempt is remembered.
const RETENTION: Duration = Duration::from_secs(20);

/// Remembers ended attempts, and up to when the memory has gaps.
///
/// Invariant: an attempt that ended after `horizon` is in `attempts`.
#[derive(Clone, Debug, Default)]
pub(crate) struct Recent {
    order: VecDeque<(Duration, AttemptId)>,
    attempts: IndexSet<AttemptId>,
    horizon: Duration,
}

impl Recent {
    pub(crate) fn insert(&mut self, now: Duration, attempt: AttemptId) {
        if self.attempts.insert(attempt) {
            self.order.push_back((now, attempt));
        }
        if self.order.len() > MAX_ATTEMPTS {
            self.forget_oldest();
        }
    }

    pub(crate) fn contains(&self, attempt: AttemptId) -> bool {
        self.attempts.contains(&attempt)
    }

    /// Tells whether an attempt sent after `sent` would still be remembered.
    pub(crate) fn covers(&self, sent: Duration) -> bool {
        sent > self.horizon
    }

    pub(crate) fn collect(&mut self, now: Duration) {
        while self.order.front().is_some_and(|(at, _)| *at + RETENTION < now) {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        let Some((at, attempt)) = self.order.pop_front() else {
            return;
        };
        self.horizon = self.horizon.max(at);
        self.attempts.swap_remove(&attempt);
    }
}
