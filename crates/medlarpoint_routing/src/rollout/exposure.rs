//! Share of a daemon's calls that the new version gets before it is judged good.

use super::canary::CANARY_SHARE;

/// Decides which calls the new version gets.
///
/// Invariant: of any `n` calls in a row, at most `CANARY_SHARE * n + 1` are exposed. A random
/// start makes the mean over many daemons `CANARY_SHARE`, also if each has a few calls only,
/// so that the bound of the fleet holds whoever restarts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Exposure {
    /// Credit in calls; a call is exposed when it reaches one.
    credit: f64,
    calls: u64,
    exposed: u64,
}

impl Exposure {
    /// Creates a count. `start` is uniformly random in `0..1`.
    pub fn new(start: f64) -> Self {
        Self { credit: start.clamp(0.0, 1.0), calls: 0, exposed: 0 }
    }

    /// Counts a call and returns whether the new version gets it. `is_possible` states
    /// whether a canary target is ready; credit beyond one call is not saved up, since a
    /// target that has just started would get it all at once.
    pub fn next(&mut self, is_possible: bool) -> bool {
        self.calls += 1;
        self.credit += CANARY_SHARE;
        if !is_possible || self.credit < 1.0 {
            self.credit = self.credit.min(1.0);
            return false;
        }
        self.credit -= 1.0;
        self.exposed += 1;
        true
    }

    /// Returns the number of calls counted, and of those exposed.
    pub fn counts(&self) -> (u64, u64) {
        (self.calls, self.exposed)
    }
}

#[cfg(test)]
mod tests;
