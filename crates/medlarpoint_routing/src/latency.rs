//! Peak-sensitive moving average of latencies.

use std::time::Duration;

/// Time in which an old value loses most of its weight.
const DECAY: Duration = Duration::from_secs(2);

/// A moving average that rises at once and falls slowly.
#[derive(Clone, Copy, Debug, Default)]
pub struct Latency {
    value_s: f64,
    updated: Duration,
}

impl Latency {
    /// Takes a measured latency.
    pub fn observe(&mut self, now: Duration, latency: Duration) {
        let sample = latency.as_secs_f64();
        let age = now.saturating_sub(self.updated).as_secs_f64();
        self.updated = now;
        if sample > self.value_s {
            // Half way up at once: one slow answer counts, two convince.
            self.value_s += (sample - self.value_s) * 0.5;
            return;
        }
        let weight = (-age / DECAY.as_secs_f64()).exp().min(0.9);
        self.value_s = self.value_s * weight + sample * (1.0 - weight);
    }

    /// Returns the average, or `None` before the first observation.
    pub fn value(&self) -> Option<Duration> {
        (self.value_s > 0.0).then(|| Duration::from_secs_f64(self.value_s))
    }
}
