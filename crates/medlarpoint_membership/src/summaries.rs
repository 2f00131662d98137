//! The newest summary of each data centre.

use std::time::Duration;

use indexmap::IndexMap;
use medlarpoint_model::DataCentre;
use medlarpoint_wire::DataCentreSummary;

/// Maximum number of summaries in a datagram.
const PER_DATAGRAM: usize = 2;
/// Limit of the send count that a summary keeps when only its heartbeat is new.
const HEARTBEAT_SENT_LIMIT: u32 = 4;

/// A summary with its local bookkeeping.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Newest summary received.
    pub summary: DataCentreSummary,
    /// Time at which it was received, on the local clock.
    pub renewed_at: Duration,
    /// Number of times it was sent since its content changed.
    sent: u32,
}

/// Map from each data centre to its newest summary.
#[derive(Clone, Debug, Default)]
pub struct Summaries {
    newest: IndexMap<DataCentre, Entry>,
}

impl Summaries {
    /// Merges a summary if it is newer than the one known. Returns whether the
    /// data centre is new or its version in force has increased.
    pub fn merge(&mut self, summary: &DataCentreSummary, now: Duration) -> bool {
        let Some(known) = self.newest.get_mut(&summary.data_centre) else {
            let entry = Entry { summary: summary.clone(), renewed_at: now, sent: 0 };
            self.newest.insert(summary.data_centre.clone(), entry);
            return true;
        };
        if summary.heartbeat_ms <= known.summary.heartbeat_ms {
            return false;
        }
        let advanced = summary.version > known.summary.version;
        let unchanged =
            (known.summary.version, known.summary.behind) == (summary.version, summary.behind);
        // Summaries with changed content are sent before mere heartbeats.
        let sent = if unchanged { known.sent.min(HEARTBEAT_SENT_LIMIT) } else { 0 };
        *known = Entry { summary: summary.clone(), renewed_at: now, sent };
        advanced
    }

    /// Looks up a data centre.
    pub fn get(&self, data_centre: &DataCentre) -> Option<&Entry> {
        self.newest.get(data_centre)
    }

    /// Iterates over the entries of all data centres.
    pub fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.newest.values()
    }

    /// Takes the summaries to send next: among those renewed within `max_age`,
    /// the ones sent least often.
    pub(crate) fn take(&mut self, now: Duration, max_age: Duration) -> Vec<DataCentreSummary> {
        let is_fresh = |s: &&mut Entry| now.saturating_sub(s.renewed_at) < max_age;
        let mut fresh: Vec<&mut Entry> = self.newest.values_mut().filter(is_fresh).collect();
        fresh.sort_by_key(|entry| entry.sent);
        let chosen = fresh.into_iter().take(PER_DATAGRAM);
        chosen
            .map(|entry| {
                entry.sent += 1;
                entry.summary.clone()
            })
            .collect()
    }
}
