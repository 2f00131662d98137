//! Store reads by other daemons when no read by the readers has arrived for too
//! long.
//!
//! If the readers are unreachable from a region and all of its daemons read a
//! large configuration at once, they saturate the link to the store and none of
//! them completes in time. They therefore start in groups in the order of their
//! ranks, and each successful read is broadcast to the others.

use std::time::Duration;

/// Duration of a watch, as a fraction of the time within which a version has to be in
/// force.
const WATCH_FRACTION: f64 = 0.25;
/// Age of the last known read after which the first daemon reads the store, as a
/// fraction of the same time: a watch, the broadcast of its end, and a margin.
const MAX_READ_AGE_FRACTION: f64 = 0.4;
/// Groups of daemons that start one after the other. The first ones are single daemons,
/// to spare the link; the later ones are larger, because daemons may be dead that are not
/// known to be, and the time left does not allow for one at a time.
const GROUPS: [Group; 4] = [
    Group { ranks_below: 1, delay_fraction: 0.0 },
    Group { ranks_below: 2, delay_fraction: 0.125 },
    Group { ranks_below: 3, delay_fraction: 0.25 },
    Group { ranks_below: BROADCASTERS, delay_fraction: 0.325 },
];
/// Number of daemons that read on behalf of the others. The rest start last, all
/// at once: by then the store is likely unreachable for the first ones.
const BROADCASTERS: usize = 7;
/// Delay of the rest, as a fraction of the time within which a version has to be in force.
const LAST_DELAY_FRACTION: f64 = 0.4;

/// Daemons that start at the same time.
struct Group {
    /// Upper end of the ranks, exclusive.
    ranks_below: usize,
    /// Delay after the first group, as a fraction of the time within which a version has
    /// to be in force.
    delay_fraction: f64,
}

/// Returns the limit on the duration of a watch. A watch that ends without a change shows
/// that the store is still reachable.
///
/// `propagation` is the time within which an acknowledged version has to be in force.
pub fn watch_timeout(propagation: Duration) -> Duration {
    propagation.mul_f64(WATCH_FRACTION)
}

/// Returns the age of the last known read after which a daemon of this rank reads the
/// store.
///
/// `propagation` is the time within which an acknowledged version has to be in force. A
/// version may be acknowledged right after the last read, so the last group has to start
/// early enough to read it and put it into force by then.
pub fn max_read_age(propagation: Duration, rank: usize) -> Duration {
    propagation.mul_f64(MAX_READ_AGE_FRACTION) + delay(propagation, rank)
}

/// Returns how long a daemon of this rank waits before it reads the store, once the last
/// known read has become too old for the first one.
fn delay(propagation: Duration, rank: usize) -> Duration {
    let group = GROUPS.iter().find(|group| rank < group.ranks_below);
    propagation.mul_f64(group.map_or(LAST_DELAY_FRACTION, |group| group.delay_fraction))
}

/// Returns whether a daemon of this rank broadcasts its reads.
pub fn broadcasts(rank: usize) -> bool {
    rank < BROADCASTERS
}

#[cfg(test)]
mod tests;
