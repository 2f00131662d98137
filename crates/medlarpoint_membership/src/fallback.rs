//! Store reads by other daemons when no read by the readers has arrived for too
//! long.
//!
//! If the readers are unreachable from a region and all of its daemons read a
//! large configuration at once, they saturate the link to the store and none of
//! them completes in time. They therefore start one after the other in the order
//! of their ranks, and each successful read is broadcast to the others.

use std::time::Duration;

/// Age of the last store read after which the first daemon reads the store: the
/// duration of a watch, the time to broadcast its end, and a margin for jitter.
const MAX_READ_AGE: Duration = Duration::from_millis(1_250);
/// Time between the starts of two daemons: long enough for a read over a fast
/// link and its broadcast.
const STAGGER: Duration = Duration::from_millis(250);
/// Number of daemons that read on behalf of the others. The rest start last, all
/// at once: by then the store is likely unreachable for the first ones.
const BROADCASTERS: usize = 4;

/// Returns the age of the last known read after which a daemon of this rank reads
/// the store.
pub fn max_read_age(rank: usize) -> Duration {
    MAX_READ_AGE + delay(rank)
}

/// Returns how long a daemon of this rank waits before it reads the store, once
/// the last known read has become too old.
fn delay(rank: usize) -> Duration {
    STAGGER * rank.min(BROADCASTERS) as u32
}

/// Returns whether a daemon of this rank broadcasts its reads.
pub fn broadcasts(rank: usize) -> bool {
    rank < BROADCASTERS
}

#[cfg(test)]
mod tests;
