//! The newest summary of each data centre.

use std::time::Duration;

use indexmap::IndexMap;
use medlarpoint_model::DataCentre;
use medlarpoint_wire::Summary;

/// A summary with the local time at which it was last renewed.
#[derive(Clone, Debug, PartialEq)]
pub struct Summed {
    /// The summary.
    pub summary: Summary,
    /// When a newer heartbeat last arrived, on the local clock.
    pub heard: Duration,
}

/// The newest summary of each data centre.
#[derive(Clone, Debug, Default)]
pub struct Summaries {
    newest: IndexMap<DataCentre, Summed>,
}

impl Summaries {
    /// Takes a summary if it is newer; tells whether the version in force rose.
    pub fn merge(&mut self, summary: &Summary, now: Duration) -> bool {
        let Some(known) = self.newest.get_mut(&summary.data_centre) else {
            let summed = Summed { summary: summary.clone(), heard: now };
            self.newest.insert(summary.data_centre.clone(), summed);
            return true;
        };
        if summary.heartbeat_ms <= known.summary.heartbeat_ms {
            return false;
        }
        let rose = summary.version > known.summary.version;
        *known = Summed { summary: summary.clone(), heard: now };
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

    /// Lists the summaries to pass on: those that are still renewed.
    pub(crate) fn fresh(&self, now: Duration, stale: Duration) -> Vec<Summary> {
        let fresh = self.newest.values().filter(|s| now.saturating_sub(s.heard) < stale);
        fresh.map(|summed| summed.summary.clone()).collect()
    }
}
