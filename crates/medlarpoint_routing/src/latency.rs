//! Peak-sensitive moving average of latencies.

use std::time::Duration;

/// Time constant of the decay, after which an old value has lost 63 % of its
/// weight.
const DECAY: Duration = Duration::from_secs(2);

/// A moving average that rises immediately and decays exponentially.
#[derive(Clone, Copy, Debug, Default)]
pub struct Latency {
    value_s: f64,
    updated: Duration,
}

impl Latency {
    /// Records a measured latency.
    pub fn observe(&mut self, now: Duration, latency: Duration) {
        let sample = latency.as_secs_f64();
        let age = now.saturating_sub(self.updated).as_secs_f64();
        self.updated = now;
        if sample > self.value_s {
            // Move half the distance towards the sample: a single slow response
            // counts, and two in a row cover three quarters of the distance.
            self.value_s += (sample - self.value_s) * 0.5;
            return;
        }
        let weight = (-age / DECAY.as_secs_f64()).exp().min(0.9);
        self.value_s = self.value_s * weight + sample * (1.0 - weight);
    }

    /// Returns the average, or `None` before the first sample.
    pub fn value(&self) -> Option<Duration> {
        (self.value_s > 0.0).then(|| Duration::from_secs_f64(self.value_s))
    }
}
