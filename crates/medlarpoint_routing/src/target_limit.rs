//! Limit on the calls per second that a target names for all of its callers.
//!
//! The inbound proxy beside a target hands over all of its calls, wherever they begin, so
//! it can enforce the limit alone: no part of it has to be agreed on between daemons.

use std::time::Duration;

/// Time at the named rate whose calls may start at once after a pause.
const BURST: Duration = Duration::from_millis(250);
/// Lowest rate at which calls start, per second. The response to such a call shows whether
/// the limit still holds.
const MIN_PER_SECOND: f64 = 0.5;
/// Limit on the calls in flight until the first response of a target: it may have named a
/// limit to an earlier run of this daemon.
const MAX_UNTRIED_CALLS: u32 = 4;

/// What the responses of a target have said about its limit.
#[derive(Clone, Debug, Default)]
pub(crate) enum TargetLimit {
    /// The target has not responded to this daemon yet.
    Untried,
    /// The target names no limit.
    #[default]
    Unlimited,
    /// The target names a limit.
    Limited(Bucket),
}

/// Token bucket with a token per call that may start.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bucket {
    per_second: f64,
    /// Tokens at `updated_at`.
    tokens: f64,
    updated_at: Duration,
}

impl Bucket {
    fn tokens(&self, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        let capacity = (self.per_second * BURST.as_secs_f64()).max(1.0);
        (self.tokens + self.per_second * elapsed).min(capacity)
    }

    fn settle(&mut self, now: Duration) {
        self.tokens = self.tokens(now);
        self.updated_at = now;
    }
}

impl TargetLimit {
    /// Records the limit that a response names, in calls per second.
    pub(crate) fn record(&mut self, now: Duration, per_second: Option<f64>) {
        let per_second = per_second.map(|rate| rate.max(MIN_PER_SECOND));
        match (per_second, &mut *self) {
            (None, _) => *self = Self::Unlimited,
            (Some(per_second), Self::Limited(bucket)) => {
                bucket.settle(now);
                bucket.per_second = per_second;
            }
            (Some(per_second), Self::Untried | Self::Unlimited) => {
                *self = Self::Limited(Bucket { per_second, tokens: 0.0, updated_at: now });
            }
        }
    }

    /// Returns the limit in calls per second, if the target names one.
    pub(crate) fn per_second(&self) -> Option<f64> {
        match self {
            Self::Limited(bucket) => Some(bucket.per_second),
            Self::Untried | Self::Unlimited => None,
        }
    }

    /// Returns the limit on the calls in flight, if there is one.
    pub(crate) fn max_in_flight(&self) -> Option<u32> {
        match self {
            Self::Untried => Some(MAX_UNTRIED_CALLS),
            Self::Unlimited | Self::Limited(_) => None,
        }
    }

    /// Returns the number of calls that are in flight on average at the limit, if each
    /// takes `service_time`.
    pub(crate) fn sustained_calls(&self, service_time: Duration) -> Option<u32> {
        let calls = self.per_second()? * service_time.as_secs_f64();
        Some(calls.ceil().max(1.0) as u32)
    }

    /// Returns whether a call may start now.
    pub(crate) fn may_start(&self, now: Duration) -> bool {
        match self {
            Self::Limited(bucket) => bucket.tokens(now) >= 1.0,
            Self::Untried | Self::Unlimited => true,
        }
    }

    /// Records the start of a call.
    pub(crate) fn on_start(&mut self, now: Duration) {
        if let Self::Limited(bucket) = self {
            bucket.settle(now);
            bucket.tokens -= 1.0;
        }
    }

    /// Returns the time until a call may start that `ahead` others go before.
    pub(crate) fn wait(&self, now: Duration, ahead: usize) -> Duration {
        let Self::Limited(bucket) = self else {
            return Duration::ZERO;
        };
        let missing = (ahead as f64 + 1.0 - bucket.tokens(now)).max(0.0);
        Duration::from_secs_f64(missing / bucket.per_second)
    }
}

#[cfg(test)]
mod tests;
