//! Lookup of the workspace that a key belongs to.

use std::collections::HashMap;
use std::sync::Arc;

use medlarpoint_model::{KeyDigest, Snapshot, Workspace};

/// Keys of one configuration version.
///
/// The table is searched by digest, so the time of a lookup does not depend on how much of a
/// caller's key matches a valid one.
///
/// Invariant: each key belongs to one workspace, as the validation of the version ensures.
#[derive(Clone, Debug, Default)]
pub struct KeyTable {
    by_digest: HashMap<KeyDigest, Arc<Workspace>>,
    has_workspaces: bool,
}

impl KeyTable {
    /// Builds the table from a configuration snapshot.
    pub fn compile(snapshot: &Snapshot) -> Self {
        let mut table = Self::default();
        for workspace in snapshot.workspaces() {
            table.has_workspaces = true;
            let workspace = Arc::new(workspace.clone());
            let entries = workspace.keys.iter().map(|digest| (*digest, Arc::clone(&workspace)));
            table.by_digest.extend(entries);
        }
        table
    }

    /// Returns whether the version has any workspace, with or without keys. Calls are
    /// identified only if it has.
    pub fn has_workspaces(&self) -> bool {
        self.has_workspaces
    }

    /// Returns the workspace that a key belongs to.
    pub fn find(&self, digest: KeyDigest) -> Option<&Arc<Workspace>> {
        self.by_digest.get(&digest)
    }
}

#[cfg(test)]
mod tests;
