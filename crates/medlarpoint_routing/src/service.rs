//! How long a target works on calls, by kind.

use std::time::Duration;

use indexmap::IndexMap;
use medlarpoint_model::Name;

/// Weight of the newest service time in a moving average.
const SMOOTHING: f64 = 0.1;
/// Kinds remembered.
const MAX_KINDS: usize = 256;

/// Moving averages of service times.
#[derive(Clone, Debug, Default)]
pub(crate) struct Service {
    /// Over all kinds, in seconds; zero before the first.
    mean_s: f64,
    by_kind: IndexMap<Name, f64>,
}

impl Service {
    pub(crate) fn observe(&mut self, kind: &Name, took: Duration) {
        let sample = took.as_secs_f64();
        smooth(&mut self.mean_s, sample);
        if let Some(known) = self.by_kind.get_mut(kind) {
            smooth(known, sample);
            return;
        }
        if self.by_kind.len() >= MAX_KINDS {
            self.by_kind.shift_remove_index(0);
        }
        self.by_kind.insert(kind.clone(), sample);
    }

    /// Returns the mean over all kinds as they come.
    pub(crate) fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean_s)
    }

    /// Returns the expected time of a kind; the mean over all while it is
    /// unknown.
    pub(crate) fn of(&self, kind: &Name) -> Duration {
        let known = self.by_kind.get(kind).copied();
        Duration::from_secs_f64(known.unwrap_or(self.mean_s))
    }
}

fn smooth(average: &mut f64, sample: f64) {
    let weight = if *average == 0.0 { 1.0 } else { SMOOTHING };
    *average += (sample - *average) * weight;
}
