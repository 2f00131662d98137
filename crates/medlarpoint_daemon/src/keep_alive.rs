//! Decides whether a caller's connection is kept after a response.
//!
//! Callers that retry open a connection per attempt and keep the earlier ones. Under
//! overload, thousands of idle connections would take the memory and the descriptors
//! that calls need.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::lifecycle::CountGuard;

/// The connections of callers.
#[derive(Debug)]
pub(crate) struct Connections {
    open: AtomicU64,
    /// Number of idle connections above which a connection is closed after its
    /// response.
    max_idle: usize,
}

impl Connections {
    /// Creates the state without connections.
    pub(crate) fn new(max_idle: usize) -> Self {
        Self { open: AtomicU64::new(0), max_idle }
    }

    /// Counts a connection as open until the guard is dropped.
    pub(crate) fn track(&self) -> CountGuard<'_> {
        CountGuard::new(&self.open)
    }

    /// Returns whether to keep a connection whose call has just ended, while
    /// `pending_calls` other calls have no response yet.
    pub(crate) fn keeps_alive(&self, pending_calls: usize) -> bool {
        let open = self.open.load(Ordering::Acquire) as usize;
        let idle = open.saturating_sub(pending_calls);
        idle <= self.max_idle
    }
}

#[cfg(test)]
mod tests;
