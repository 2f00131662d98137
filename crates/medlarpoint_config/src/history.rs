//! Recent versions and where they are in force, as known to one daemon.

use std::collections::VecDeque;
use std::sync::Arc;

use indexmap::IndexMap;
use medlarpoint_model::{DataCentre, Delta, Version};
use serde::{Deserialize, Serialize};

/// Maximum number of versions kept.
const MAX_ENTRIES: usize = 256;

/// When a version came into force in a data centre.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InForce {
    /// Version that was observed in force: the one of the entry or a later one.
    pub seen: Version,
    /// Time at which it came into force, in milliseconds since the Unix epoch.
    pub at_ms: u64,
}

/// A version and the data centres in which it is in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Delta that produced the version.
    pub delta: Arc<Delta>,
    /// When the version came into force, by data centre. A data centre that is
    /// not listed has not been observed to have the version in force.
    pub in_force: IndexMap<DataCentre, InForce>,
}

/// A bounded number of recent versions, oldest first.
#[derive(Clone, Debug, Default)]
pub struct History {
    entries: VecDeque<Entry>,
}

impl History {
    /// Adds the deltas that are not in the history yet.
    pub fn add(&mut self, deltas: &[Arc<Delta>]) {
        for delta in deltas {
            let position =
                self.entries.partition_point(|entry| entry.delta.version < delta.version);
            let known =
                self.entries.get(position).is_some_and(|e| e.delta.version == delta.version);
            if known {
                continue;
            }
            let entry = Entry { delta: Arc::clone(delta), in_force: IndexMap::new() };
            self.entries.insert(position, entry);
        }
        let excess = self.entries.len().saturating_sub(MAX_ENTRIES);
        self.entries.drain(..excess);
    }

    /// Records that `version` and all earlier versions are in force in a data
    /// centre. Returns the versions that were not recorded there before.
    pub fn record_in_force(
        &mut self,
        data_centre: &DataCentre,
        version: Version,
        at_ms: u64,
    ) -> Vec<Version> {
        let mut added = Vec::new();
        for entry in &mut self.entries {
            if entry.delta.version > version || entry.in_force.contains_key(data_centre) {
                continue;
            }
            entry.in_force.insert(data_centre.clone(), InForce { seen: version, at_ms });
            added.push(entry.delta.version);
        }
        added
    }

    /// Merges the entries of another daemon; times already recorded here stay.
    pub fn merge(&mut self, entries: &[Entry]) {
        let deltas: Vec<Arc<Delta>> =
            entries.iter().map(|entry| Arc::clone(&entry.delta)).collect();
        self.add(&deltas);
        for theirs in entries {
            let ours = self.entries.iter_mut().find(|e| e.delta.version == theirs.delta.version);
            let Some(ours) = ours else {
                continue;
            };
            for (data_centre, in_force) in &theirs.in_force {
                ours.in_force.entry(data_centre.clone()).or_insert(*in_force);
            }
        }
    }

    /// Iterates over the entries, oldest first.
    pub fn entries(&self) -> impl DoubleEndedIterator<Item = &Entry> {
        self.entries.iter()
    }
}
