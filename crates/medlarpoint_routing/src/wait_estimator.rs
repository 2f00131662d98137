//! Estimates how long a caller has waited before its call arrived here.
//!
//! Most callers of a route start with the same timeout and send the time that
//! remains of it. A call with less time remaining has been tried before, and
//! its caller has waited for the difference.

use std::time::Duration;

use indexmap::IndexMap;
use medlarpoint_model::Name;

/// Limit of the routes remembered.
const MAX_ROUTES: usize = 256;
/// Remaining times that differ by no more than this count as equal.
const TOLERANCE: Duration = Duration::from_millis(2);

/// The timeout that most callers start with, found by majority vote.
#[derive(Clone, Copy, Debug)]
struct Usual {
    timeout: Duration,
    votes: u32,
}

/// Usual timeout of the callers of each route.
#[derive(Clone, Debug, Default)]
pub struct WaitEstimator {
    usual: IndexMap<Name, Usual>,
}

impl WaitEstimator {
    /// Records the time that remains for a call and returns the estimate of
    /// how long its caller has waited already; zero if nothing indicates an
    /// earlier attempt.
    pub fn elapsed(&mut self, route: &Name, remaining: Duration) -> Duration {
        let Some(usual) = self.usual.get_mut(route) else {
            if self.usual.len() >= MAX_ROUTES {
                self.usual.shift_remove_index(0);
            }
            self.usual.insert(route.clone(), Usual { timeout: remaining, votes: 1 });
            return Duration::ZERO;
        };
        if usual.timeout.abs_diff(remaining) <= TOLERANCE {
            usual.votes = usual.votes.saturating_add(1);
            return Duration::ZERO;
        }
        let elapsed = usual.timeout.saturating_sub(remaining);
        usual.votes -= 1;
        if usual.votes == 0 {
            *usual = Usual { timeout: remaining, votes: 1 };
        }
        elapsed
    }
}

#[cfg(test)]
mod tests;
