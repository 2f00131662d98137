//! Idle connections to one address.
//!
//! A burst opens a connection per concurrent request. Most of them are not needed
//! afterwards, and each takes memory at both of its ends. Connections are therefore
//! reused in the order of their last use, newest first, and those that are left over
//! are closed soon.

use std::time::{Duration, Instant};

/// Time after which the last idle connection to an address is closed, unless the
/// other end closes it earlier.
pub(crate) const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Limits on the idle connections to an address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Retention {
    /// Limit on the number of idle connections.
    max_idle: usize,
    /// Time after which idle connections are closed, except for the one that was used
    /// last.
    spare_timeout: Duration,
}

impl Retention {
    /// Connections to other daemons, which are cheap to open again.
    pub(crate) const PEER: Self =
        Self { max_idle: 16, spare_timeout: Duration::from_millis(1_500) };
    /// Connections to the target, which may take a slot to open.
    pub(crate) const TARGET: Self = Self { max_idle: 64, spare_timeout: IDLE_TIMEOUT };
}

/// A connection that waits for its next request.
#[derive(Debug)]
struct Entry<T> {
    connection: T,
    /// Time of the last response.
    last_used: Instant,
    /// Idle time for which the connection may be reused.
    reuse_limit: Duration,
}

/// Idle connections to one address.
#[derive(Debug)]
pub(crate) struct Stack<T> {
    retention: Retention,
    /// Connections in the order of their last use, newest last.
    entries: Vec<Entry<T>>,
}

impl<T> Stack<T> {
    /// Creates a stack without connections.
    pub(crate) fn new(retention: Retention) -> Self {
        Self { retention, entries: Vec::new() }
    }

    /// Returns whether there are no connections.
    pub(crate) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Adds a connection that was used just now. It is dropped, and so closed, if there
    /// are enough.
    pub(crate) fn push(&mut self, now: Instant, connection: T, reuse_limit: Duration) {
        if self.entries.len() < self.retention.max_idle {
            self.entries.push(Entry { connection, last_used: now, reuse_limit });
        }
    }

    /// Takes the connection that was used last among those that are suitable and have been
    /// idle for less than `max_idle_time`. Closes those that were idle for longer on the way.
    pub(crate) fn take(
        &mut self,
        now: Instant,
        max_idle_time: Duration,
        is_suitable: impl Fn(&T) -> bool,
    ) -> Option<T> {
        for index in (0..self.entries.len()).rev() {
            let entry = &self.entries[index];
            if entry.idle_time(now) >= max_idle_time.min(entry.reuse_limit) {
                self.entries.remove(index);
            } else if is_suitable(&entry.connection) {
                return Some(self.entries.remove(index).connection);
            }
        }
        None
    }

    /// Closes the connections that were idle for too long or that `is_closed`.
    pub(crate) fn evict(&mut self, now: Instant, is_closed: impl Fn(&T) -> bool) {
        self.entries.retain(|entry| !is_closed(&entry.connection));
        let spare = self.entries.len().saturating_sub(1);
        let spare_timeout = self.retention.spare_timeout;
        let mut index = 0;
        self.entries.retain(|entry| {
            let limit = if index < spare { spare_timeout } else { IDLE_TIMEOUT };
            index += 1;
            entry.idle_time(now) < limit.min(entry.reuse_limit)
        });
    }
}

impl<T> Entry<T> {
    fn idle_time(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.last_used)
    }
}

#[cfg(test)]
mod tests;
