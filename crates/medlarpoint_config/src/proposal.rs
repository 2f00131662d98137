//! Changes proposed by an operator, before they are committed.

use medlarpoint_model::{Change, CommitId, Entry, Key, Resource, Snapshot, Version, Workspace};
use serde::{Deserialize, Serialize};

/// Condition on a resource under which an edit may be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Precondition {
    /// No condition: the last writer wins.
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
    /// Condition on the current state of the resource.
    pub precondition: Precondition,
}

/// A set of edits that is committed atomically as one version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proposal {
    /// Idempotency key: a proposal that is sent again with the same id is
    /// committed once.
    pub commit: CommitId,
    /// Operator who submitted the proposal.
    pub author: String,
    /// Wall-clock time of the proposal, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Newest version that cannot contain the commit yet; the search for an
    /// earlier submission goes back to this version.
    pub since: Version,
    /// Whether an earlier submission with this id ended with an unknown outcome.
    pub resent: bool,
    /// Edits to commit together.
    pub edits: Vec<Edit>,
}

impl Proposal {
    /// Returns the first key whose precondition does not hold in `base`, with
    /// its entry.
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

    /// Returns the changes that alter `base`, leaving out those without effect. Deleting the
    /// last workspace leaves [`Workspace::placeholder`].
    pub(crate) fn effective(&self, base: &Snapshot) -> Vec<Change> {
        let alters = |change: &Change| match change {
            Change::Put(resource) => {
                base.entries.get(&resource.key()).is_none_or(|e| e.resource != *resource)
            }
            Change::Delete(key) => base.entries.contains_key(key),
        };
        let edits = self.edits.iter().map(|edit| edit.change.clone());
        let mut changes: Vec<Change> = edits.filter(alters).collect();
        changes.extend(keep_closed(base, &changes));
        changes
    }
}

/// Returns the change that keeps callers without a key out if `changes` delete the last
/// workspace. Deleting [`Workspace::placeholder`] itself lets them in.
fn keep_closed(base: &Snapshot, changes: &[Change]) -> Option<Change> {
    let placeholder = Resource::Workspace(Workspace::placeholder());
    let key = placeholder.key();
    let is_last = base.workspaces().next().is_some()
        && base.edit(changes).workspaces().next().is_none()
        && !changes.iter().any(|change| change.key() == key);
    is_last.then_some(Change::Put(placeholder))
}

#[cfg(test)]
mod tests;
