//! Service times of a target, by route.

use std::time::Duration;

use indexmap::IndexMap;
use medlarpoint_model::Name;

/// Weight of the newest sample in a moving average.
const SMOOTHING: f64 = 0.1;
/// Limit of the routes remembered.
const MAX_ROUTES: usize = 256;

/// Moving averages of the time that a target takes for a call.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServiceTimes {
    /// Average over all calls, in seconds; zero before the first sample.
    mean_s: f64,
    /// Averages by route, in seconds.
    by_route: IndexMap<Name, f64>,
    /// Times of the routes elsewhere, in seconds, until the first sample of the route.
    assumed: IndexMap<Name, f64>,
}

impl ServiceTimes {
    /// Records the service time of a call.
    pub(crate) fn observe(&mut self, route: &Name, took: Duration) {
        let sample = took.as_secs_f64();
        smooth(&mut self.mean_s, sample);
        if let Some(average) = self.by_route.get_mut(route) {
            smooth(average, sample);
            return;
        }
        if self.by_route.len() >= MAX_ROUTES {
            self.by_route.shift_remove_index(0);
        }
        self.by_route.insert(route.clone(), sample);
    }

    /// Sets the service time that is assumed for a route until its first sample.
    pub(crate) fn assume(&mut self, route: &Name, expected: Duration) {
        let is_known = self.by_route.contains_key(route) || self.assumed.contains_key(route);
        if !is_known && self.assumed.len() < MAX_ROUTES {
            self.assumed.insert(route.clone(), expected.as_secs_f64());
        }
    }

    /// Returns the average over all calls, whatever their route.
    pub(crate) fn mean(&self) -> Duration {
        if self.mean_s == 0.0 && !self.assumed.is_empty() {
            let sum: f64 = self.assumed.values().sum();
            return Duration::from_secs_f64(sum / self.assumed.len() as f64);
        }
        Duration::from_secs_f64(self.mean_s)
    }

    /// Returns the average of a route, or `None` before its first sample.
    pub(crate) fn observed(&self, route: &Name) -> Option<Duration> {
        self.by_route.get(route).copied().map(Duration::from_secs_f64)
    }

    /// Returns the expected service time of a route: its own average or, before
    /// its first sample, the time assumed for it or the average over all calls.
    pub(crate) fn expected(&self, route: &Name) -> Duration {
        let average = self.by_route.get(route).or_else(|| self.assumed.get(route)).copied();
        Duration::from_secs_f64(average.unwrap_or(self.mean_s))
    }
}

fn smooth(average: &mut f64, sample: f64) {
    let weight = if *average == 0.0 { 1.0 } else { SMOOTHING };
    *average += (sample - *average) * weight;
}
