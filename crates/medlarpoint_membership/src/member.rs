//! A member as the local daemon sees it.

use std::time::Duration;

use medlarpoint_wire::Record;

/// A record with local bookkeeping.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Newest record.
    pub record: Record,
    /// When the liveness last changed, on the local clock.
    pub status_since: Duration,
}
