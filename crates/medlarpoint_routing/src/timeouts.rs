//! How long a caller has waited before its call came here.
//!
//! Callers of a route mostly begin with the same time limit and say how much of
//! it is left. A call with less has been tried before, and its caller has
//! waited for the difference.

use std::time::Duration;

use indexmap::IndexMap;
use medlarpoint_model::Name;

/// Routes remembered.
const MAX_ROUTES: usize = 256;
/// Times this close are the same.
const TOLERANCE: Duration = Duration::from_millis(2);

/// The time limit that most callers begin with, by majority vote.
#[derive(Clone, Copy, Debug)]
struct Usual {
    limit: Duration,
    votes: u32,
}

/// Usual time limits by route.
#[derive(Clone, Debug, Default)]
pub struct Timeouts {
    usual: IndexMap<Name, Usual>,
}

impl Timeouts {
    /// Takes the time left of a call and returns how long its caller has
    /// waited already, as far as can be told.
    pub fn elapsed(&mut self, route: &Name, left: Duration) -> Duration {
        let Some(usual) = self.usual.get_mut(route) else {
            if self.usual.len() >= MAX_ROUTES {
                self.usual.shift_remove_index(0);
            }
            self.usual.insert(route.clone(), Usual { limit: left, votes: 1 });
            return Duration::ZERO;
        };
        if usual.limit.abs_diff(left) <= TOLERANCE {
            usual.votes = usual.votes.saturating_add(1);
            return Duration::ZERO;
        }
        let waited = usual.limit.saturating_sub(left);
        usual.votes -= 1;
        if usual.votes == 0 {
            *usual = Usual { limit: left, votes: 1 };
        }
        waited
    }
}

#[cfg(test)]
mod tests;
