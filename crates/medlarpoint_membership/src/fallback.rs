//! Who reads the store when its readers have fallen silent.
//!
//! If all daemons of a region that has lost sight of the readers read a large
//! configuration at once, they fill the link to the store, and none of them
//! gets it in time. So they begin one after the other, and each success is
//! passed on to the rest.

use std::time::Duration;

/// Time between the beginnings of two daemons: a reading over a good link, and
/// the time to pass it on.
const STEP: Duration = Duration::from_millis(250);
/// Daemons that read for the others. The rest begins last, all at once: by then
/// it is likely that the others have lost their way to the store.
const FIRST: usize = 4;

/// Returns how long a daemon of a rank waits after the last reading has become
/// too old.
pub fn delay(rank: usize) -> Duration {
    STEP * rank.min(FIRST) as u32
}

/// Tells whether a daemon of a rank passes its readings on.
pub fn broadcasts(rank: usize) -> bool {
    rank < FIRST
}

#[cfg(test)]
mod tests;
