//! Recent rate of calls.

use std::time::Duration;

/// Time constant of the average. Several intervals between requests fit into it.
const TIME_CONSTANT_S: f64 = 0.5;

/// Exponentially weighted rate of calls.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Arrivals {
    per_s: f64,
    as_of: Duration,
}

impl Arrivals {
    pub(super) fn record(&mut self, now: Duration) {
        self.per_s = self.per_second(now) + 1.0 / TIME_CONSTANT_S;
        self.as_of = now;
    }

    pub(super) fn per_second(&self, now: Duration) -> f64 {
        let elapsed_s = now.saturating_sub(self.as_of).as_secs_f64();
        self.per_s * (-elapsed_s / TIME_CONSTANT_S).exp()
    }
}
