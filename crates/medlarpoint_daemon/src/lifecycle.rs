//! Lifecycle of a daemon: starting, ready, graceful shutdown, closed.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use tokio::sync::watch;

/// Deadlines of a graceful shutdown, on the local clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Shutdown {
    /// Calls that arrive at or after this time are rejected.
    pub(crate) accept_until: Duration,
    /// Time by which every accepted call must have its response.
    pub(crate) respond_until: Duration,
}

/// Lifecycle state of a daemon, with counts of the work that a graceful shutdown
/// waits for.
#[derive(Debug, Default)]
pub(crate) struct Lifecycle {
    ready: AtomicBool,
    /// Set once a graceful shutdown has begun and readiness is withdrawn.
    shutdown: watch::Sender<Option<Shutdown>>,
    /// Set once a graceful shutdown accepts no more calls.
    stopped_accepting: AtomicBool,
    /// Number of calls from callers without a response yet.
    calls: AtomicU64,
    /// Number of open connections of callers and of other daemons' outbound proxies.
    connections: AtomicU64,
    /// Number of changes to the status that operators can watch.
    changes: watch::Sender<u64>,
    /// Set once the daemon closes, which ends all its tasks.
    closed: watch::Sender<bool>,
}

/// Increments a counter until it is dropped.
#[derive(Debug)]
pub(crate) struct CountGuard<'a>(&'a AtomicU64);

impl<'a> CountGuard<'a> {
    pub(crate) fn new(count: &'a AtomicU64) -> Self {
        count.fetch_add(1, Ordering::AcqRel);
        Self(count)
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Lifecycle {
    /// Marks the daemon as ready to serve callers.
    pub(crate) fn mark_ready(&self) {
        self.ready.store(true, Ordering::Release);
        self.notify_change();
    }

    /// Begins a graceful shutdown. A second call has no effect.
    pub(crate) fn begin_shutdown(&self, shutdown: Shutdown) {
        self.shutdown.send_if_modified(|current| {
            let is_first = current.is_none();
            current.get_or_insert(shutdown);
            is_first
        });
    }

    /// Records that the daemon accepts no more calls.
    pub(crate) fn stop_accepting(&self) {
        self.stopped_accepting.store(true, Ordering::Release);
        self.notify_change();
    }

    /// Closes the daemon and wakes every task that waits for this.
    pub(crate) fn close(&self) {
        self.closed.send_replace(true);
    }

    /// Returns whether the daemon has started serving callers.
    pub(crate) fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Acquire)
    }

    /// Returns whether the readiness endpoint reports ready: from the start of service
    /// until a graceful shutdown begins. Calls are still accepted for a time after that.
    pub(crate) fn reports_ready(&self) -> bool {
        self.is_ready() && self.shutdown().is_none()
    }

    /// Returns the deadlines of the graceful shutdown, once it has begun.
    pub(crate) fn shutdown(&self) -> Option<Shutdown> {
        *self.shutdown.borrow()
    }

    /// Returns a channel that holds the deadlines of the graceful shutdown, once it has begun.
    pub(crate) fn subscribe_shutdown(&self) -> watch::Receiver<Option<Shutdown>> {
        self.shutdown.subscribe()
    }

    /// Returns whether a graceful shutdown has ended the acceptance of calls.
    pub(crate) fn has_stopped_accepting(&self) -> bool {
        self.stopped_accepting.load(Ordering::Acquire)
    }

    /// Waits until a graceful shutdown ends the acceptance of calls.
    pub(crate) async fn wait_stopped_accepting(&self) {
        let mut changes = self.changes.subscribe();
        while !self.has_stopped_accepting() {
            if changes.changed().await.is_err() {
                return;
            }
        }
    }

    /// Returns whether the daemon closes or has closed.
    pub(crate) fn is_closed(&self) -> bool {
        *self.closed.borrow()
    }

    /// Waits until the daemon closes.
    pub(crate) async fn wait_closed(&self) {
        let mut closed = self.closed.subscribe();
        // An error means that the sender was dropped, so the daemon is closed.
        let _ = closed.wait_for(|closed| *closed).await;
    }

    /// Notifies watchers of a change to the status.
    pub(crate) fn notify_change(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    /// Returns a channel that holds the number of changes so far.
    pub(crate) fn subscribe_changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Counts a call as pending until the guard is dropped.
    pub(crate) fn track_call(&self) -> CountGuard<'_> {
        CountGuard::new(&self.calls)
    }

    /// Counts a connection as open until the guard is dropped.
    pub(crate) fn track_connection(&self) -> CountGuard<'_> {
        CountGuard::new(&self.connections)
    }

    /// Returns the number of calls without a response yet.
    pub(crate) fn pending_calls(&self) -> usize {
        self.calls.load(Ordering::Acquire) as usize
    }

    /// Returns whether any connection is open.
    pub(crate) fn has_open_connections(&self) -> bool {
        self.connections.load(Ordering::Acquire) > 0
    }
}

#[cfg(test)]
mod tests;
