//! The network link of a VM, in one direction.
//!
//! A few large messages fill a narrow link for seconds and delay small ones. Large
//! responses are therefore sent one after the other at the rate of the link, and
//! calls with large responses are started only while the backlog of the link is
//! short. Large request bodies are received in the same way: each is reserved a time
//! at which its sender may start.

use std::time::Duration;

use indexmap::IndexMap;
use medlarpoint_model::Name;

/// Size from which messages are sent one after the other, in bytes.
pub const LARGE_MESSAGE_BYTES: usize = 16 * 1024;
/// Share of the link's rate that responses may use; the rest carries headers,
/// acknowledgements and control messages.
const RESPONSE_SHARE: f64 = 0.92;
/// Share of the link's rate that large request bodies may use. The rest carries small
/// calls to the target, and the responses to the calls that start on this VM.
const REQUEST_SHARE: f64 = 0.85;
/// Limit of the link's backlog up to which calls with large responses are
/// started. Targets take about as long to respond, so the link does not idle.
const MAX_BACKLOG: Duration = Duration::from_millis(500);
/// Weight of the newest sample in the mean size of responses.
const SIZE_SMOOTHING: f64 = 0.1;
/// Limit of the routes whose response sizes are remembered.
const MAX_ROUTES: usize = 256;

/// Responses of one route.
#[derive(Clone, Copy, Debug, Default)]
struct Responses {
    /// Mean size in bytes; zero before the first sample.
    mean: f64,
    /// Number of running calls, whose responses are still to come.
    running: u32,
}

/// A link with the responses that it has to carry.
///
/// Invariant: `free_at` lies no further ahead than the time that the bytes
/// reserved since the link was last free take at its rate.
#[derive(Clone, Debug, Default)]
pub struct Link {
    /// Rate in bytes per second; `None` where the link is no bottleneck.
    rate: Option<f64>,
    /// Time at which everything reserved so far has been sent.
    free_at: Duration,
    by_route: IndexMap<Name, Responses>,
}

impl Link {
    /// Creates a link for responses with a rate in megabits per second; without a
    /// rate, responses are never delayed.
    pub fn for_responses(megabits: Option<f64>) -> Self {
        Self::with_share(megabits, RESPONSE_SHARE)
    }

    /// Creates a link for request bodies with a rate in megabits per second; without
    /// a rate, bodies are never delayed.
    pub(crate) fn for_requests(megabits: Option<f64>) -> Self {
        Self::with_share(megabits, REQUEST_SHARE)
    }

    fn with_share(megabits: Option<f64>, share: f64) -> Self {
        let rate = megabits.map(|megabits| megabits * 1e6 / 8.0 * share);
        Self { rate, ..Self::default() }
    }

    /// Returns whether messages of a size are large enough to be sent one after the
    /// other on this link.
    pub fn shapes(&self, bytes: usize) -> bool {
        self.rate.is_some() && bytes >= LARGE_MESSAGE_BYTES
    }

    /// Reserves the link for a message and returns the time at which to start
    /// sending it.
    pub fn reserve(&mut self, now: Duration, bytes: usize) -> Duration {
        let start = self.next_start(now);
        self.reserve_from(start, bytes);
        start
    }

    /// Reserves the link for a message that starts at a given time, which is not before
    /// [`Link::next_start`].
    pub(crate) fn reserve_from(&mut self, start: Duration, bytes: usize) {
        self.free_at = start + self.transfer_time(bytes as f64);
    }

    /// Returns the time at which the next message can be started.
    pub(crate) fn next_start(&self, now: Duration) -> Duration {
        self.free_at.max(now)
    }

    /// Releases reserved bytes that will not be sent.
    pub fn release(&mut self, bytes: usize) {
        self.free_at = self.free_at.saturating_sub(self.transfer_time(bytes as f64));
    }

    /// Returns the time that the link takes for a number of bytes.
    pub fn transfer_time(&self, bytes: f64) -> Duration {
        self.rate.map_or(Duration::ZERO, |rate| Duration::from_secs_f64(bytes / rate))
    }

    /// Records the size of a response.
    pub fn observe(&mut self, route: &Name, bytes: usize) {
        let sample = bytes as f64;
        let Some(responses) = self.responses_mut(route) else {
            return;
        };
        let weight = if responses.mean == 0.0 { 1.0 } else { SIZE_SMOOTHING };
        responses.mean += (sample - responses.mean) * weight;
    }

    /// Records that a call was handed to the target.
    pub(crate) fn call_started(&mut self, route: &Name) {
        if let Some(responses) = self.responses_mut(route) {
            responses.running += 1;
        }
    }

    /// Records that the target has finished a call; link time for its response,
    /// if there is one, has been reserved.
    pub(crate) fn call_ended(&mut self, route: &Name) {
        if let Some(responses) = self.by_route.get_mut(route) {
            responses.running = responses.running.saturating_sub(1);
        }
    }

    /// Returns whether calls of a route must wait until the backlog of the link
    /// is shorter.
    pub(crate) fn blocks(&self, now: Duration, route: &Name) -> bool {
        self.is_large(route) && self.backlog(now) > MAX_BACKLOG
    }

    /// Returns the time that the link takes for everything reserved and for the
    /// expected responses of running calls.
    pub(crate) fn backlog(&self, now: Duration) -> Duration {
        let expected: f64 = self.by_route.values().map(|r| r.mean * f64::from(r.running)).sum();
        self.free_at.saturating_sub(now) + self.transfer_time(expected)
    }

    /// Returns the expected time that the link takes for a response of a route;
    /// zero if its responses are small or the link is no bottleneck.
    pub(crate) fn expected_transfer(&self, route: &Name) -> Duration {
        if self.is_large(route) { self.transfer_time(self.mean(route)) } else { Duration::ZERO }
    }

    /// Returns whether responses of a route are large and the link is narrow, so
    /// that they are sent one after the other.
    pub(crate) fn is_large(&self, route: &Name) -> bool {
        self.shapes(self.mean(route) as usize)
    }

    fn mean(&self, route: &Name) -> f64 {
        self.by_route.get(route).map_or(0.0, |responses| responses.mean)
    }

    /// Returns the entry of a route, created if need be; `None` if the limit is
    /// reached and no entry can be evicted because all routes have running
    /// calls.
    fn responses_mut(&mut self, route: &Name) -> Option<&mut Responses> {
        if !self.by_route.contains_key(route) {
            if self.by_route.len() >= MAX_ROUTES {
                let idle = self.by_route.values().position(|responses| responses.running == 0)?;
                self.by_route.shift_remove_index(idle);
            }
            self.by_route.insert(route.clone(), Responses::default());
        }
        self.by_route.get_mut(route)
    }
}

#[cfg(test)]
mod tests;
