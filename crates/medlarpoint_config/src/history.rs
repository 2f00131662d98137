//! What happened to recent versions, as one daemon knows it.

use std::collections::VecDeque;
use std::sync::Arc;

use indexmap::IndexMap;
use medlarpoint_model::{DataCentre, Delta, Version};
use serde::{Deserialize, Serialize};

/// Versions remembered.
const MAX_LINES: usize = 256;

/// When a version came into force in a data centre.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InForce {
    /// Version that was seen to be in force; the asked one or a later one.
    pub seen: Version,
    /// When, in milliseconds since the Unix epoch.
    pub at_ms: u64,
}

/// One version with what is known of it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The change.
    pub delta: Arc<Delta>,
    /// When it came into force in each data centre. A data centre that is not
    /// listed has not been seen to have it.
    pub in_force: IndexMap<DataCentre, InForce>,
}

/// The recent versions, oldest first.
#[derive(Clone, Debug, Default)]
pub struct History {
    lines: VecDeque<Entry>,
}

impl History {
    /// Adds deltas that are not yet known.
    pub fn add(&mut self, deltas: &[Arc<Delta>]) {
        for delta in deltas {
            let place = self.lines.partition_point(|line| line.delta.version < delta.version);
            let known = self.lines.get(place).is_some_and(|l| l.delta.version == delta.version);
            if known {
                continue;
            }
            let line = Entry { delta: Arc::clone(delta), in_force: IndexMap::new() };
            self.lines.insert(place, line);
        }
        let excess = self.lines.len().saturating_sub(MAX_LINES);
        self.lines.drain(..excess);
    }

    /// Notes that `version` and all before it are in force in a data centre.
    /// Returns the versions for which this is news.
    pub fn record_in_force(
        &mut self,
        place: &DataCentre,
        version: Version,
        at_ms: u64,
    ) -> Vec<Version> {
        let mut news = Vec::new();
        for line in &mut self.lines {
            if line.delta.version > version || line.in_force.contains_key(place) {
                continue;
            }
            line.in_force.insert(place.clone(), InForce { seen: version, at_ms });
            news.push(line.delta.version);
        }
        news
    }

    /// Takes over what another daemon knows.
    pub fn merge(&mut self, lines: &[Entry]) {
        let deltas: Vec<Arc<Delta>> = lines.iter().map(|line| Arc::clone(&line.delta)).collect();
        self.add(&deltas);
        for theirs in lines {
            let ours = self.lines.iter_mut().find(|l| l.delta.version == theirs.delta.version);
            let Some(ours) = ours else {
                continue;
            };
            for (place, in_force) in &theirs.in_force {
                ours.in_force.entry(place.clone()).or_insert(*in_force);
            }
        }
    }

    /// Iterates over the lines, oldest first.
    pub fn entries(&self) -> impl DoubleEndedIterator<Item = &Entry> {
        self.lines.iter()
    }
}
