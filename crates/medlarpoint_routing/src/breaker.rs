//! A circuit breaker whose states carry a generation number.
//!
//! After "Package Circuit" (buzzfeed/sso): an outcome counts only if its
//! request was sent in the current generation, so that answers from before a
//! change of state cannot undo it.

use std::time::Duration;

/// Failures in a row that open the breaker.
const FAILURE_THRESHOLD: u32 = 3;
/// Successes that close it again.
const SUCCESS_THRESHOLD: u32 = 2;
/// First time it stays open.
const BACKOFF: Duration = Duration::from_millis(250);
/// Longest time it stays open.
const MAX_BACKOFF: Duration = Duration::from_secs(5);

/// Counts the changes of state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Generation(u64);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Closed { failures: u32 },
    Open { until: Duration },
    HalfOpen { successes: u32, trying: u32 },
}

/// The breaker of one endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Breaker {
    state: State,
    generation: Generation,
    trips: u32,
}

impl Default for Breaker {
    fn default() -> Self {
        let state = State::Closed { failures: 0 };
        Self { state, generation: Generation::default(), trips: 0 }
    }
}

impl Breaker {
    /// Tells whether a request may be sent now.
    pub fn allows(&self, now: Duration) -> bool {
        match self.state {
            State::Closed { .. } => true,
            State::Open { until } => now >= until,
            State::HalfOpen { trying, .. } => trying == 0,
        }
    }

    /// Notes that a request is sent and returns its generation.
    pub fn on_sent(&mut self, now: Duration) -> Generation {
        if let State::Open { until } = self.state
            && now >= until
        {
            self.change(State::HalfOpen { successes: 0, trying: 0 });
        }
        if let State::HalfOpen { trying, .. } = &mut self.state {
            *trying += 1;
        }
        self.generation
    }

    /// Notes the outcome of a request of `generation`.
    pub fn on_outcome(&mut self, now: Duration, generation: Generation, success: bool) {
        if generation != self.generation {
            return;
        }
        match (&mut self.state, success) {
            (State::Closed { failures }, true) => *failures = 0,
            (State::Closed { failures }, false) => {
                *failures += 1;
                if *failures >= FAILURE_THRESHOLD {
                    self.trip(now);
                }
            }
            (State::HalfOpen { successes, trying }, true) => {
                *trying = trying.saturating_sub(1);
                *successes += 1;
                if *successes >= SUCCESS_THRESHOLD {
                    self.trips = 0;
                    self.change(State::Closed { failures: 0 });
                }
            }
            (State::HalfOpen { .. }, false) => self.trip(now),
            (State::Open { .. }, _) => {}
        }
    }

    fn trip(&mut self, now: Duration) {
        let backoff = BACKOFF.saturating_mul(1 << self.trips.min(8)).min(MAX_BACKOFF);
        self.trips += 1;
        self.change(State::Open { until: now + backoff });
    }

    fn change(&mut self, state: State) {
        self.state = state;
        self.generation.0 += 1;
    }
}

#[cfg(test)]
mod tests;
