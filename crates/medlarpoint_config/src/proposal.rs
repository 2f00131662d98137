//! What an operator proposes.

use medlarpoint_model::{Change, CommitId, Entry, Key, Snapshot, Version};
use serde::{Deserialize, Serialize};

/// What must be true of a resource for an edit to be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Precondition {
    /// Nothing: the last writer wins.
    Any,
    /// The resource does not exist.
    Absent,
    /// The resource last changed in this version.
    Changed(Version),
}

/// A change with its precondition.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Edit {
    /// The change.
    pub change: Change,
    /// What must be true for it.
    pub precondition: Precondition,
}

/// A set of edits that become one version together or not at all.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proposal {
    /// Identity; resending a proposal with the same one commits it once.
    pub commit: CommitId,
    /// Who proposes.
    pub author: String,
    /// Wall-clock time, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Newest version that cannot hold the commit yet; the search for an
    /// earlier try goes back to it.
    pub since: Version,
    /// Whether an earlier try with this identity ended without a result.
    pub resent: bool,
    /// The edits.
    pub edits: Vec<Edit>,
}

impl Proposal {
    /// Returns the first key whose precondition fails, with its entry.
    pub(crate) fn conflict<'a>(&self, base: &'a Snapshot) -> Option<(Key, Option<&'a Entry>)> {
        self.edits.iter().find_map(|edit| {
            let key = edit.change.key();
            let entry = base.entries.get(&key);
            let holds = match edit.precondition {
                Precondition::Any => true,
                Precondition::Absent => entry.is_none(),
                Precondition::Changed(version) => entry.is_some_and(|e| e.changed == version),
            };
            (!holds).then_some((key, entry))
        })
    }

    /// Returns the changes that alter `base`.
    pub(crate) fn effective(&self, base: &Snapshot) -> Vec<Change> {
        let alters = |change: &Change| match change {
            Change::Put(resource) => {
                base.entries.get(&resource.key()).is_none_or(|e| e.resource != *resource)
            }
            Change::Delete(key) => base.entries.contains_key(key),
        };
        self.edits.iter().map(|edit| edit.change.clone()).filter(alters).collect()
    }
}
