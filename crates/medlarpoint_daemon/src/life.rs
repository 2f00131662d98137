//! The life of a daemon: starting, serving, stopping as planned, closed.

use std::sync::OnceLock;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use tokio::sync::watch;

/// The times of a planned stop, on the local clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Stop {
    /// Calls that come later are refused.
    pub(crate) last_call: Duration,
    /// Calls are answered by then.
    pub(crate) last_answer: Duration,
}

/// Where a daemon stands in its life, and what still holds its end up.
#[derive(Debug, Default)]
pub(crate) struct Life {
    ready: AtomicBool,
    /// Set once a planned stop has begun: no new callers should come.
    stop: OnceLock<Stop>,
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
pub(crate) struct Counted<'a>(&'a AtomicU64);

impl<'a> Counted<'a> {
    fn new(count: &'a AtomicU64) -> Self {
        count.fetch_add(1, Ordering::AcqRel);
        Self(count)
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Life {
    /// Lets callers in.
    pub(crate) fn serve(&self) {
        self.ready.store(true, Ordering::Release);
        self.changed();
    }

    /// Begins a planned stop. A second order to stop changes nothing.
    pub(crate) fn begin_stop(&self, stop: Stop) {
        let _ = self.stop.set(stop);
    }

    /// Lets no more calls in.
    pub(crate) fn end_calls(&self) {
        self.stopping.store(true, Ordering::Release);
        self.changed();
    }

    /// Ends everything that waits for the daemon to close.
    pub(crate) fn close(&self) {
        self.closed.send_replace(true);
    }

    pub(crate) fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Acquire)
    }

    /// Tells whether new callers should come.
    pub(crate) fn takes_callers(&self) -> bool {
        self.is_ready() && self.stop_at().is_none()
    }

    /// Returns the times of the planned stop, once it has begun.
    pub(crate) fn stop_at(&self) -> Option<Stop> {
        self.stop.get().copied()
    }

    /// Tells whether a planned stop has let its last call in.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Waits until a planned stop has let its last call in.
    pub(crate) async fn wait_stopping(&self) {
        let mut changes = self.changes.subscribe();
        while !self.is_stopping() {
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
    pub(crate) fn changed(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    /// Returns the number of changes so far, to watch.
    pub(crate) fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Counts a call while it is being answered.
    pub(crate) fn call(&self) -> Counted<'_> {
        Counted::new(&self.calls)
    }

    /// Counts a connection while it is open.
    pub(crate) fn connection(&self) -> Counted<'_> {
        Counted::new(&self.connections)
    }

    /// Returns the number of calls that are not answered.
    pub(crate) fn calls(&self) -> usize {
        self.calls.load(Ordering::Acquire) as usize
    }

    /// Tells whether a connection is open.
    pub(crate) fn has_connections(&self) -> bool {
        self.connections.load(Ordering::Acquire) > 0
    }
}

#[cfg(test)]
mod tests;
