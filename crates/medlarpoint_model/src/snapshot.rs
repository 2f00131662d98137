//! Complete configuration versions.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{
    Change, Delta, Diagnostics, Digest, Entry, Key, Name, Policy, Resource, Route, Service,
    Version, Workspace, validate,
};

/// A configuration version with all its resources.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Number of the version.
    pub version: Version,
    /// Digest of `entries`.
    pub digest: Digest,
    /// All resources, sorted by key.
    pub entries: IndexMap<Key, Entry>,
}

/// Error for a delta or a checkpoint that cannot be applied.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SnapshotError {
    /// The delta does not apply to the local version.
    #[error("the delta to {delta} does not apply to {base}: fetch the versions in between")]
    Version {
        /// Local version.
        base: Version,
        /// Version that the delta produces.
        delta: Version,
    },
    /// The content of the local version differs from the base of the delta.
    #[error("content of {base} differs from the base of the delta: fetch a checkpoint")]
    BaseDigest {
        /// Local version.
        base: Version,
    },
    /// The content of the result differs from its declared digest.
    #[error("content of {version} differs from its declared digest: fetch a checkpoint")]
    Digest {
        /// Version that failed the check.
        version: Version,
    },
    /// The result violates a validation rule.
    #[error("{version} is invalid: {diagnostics}")]
    Invalid {
        /// Version that failed the check.
        version: Version,
        /// The violations that were found.
        diagnostics: Diagnostics,
    },
}

impl Snapshot {
    /// Returns the next version with `changes` applied, without validating it.
    #[must_use]
    pub fn edit(&self, changes: &[Change]) -> Self {
        self.edit_as(self.version.next(), changes)
    }

    /// Returns `version` with `changes` applied, without validating it.
    #[must_use]
    pub fn edit_as(&self, version: Version, changes: &[Change]) -> Self {
        let mut entries = self.entries.clone();
        for change in changes {
            match change {
                Change::Put(resource) => {
                    let entry = Entry { resource: resource.clone(), changed: version };
                    entries.insert(resource.key(), entry);
                }
                Change::Delete(key) => {
                    entries.shift_remove(key);
                }
            }
        }
        entries.sort_unstable_keys();
        let digest = Digest::of(&entries);
        Self { version, digest, entries }
    }

    /// Applies `delta` after checking its base, then checks digest and validity of
    /// the result.
    pub fn apply(&self, delta: &Delta) -> Result<Self, SnapshotError> {
        if delta.base != self.version || delta.version <= delta.base {
            return Err(SnapshotError::Version { base: self.version, delta: delta.version });
        }
        if delta.base_digest != self.digest {
            return Err(SnapshotError::BaseDigest { base: self.version });
        }
        let next = self.edit_as(delta.version, &delta.changes);
        if next.digest != delta.digest {
            return Err(SnapshotError::Digest { version: next.version });
        }
        next.validated()
    }

    /// Checks digest and validity of a snapshot received from a peer or the store.
    pub fn verify(mut self) -> Result<Self, SnapshotError> {
        self.entries.sort_unstable_keys();
        if Digest::of(&self.entries) != self.digest {
            return Err(SnapshotError::Digest { version: self.version });
        }
        self.validated()
    }

    fn validated(self) -> Result<Self, SnapshotError> {
        match validate(&self) {
            Ok(()) => Ok(self),
            Err(diagnostics) => Err(SnapshotError::Invalid { version: self.version, diagnostics }),
        }
    }

    /// Returns the empty configuration.
    pub fn empty() -> Self {
        let entries = IndexMap::new();
        Self { version: Version::ZERO, digest: Digest::of(&entries), entries }
    }

    /// Returns the routes in key order.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        self.entries.values().filter_map(|entry| match &entry.resource {
            Resource::Route(route) => Some(route),
            _ => None,
        })
    }

    /// Returns the workspaces in key order. Callers need a key if there is any, also if it is
    /// [`Workspace::placeholder`].
    pub fn workspaces(&self) -> impl Iterator<Item = &Workspace> {
        self.entries.values().filter_map(|entry| match &entry.resource {
            Resource::Workspace(workspace) => Some(workspace),
            _ => None,
        })
    }

    /// Looks up a service by name.
    pub fn service(&self, name: &Name) -> Option<&Service> {
        let key = Key { kind: crate::Kind::Service, name: name.clone() };
        match &self.entries.get(&key)?.resource {
            Resource::Service(service) => Some(service),
            _ => None,
        }
    }

    /// Looks up a policy by name.
    pub fn policy(&self, name: &Name) -> Option<&Policy> {
        let key = Key { kind: crate::Kind::Policy, name: name.clone() };
        match &self.entries.get(&key)?.resource {
            Resource::Policy(policy) => Some(policy),
            _ => None,
        }
    }
}
