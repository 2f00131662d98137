//! The newest summary of each data centre.

use std::time::Duration;

use indexmap::IndexMap;
use medlarpoint_model::DataCentre;
use medlarpoint_wire::Summary;

/// Summaries that ride on a datagram.
const PER_DATAGRAM: usize = 2;
/// Times a summary counts as passed on when only its heartbeat is new.
const HEARTBEAT_PASSED: u32 = 4;

/// A summary with the local time at which it was last renewed.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// The summary.
    pub summary: Summary,
    /// When a newer heartbeat last arrived, on the local clock.
    pub renewed_at: Duration,
    /// Times it was passed on since its content changed.
    passed: u32,
}

/// The newest summary of each data centre.
#[derive(Clone, Debug, Default)]
pub struct Summaries {
    newest: IndexMap<DataCentre, Entry>,
}

impl Summaries {
    /// Takes a summary if it is newer; tells whether the version in force rose.
    pub fn merge(&mut self, summary: &Summary, now: Duration) -> bool {
        let Some(known) = self.newest.get_mut(&summary.data_centre) else {
            let summed = Entry { summary: summary.clone(), renewed_at: now, passed: 0 };
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
        *known = Entry { summary: summary.clone(), renewed_at: now, passed };
        rose
    }

    /// Looks up a data centre.
    pub fn get(&self, place: &DataCentre) -> Option<&Entry> {
        self.newest.get(place)
    }

    /// Iterates over all data centres ever heard of.
    pub fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.newest.values()
    }

    /// Lists summaries to pass on: of those that are still renewed, the ones
    /// passed on least.
    pub(crate) fn take(&mut self, now: Duration, stale: Duration) -> Vec<Summary> {
        let fresh = |s: &&mut Entry| now.saturating_sub(s.renewed_at) < stale;
        let mut fresh: Vec<&mut Entry> = self.newest.values_mut().filter(fresh).collect();
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
