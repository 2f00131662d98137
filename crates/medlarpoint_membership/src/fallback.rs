//! Store reads by other daemons when no read by the readers has arrived for too
//! long.
//!
//! If the readers are unreachable from a region and all of its daemons read a
//! large configuration at once, they saturate the link to the store and none of
//! them completes in time. They therefore start one after the other in the order
//! of their ranks, and each successful read is broadcast to the others.

use std::time::Duration;

/// Time between the starts of two daemons: long enough for a read over a fast
/// link and its broadcast.
const STAGGER: Duration = Duration::from_millis(250);
/// Number of daemons that read on behalf of the others. The rest start last, all
/// at once: by then the store is likely unreachable for the first ones.
const BROADCASTERS: usize = 4;

/// Returns how long a daemon of this rank waits before it reads the store, once
/// the last known read has become too old.
pub fn delay(rank: usize) -> Duration {
    STAGGER * rank.min(BROADCASTERS) as u32
}

/// Returns whether a daemon of this rank broadcasts its reads.
pub fn broadcasts(rank: usize) -> bool {
    rank < BROADCASTERS
}

#[cfg(test)]
mod tests;
