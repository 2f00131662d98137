//! Oracle that records the accepted versions and the outcome of each commit.

use std::collections::{BTreeMap, HashSet};

use medlarpoint_config::Head;
use medlarpoint_model::{Change, CommitId, Key, Resource, Snapshot, Version, validate};

/// Records every accepted version and the reported outcome of each commit.
#[derive(Debug, Default)]
pub(super) struct Oracle {
    /// Content of each accepted version.
    pub(super) accepted: BTreeMap<Version, BTreeMap<Key, Resource>>,
    /// Commits that took effect.
    pub(super) commits: HashSet<CommitId>,
    /// Commits that were reported as rejected.
    pub(super) rejected: HashSet<CommitId>,
}

impl Oracle {
    /// Records the versions that a head adds; called after each store write.
    pub(super) fn observe(&mut self, head: &Head) {
        for delta in &head.deltas {
            if self.accepted.contains_key(&delta.version) {
                continue;
            }
            let before = Version(delta.version.0 - 1);
            let mut content = self.accepted.get(&before).cloned().unwrap_or_default();
            for change in &delta.changes {
                match change {
                    Change::Put(resource) => content.insert(resource.key(), resource.clone()),
                    Change::Delete(key) => content.remove(key),
                };
            }
            self.accepted.insert(delta.version, content);
            assert!(self.commits.insert(delta.commit), "a commit took effect twice");
            assert!(!self.rejected.contains(&delta.commit), "a rejected commit took effect");
        }
    }

    /// Returns the newest accepted version.
    pub(super) fn newest(&self) -> Version {
        self.accepted.keys().next_back().copied().unwrap_or_default()
    }

    /// Checks that a daemon's configuration equals an accepted version.
    pub(super) fn check(&self, snapshot: &Snapshot) {
        assert!(validate(snapshot).is_ok(), "an invalid configuration is in force");
        let empty = BTreeMap::new();
        let expected = if snapshot.version == Version::ZERO {
            &empty
        } else {
            let found = self.accepted.get(&snapshot.version);
            found.expect("a version is in force that was never accepted")
        };
        let actual: BTreeMap<Key, Resource> =
            snapshot.entries.iter().map(|(k, e)| (k.clone(), e.resource.clone())).collect();
        assert_eq!(
            &actual, expected,
            "content of {} differs from the accepted version",
            snapshot.version
        );
    }
}
