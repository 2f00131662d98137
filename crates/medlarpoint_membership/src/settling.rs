//! Decides when a store that responds again may be relied on for what it does not hold.

use std::time::Duration;

/// Time for which a store has to respond before a missing value proves anything: within it,
/// what an outage has removed is written again.
pub(crate) const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Reads of the store that have succeeded without a failure in between.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Settling {
    /// Time when the first of them was answered, and when the last one was sent.
    span: Option<(Duration, Duration)>,
}

impl Settling {
    /// Records a successful read.
    pub(crate) fn on_read(&mut self, sent_at: Duration, now: Duration) {
        let since = self.span.map_or(now, |(since, _)| since);
        self.span = Some((since, sent_at));
    }

    /// Records that the store has not answered.
    pub(crate) fn on_error(&mut self) {
        self.span = None;
    }

    /// Returns whether the last read has succeeded.
    pub(crate) fn is_answered(&self) -> bool {
        self.span.is_some()
    }

    /// Returns whether a read that is sent now would tell more than the last one.
    pub(crate) fn needs_read(&self, now: Duration) -> bool {
        self.span.is_none_or(|(since, _)| now.saturating_sub(since) >= SETTLE_TIME)
    }

    /// Returns whether the last read was sent once the store had been responding for long
    /// enough.
    pub(crate) fn is_settled(&self) -> bool {
        self.span.is_some_and(|(since, read_at)| read_at.saturating_sub(since) >= SETTLE_TIME)
    }
}
