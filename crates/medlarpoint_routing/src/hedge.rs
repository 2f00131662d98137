//! Learns after which time a second attempt is worth sending.

use std::time::Duration;

use hdrhistogram::Histogram;

/// Time after which the older half of the observations is dropped.
const HALF_WINDOW: Duration = Duration::from_secs(5);
/// Observations needed before anything is hedged.
const MIN_OBSERVATIONS: u64 = 50;
/// Quantile of the latencies after which a second attempt is sent.
const QUANTILE: f64 = 0.95;
/// Shortest wait, so that jitter on very short calls is not hedged.
const MIN_DELAY: Duration = Duration::from_millis(1);
/// Longest latency that is told apart, in microseconds.
const MAX_MICROS: u64 = 600_000_000;

/// Recent latencies of one service and class.
#[derive(Clone, Debug)]
pub struct Hedge {
    current: Histogram<u32>,
    previous: Histogram<u32>,
    turned: Duration,
}

impl Default for Hedge {
    fn default() -> Self {
        let empty = Histogram::new_with_max(MAX_MICROS, 2).expect("valid bounds");
        Self { current: empty.clone(), previous: empty, turned: Duration::ZERO }
    }
}

impl Hedge {
    /// Takes the latency of an attempt.
    pub fn observe(&mut self, now: Duration, latency: Duration) {
        if now.saturating_sub(self.turned) > HALF_WINDOW {
            std::mem::swap(&mut self.current, &mut self.previous);
            self.current.reset();
            self.turned = now;
        }
        let micros = latency.as_micros().min(u128::from(MAX_MICROS)) as u64;
        self.current.saturating_record(micros.max(1));
    }

    /// Returns the wait before a second attempt; `None` while too little is
    /// known.
    pub fn delay(&self) -> Option<Duration> {
        let best =
            if self.previous.len() >= MIN_OBSERVATIONS { &self.previous } else { &self.current };
        if best.len() < MIN_OBSERVATIONS {
            return None;
        }
        let micros = best.value_at_quantile(QUANTILE);
        Some(Duration::from_micros(micros).max(MIN_DELAY))
    }
}
