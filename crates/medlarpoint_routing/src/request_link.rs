//! The link over which a VM receives large request bodies.

use std::time::Duration;

use crate::link::Link;

/// Limit of the request bodies that are on the link at a time, in bytes.
const BODY_IN_TRANSFER_BYTES: usize = 128 * 1024;

/// A link with the request bodies that it has to carry. Each is reserved a time at which
/// its sender may start.
#[derive(Clone, Debug, Default)]
pub struct RequestLink {
    link: Link,
    /// Size of the bodies that are admitted and not complete, in bytes.
    receiving_bytes: usize,
}

impl RequestLink {
    /// Creates a link with a rate in megabits per second; without a rate, bodies are
    /// never delayed.
    pub fn new(megabits: Option<f64>) -> Self {
        Self { link: Link::for_requests(megabits), receiving_bytes: 0 }
    }

    /// Records that an admitted body is complete or will not be.
    pub fn body_ended(&mut self, bytes: usize) {
        self.receiving_bytes = self.receiving_bytes.saturating_sub(bytes);
    }

    /// Returns whether bodies of a size are received one after the other.
    pub(crate) fn shapes(&self, bytes: usize) -> bool {
        self.link.shapes(bytes)
    }

    /// Returns the time that the link takes for a body.
    pub(crate) fn transfer_time(&self, bytes: usize) -> Duration {
        self.link.transfer_time(bytes as f64)
    }

    /// Returns the time at which the next body can be started. Bodies may take longer
    /// than reserved, so those that are not complete count as well; up to
    /// [`BODY_IN_TRANSFER_BYTES`] of them are on the link now.
    pub(crate) fn next_start(&self, now: Duration) -> Duration {
        let waiting = self.receiving_bytes.saturating_sub(BODY_IN_TRANSFER_BYTES);
        let drained = now + self.transfer_time(waiting);
        self.link.next_start(now).max(drained)
    }

    /// Admits a body that starts at a given time, which is not before
    /// [`RequestLink::next_start`].
    pub(crate) fn admit(&mut self, start: Duration, bytes: usize) {
        self.link.reserve_from(start, bytes);
        self.receiving_bytes += bytes;
    }

    /// Releases the time of an admitted body that was not started.
    pub(crate) fn release(&mut self, bytes: usize) {
        self.link.release(bytes);
    }
}

#[cfg(test)]
mod tests;
