//! The life of a daemon: starting, serving, stopping as planned, closed.

use std::sync::OnceLock;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use tokio::sync::watch;

/// The times of a planned stop, on the local clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Shutdown {
    /// Calls that come later are refused.
    pub(crate) accept_until: Duration,
    /// Calls are answered by then.
    pub(crate) respond_until: Duration,
}

/// Where a daemon stands in its life, and what still holds its end up.
#[derive(Debug, Default)]
pub(crate) struct Lifecycle {
    ready: AtomicBool,
    /// Set once a planned stop has begun: no new callers should come.
    shutdown: OnceLock<Shutdown>,
    /// A planned stop lets no more calls in.
    stopping: AtomicBool,
    /// Calls from callers that are not answered yet.
    calls: AtomicU64,
    /// Open connections of callers and of other daemons' outbound proxies.
    connections: AtomicU64,
    /// Counts changes that operators can watch.
    changes: watch::Sender<u64>,
    /// Set once the daemon closes.
    closed: watch::Sender<bool>,
}

/// Something under way, until it is dropped.
#[derive(Debug)]
pub(crate) struct CountGuard<'a>(&'a AtomicU64);

impl<'a> CountGuard<'a> {
    fn new(count: &'a AtomicU64) -> Self {
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
    /// Lets callers in.
    pub(crate) fn mark_ready(&self) {
        self.ready.store(true, Ordering::Release);
        self.notify_change();
    }

    /// Begins a planned stop. A second order to stop changes nothing.
    pub(crate) fn begin_shutdown(&self, shutdown: Shutdown) {
        let _ = self.shutdown.set(shutdown);
    }

    /// Lets no more calls in.
    pub(crate) fn stop_accepting(&self) {
        self.stopping.store(true, Ordering::Release);
        self.notify_change();
    }

    /// Ends everything that waits for the daemon to close.
    pub(crate) fn close(&self) {
        self.closed.send_replace(true);
    }

    pub(crate) fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Acquire)
    }

    /// Tells whether new callers should come.
    pub(crate) fn reports_ready(&self) -> bool {
        self.is_ready() && self.shutdown().is_none()
    }

    /// Returns the times of the planned stop, once it has begun.
    pub(crate) fn shutdown(&self) -> Option<Shutdown> {
        self.shutdown.get().copied()
    }

    /// Tells whether a planned stop has let its last call in.
    pub(crate) fn has_stopped_accepting(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Waits until a planned stop has let its last call in.
    pub(crate) async fn wait_stopped_accepting(&self) {
        let mut changes = self.changes.subscribe();
        while !self.has_stopped_accepting() {
            if changes.changed().await.is_err() {
                return;
            }
        }
    }

    /// Waits until the daemon closes.
    pub(crate) async fn wait_closed(&self) {
        let mut closed = self.closed.subscribe();
        // An error means that the daemon is gone, which is closed as well.
        let _ = closed.wait_for(|closed| *closed).await;
    }

    /// Tells those who watch that something has changed.
    pub(crate) fn notify_change(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    /// Returns the number of changes so far, to watch.
    pub(crate) fn subscribe_changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Counts a call while it is being answered.
    pub(crate) fn track_call(&self) -> CountGuard<'_> {
        CountGuard::new(&self.calls)
    }

    /// Counts a connection while it is open.
    pub(crate) fn track_connection(&self) -> CountGuard<'_> {
        CountGuard::new(&self.connections)
    }

    /// Returns the number of calls that are not answered.
    pub(crate) fn pending_calls(&self) -> usize {
        self.calls.load(Ordering::Acquire) as usize
    }

    /// Tells whether a connection is open.
    pub(crate) fn has_open_connections(&self) -> bool {
        self.connections.load(Ordering::Acquire) > 0
    }
}

#[cfg(test)]
mod tests;
