//! A whole version published by an outside owner of the configuration.

use indexmap::IndexMap;
use medlarpoint_model::{Change, Key, Resource, Snapshot, Version};

/// A whole version. Versions rise, but not by one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Publication {
    /// The version.
    pub version: Version,
    /// Who published it.
    pub author: String,
    /// Wall-clock time at which it was read, in milliseconds since the Unix
    /// epoch.
    pub at_ms: u64,
    /// Every resource of the version.
    pub resources: Vec<Resource>,
}

impl Publication {
    /// Returns what turns `base` into this version.
    pub(crate) fn changes(&self, base: &Snapshot) -> Vec<Change> {
        let wanted: IndexMap<Key, &Resource> =
            self.resources.iter().map(|resource| (resource.key(), resource)).collect();
        let gone = base.entries.keys().filter(|key| !wanted.contains_key(*key));
        let gone = gone.map(|key| Change::Delete(key.clone()));
        let differs = |(key, resource): &(&Key, &&Resource)| {
            base.entries.get(*key).is_none_or(|entry| entry.resource != ***resource)
        };
        let put = wanted.iter().filter(differs);
        let put = put.map(|(_, resource)| Change::Put((*resource).clone()));
        gone.chain(put).collect()
    }
}

#[cfg(test)]
mod tests;
