//! A member of the fleet, as known to the local daemon.

use std::time::Duration;

use medlarpoint_wire::Record;

/// A member record with local bookkeeping.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Newest record known.
    pub record: Record,
    /// Time of the last change of liveness, on the local clock.
    pub status_since: Duration,
    /// Time since which the member has been live without a break, on the local clock; of no
    /// meaning if it is not live.
    pub live_since: Duration,
}
