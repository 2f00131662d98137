//! How old the configuration in force may be.

use std::time::Duration;

/// When somebody last read the store, as far as this daemon knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Freshness {
    read_at: Duration,
}

impl Freshness {
    /// Notes that the store was read `age` ago. Returns whether that is news.
    pub fn confirmed(&mut self, now: Duration, age: Duration) -> bool {
        let read_at = now.saturating_sub(age);
        if read_at <= self.read_at {
            return false;
        }
        self.read_at = read_at;
        true
    }

    /// Returns the time since the store was last read.
    pub fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.read_at)
    }
}

#[cfg(test)]
mod tests;
