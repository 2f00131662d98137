//! The newest summary of each data centre.

use std::time::Duration;

use indexmap::IndexMap;
use medlarpoint_model::DataCentre;
use medlarpoint_wire::DataCentreSummary;

/// Summaries that ride on a datagram.
const PER_DATAGRAM: usize = 2;
/// Times a summary counts as passed on when only its heartbeat is new.
const HEARTBEAT_PASSED: u32 = 4;

/// A summary with the local time at which it was last renewed.
#[derive(Clone, Debug, PartialEq)]
pub struct Summed {
    /// The summary.
    pub summary: DataCentreSummary,
    /// When a newer heartbeat last arrived, on the local clock.
    pub heard: Duration,
    /// Times it was passed on since its content changed.
    passed: u32,
}

/// The newest summary of each data centre.
#[derive(Clone, Debug, Default)]
pub struct Summaries {
    newest: IndexMap<DataCentre, Summed>,
}

impl Summaries {
    /// Takes a summary if it is newer; tells whether the version in force rose.
    pub fn merge(&mut self, summary: &DataCentreSummary, now: Duration) -> bool {
        let Some(known) = self.newest.get_mut(&summary.data_centre) else {
            let summed = Summed { summary: summary.clone(), heard: now, passed: 0 };
            self.newest.insert(summary.data_centre.clone(), summed);
            return true;
        };
        if summary.heartbeat_ms <= known.summary.heartbeat_ms {
            return false;
        }
        let rose = summary.version > known.summary.version;
        let same =
            (known.summary.version, known.summary.behind) == (summary.version, summary.behind);
        // A mere heartbeat waits for those with news.
        let passed = if same { known.passed.min(HEARTBEAT_PASSED) } else { 0 };
        *known = Summed { summary: summary.clone(), heard: now, passed };
        rose
    }

    /// Looks up a data centre.
    pub fn get(&self, place: &DataCentre) -> Option<&Summed> {
        self.newest.get(place)
    }

    /// Iterates over all data centres ever heard of.
    pub fn iter(&self) -> impl Iterator<Item = &Summed> {
        self.newest.values()
    }

    /// Lists summaries to pass on: of those that are still renewed, the ones
    /// passed on least.
    pub(crate) fn take(&mut self, now: Duration, stale: Duration) -> Vec<DataCentreSummary> {
        let fresh = |s: &&mut Summed| now.saturating_sub(s.heard) < stale;
        let mut fresh: Vec<&mut Summed> = self.newest.values_mut().filter(fresh).collect();
        fresh.sort_by_key(|summed| summed.passed);
        let chosen = fresh.into_iter().take(PER_DATAGRAM);
        chosen
            .map(|summed| {
                summed.passed += 1;
                summed.summary.clone()
            })
            .collect()
    }
}
