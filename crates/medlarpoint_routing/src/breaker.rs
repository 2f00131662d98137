//! A circuit breaker whose states carry a generation number.
//!
//! Modelled on "Package Circuit" (buzzfeed/sso): an outcome counts only if its
//! request was sent in the current generation, so that responses from before a
//! change of state cannot undo it.

use std::time::Duration;

/// Consecutive failures that open the breaker.
const FAILURE_THRESHOLD: u32 = 3;
/// Successes that close a half-open breaker.
const SUCCESS_THRESHOLD: u32 = 2;
/// Time that the breaker stays open after the first trip; it doubles with each
/// further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);
/// Upper bound on the time that the breaker stays open.
const MAX_BACKOFF: Duration = Duration::from_secs(5);

/// Number of state changes of a breaker so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Generation(u64);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Closed { failures: u32 },
    Open { until: Duration },
    HalfOpen { successes: u32, in_flight: u32 },
}

/// Circuit breaker of one endpoint.
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
    /// Returns whether a request may be sent now.
    pub fn allows(&self, now: Duration) -> bool {
        match self.state {
            State::Closed { .. } => true,
            State::Open { until } => now >= until,
            State::HalfOpen { in_flight, .. } => in_flight == 0,
        }
    }

    /// Records that a request is sent and returns its generation.
    pub fn on_sent(&mut self, now: Duration) -> Generation {
        if let State::Open { until } = self.state
            && now >= until
        {
            self.change(State::HalfOpen { successes: 0, in_flight: 0 });
        }
        if let State::HalfOpen { in_flight, .. } = &mut self.state {
            *in_flight += 1;
        }
        self.generation
    }

    /// Records the outcome of a request that was sent in `generation`.
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
            (State::HalfOpen { successes, in_flight }, true) => {
                *in_flight = in_flight.saturating_sub(1);
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
        let backoff = INITIAL_BACKOFF.saturating_mul(1 << self.trips.min(8)).min(MAX_BACKOFF);
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
