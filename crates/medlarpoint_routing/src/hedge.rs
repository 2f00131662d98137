//! Learns after which time a second attempt is worth sending.

use std::time::Duration;

use hdrhistogram::Histogram;
use indexmap::IndexMap;
use medlarpoint_model::Name;

/// Time after which the older half of the observations is dropped.
const HALF_WINDOW: Duration = Duration::from_secs(5);
/// Observations of a kind needed before its calls are hedged: with fewer, the
/// quantile is the longest of them.
const MIN_OBSERVATIONS: u64 = 20;
/// Quantile of the latencies after which a second attempt is sent.
const QUANTILE: f64 = 0.95;
/// Shortest wait, so that jitter on very short calls is not hedged.
const MIN_DELAY: Duration = Duration::from_millis(1);
/// Longest latency that is told apart, in microseconds.
const MAX_MICROS: u64 = 600_000_000;
/// Kinds of calls remembered for a service.
const MAX_KINDS: usize = 32;

/// Recent latencies of one kind of call.
#[derive(Clone, Debug)]
struct Sample {
    current: Histogram<u32>,
    previous: Histogram<u32>,
    turned: Duration,
}

/// Recent latencies of one service, by kind: a lookup is overdue long before a
/// download of the same service is.
#[derive(Clone, Debug, Default)]
pub struct HedgeDelays {
    by_kind: IndexMap<Name, Sample>,
}

impl HedgeDelays {
    /// Takes the latency of an attempt.
    pub fn observe(&mut self, now: Duration, kind: &Name, latency: Duration) {
        if let Some(sample) = self.by_kind.get_mut(kind) {
            sample.observe(now, latency);
            return;
        }
        if self.by_kind.len() >= MAX_KINDS {
            self.by_kind.shift_remove_index(0);
        }
        let mut sample = Sample::new(now);
        sample.observe(now, latency);
        self.by_kind.insert(kind.clone(), sample);
    }

    /// Returns the wait before a second attempt; `None` while too little is
    /// known of the kind.
    pub fn delay(&self, kind: &Name) -> Option<Duration> {
        self.by_kind.get(kind)?.delay()
    }
}

impl Sample {
    fn new(now: Duration) -> Self {
        let empty = Histogram::new_with_max(MAX_MICROS, 2).expect("valid bounds");
        Self { current: empty.clone(), previous: empty, turned: now }
    }

    fn observe(&mut self, now: Duration, latency: Duration) {
        if now.saturating_sub(self.turned) > HALF_WINDOW {
            std::mem::swap(&mut self.current, &mut self.previous);
            self.current.reset();
            self.turned = now;
        }
        let micros = latency.as_micros().min(u128::from(MAX_MICROS)) as u64;
        self.current.saturating_record(micros.max(1));
    }

    fn delay(&self) -> Option<Duration> {
        let best =
            if self.previous.len() >= MIN_OBSERVATIONS { &self.previous } else { &self.current };
        if best.len() < MIN_OBSERVATIONS {
            return None;
        }
        let micros = best.value_at_quantile(QUANTILE);
        Some(Duration::from_micros(micros).max(MIN_DELAY))
    }
}

#[cfg(test)]
mod tests;
