//! Complete versions published by an external owner of the configuration.

use indexmap::IndexMap;
use medlarpoint_model::{Change, Key, Resource, Snapshot, Version};

/// A complete version from an external owner. Version numbers increase, but not
/// necessarily by one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Publication {
    /// Version number assigned by the owner.
    pub version: Version,
    /// Name of the publisher.
    pub author: String,
    /// Wall-clock time at which the version was read from the store, in
    /// milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// All resources of the version.
    pub resources: Vec<Resource>,
}

impl Publication {
    /// Returns the changes that turn `base` into this version.
    pub(crate) fn changes(&self, base: &Snapshot) -> Vec<Change> {
        let wanted: IndexMap<Key, &Resource> =
            self.resources.iter().map(|resource| (resource.key(), resource)).collect();
        let deleted = base.entries.keys().filter(|key| !wanted.contains_key(*key));
        let deleted = deleted.map(|key| Change::Delete(key.clone()));
        let differs = |(key, resource): &(&Key, &&Resource)| {
            base.entries.get(*key).is_none_or(|entry| entry.resource != ***resource)
        };
        let put = wanted.iter().filter(differs);
        let put = put.map(|(_, resource)| Change::Put((*resource).clone()));
        deleted.chain(put).collect()
    }
}

#[cfg(test)]
mod tests;
