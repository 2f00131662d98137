//! Decides whether a caller's connection is kept after a response.
//!
//! Callers that retry open a connection per attempt and keep the earlier ones. Under
//! overload, thousands of idle connections would take the memory and the descriptors
//! that calls need.

use std::sync::atomic::{AtomicUsize, Ordering};

/// The connections of callers.
#[derive(Debug)]
pub(crate) struct Connections {
    open: AtomicUsize,
    /// Number of idle connections above which a connection is closed after its
    /// response.
    max_idle: usize,
}

/// Counts a connection as open until it is dropped.
#[derive(Debug)]
pub(crate) struct OpenConnection<'a>(&'a AtomicUsize);

impl Drop for OpenConnection<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Connections {
    /// Creates the state without connections.
    pub(crate) fn new(max_idle: usize) -> Self {
        Self { open: AtomicUsize::new(0), max_idle }
    }

    /// Counts a connection as open until the guard is dropped.
    pub(crate) fn track(&self) -> OpenConnection<'_> {
        self.open.fetch_add(1, Ordering::AcqRel);
        OpenConnection(&self.open)
    }

    /// Returns whether to keep a connection whose call has just ended, while
    /// `pending_calls` other calls have no response yet.
    pub(crate) fn keeps_alive(&self, pending_calls: usize) -> bool {
        let idle = self.open.load(Ordering::Acquire).saturating_sub(pending_calls);
        idle <= self.max_idle
    }
}

#[cfg(test)]
mod tests;
