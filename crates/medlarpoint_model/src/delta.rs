//! The difference between two successive versions.

use std::fmt;
use std::str::FromStr;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::{Digest, Key, Resource, Version};

/// A change of one resource.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
#[expect(clippy::large_enum_variant, reason = "changes are few, and most are puts")]
pub enum Change {
    /// Creates or replaces a resource.
    Put(Resource),
    /// Deletes a resource.
    Delete(Key),
}

impl Change {
    /// Returns the key of the changed resource.
    pub fn key(&self) -> Key {
        match self {
            Self::Put(resource) => resource.key(),
            Self::Delete(key) => key.clone(),
        }
    }
}

/// Identifier of a commit, chosen by the client so that the commit can be resent.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, JsonSchema,
)]
#[serde(try_from = "String", into = "String")]
#[schemars(with = "String")]
pub struct CommitId(pub u128);

/// Error for a text that is not a commit id.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is not a commit id: use up to 32 hexadecimal digits")]
pub struct InvalidCommitId(String);

impl fmt::Display for CommitId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for CommitId {
    type Err = InvalidCommitId;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let id = u128::from_str_radix(text, 16);
        id.map(Self).map_err(|_| InvalidCommitId(text.to_owned()))
    }
}

impl TryFrom<String> for CommitId {
    type Error = InvalidCommitId;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<CommitId> for String {
    fn from(id: CommitId) -> Self {
        id.to_string()
    }
}

/// The changes that turn one version into a later one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Delta {
    /// Version that the changes apply to.
    pub base: Version,
    /// Version that results; higher than the base.
    pub version: Version,
    /// Digest of the base.
    pub base_digest: Digest,
    /// Digest of the result.
    pub digest: Digest,
    /// Identifier of the commit.
    pub commit: CommitId,
    /// Author of the commit.
    pub author: String,
    /// Wall-clock time of the commit, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Changes, at most one per resource.
    pub changes: Vec<Change>,
}
