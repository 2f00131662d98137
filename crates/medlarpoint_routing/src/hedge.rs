//! Delays after which a hedged attempt is worth sending, learnt from latencies.

use std::time::Duration;

use hdrhistogram::Histogram;
use indexmap::IndexMap;
use medlarpoint_model::Name;

/// Interval after which the older half of the observations is dropped.
const ROTATION_INTERVAL: Duration = Duration::from_secs(5);
/// Minimum number of observations of a route before its calls are hedged: with
/// fewer, the quantile is the longest of them.
const MIN_OBSERVATIONS: u64 = 20;
/// Quantile of the latencies that is used as the delay.
const QUANTILE: f64 = 0.95;
/// Lower bound on the delay, so that jitter on very short calls is not hedged.
const MIN_DELAY: Duration = Duration::from_millis(1);
/// Upper bound on recorded latencies, in microseconds; longer ones count as this.
const MAX_MICROS: u64 = 600_000_000;
/// Limit on routes whose latencies are kept for a service.
const MAX_ROUTES: usize = 32;

/// Recent latencies of one route.
#[derive(Clone, Debug)]
struct RecentLatencies {
    current: Histogram<u32>,
    previous: Histogram<u32>,
    rotated_at: Duration,
}

/// Delays before hedged attempts, by route of one service: a lookup is overdue long
/// before a download of the same service is.
#[derive(Clone, Debug, Default)]
pub struct HedgeDelays {
    by_route: IndexMap<Name, RecentLatencies>,
}

impl HedgeDelays {
    /// Records the latency of an attempt.
    pub fn observe(&mut self, now: Duration, route: &Name, latency: Duration) {
        if let Some(latencies) = self.by_route.get_mut(route) {
            latencies.observe(now, latency);
            return;
        }
        if self.by_route.len() >= MAX_ROUTES {
            self.by_route.shift_remove_index(0);
        }
        let mut latencies = RecentLatencies::new(now);
        latencies.observe(now, latency);
        self.by_route.insert(route.clone(), latencies);
    }

    /// Returns the delay before a hedged attempt, or `None` while the route has too
    /// few observations.
    pub fn delay(&self, route: &Name) -> Option<Duration> {
        self.by_route.get(route)?.delay()
    }
}

impl RecentLatencies {
    fn new(now: Duration) -> Self {
        let empty = Histogram::new_with_max(MAX_MICROS, 2).expect("valid bounds");
        Self { current: empty.clone(), previous: empty, rotated_at: now }
    }

    fn observe(&mut self, now: Duration, latency: Duration) {
        if now.saturating_sub(self.rotated_at) > ROTATION_INTERVAL {
            std::mem::swap(&mut self.current, &mut self.previous);
            self.current.reset();
            self.rotated_at = now;
        }
        let micros = latency.as_micros().min(u128::from(MAX_MICROS)) as u64;
        self.current.saturating_record(micros.max(1));
    }

    fn delay(&self) -> Option<Duration> {
        let histogram =
            if self.previous.len() >= MIN_OBSERVATIONS { &self.previous } else { &self.current };
        if histogram.len() < MIN_OBSERVATIONS {
            return None;
        }
        let micros = histogram.value_at_quantile(QUANTILE);
        Some(Duration::from_micros(micros).max(MIN_DELAY))
    }
}

#[cfg(test)]
mod tests;
