//! Commits and the resources in force.

use medlarpoint_model::{Change, CommitId, Digest, Entry, Version};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Precondition of an edit. A commit with an unmet precondition changes nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Expect {
    /// No precondition: the last writer wins.
    Any,
    /// The resource does not exist.
    Absent,
    /// The resource last changed in this version.
    Changed(Version),
}

/// A change with its precondition.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Edit {
    /// The change.
    pub change: Change,
    /// The precondition.
    pub expect: Expect,
}

/// Edits that become one version together or not at all.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Commit {
    /// Identity of the commit. A commit that is sent again with the same identity
    /// takes effect at most once.
    pub commit: CommitId,
    /// Author, as shown in the history.
    pub author: String,
    /// Version that the author had seen when the identity was created.
    pub since: Version,
    /// Whether the commit was sent before without a known result.
    #[serde(default)]
    pub resent: bool,
    /// The edits.
    pub edits: Vec<Edit>,
}

/// Result of a commit that took effect or had nothing to change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[schemars(rename = "Committed")]
pub struct CommitResult {
    /// Version that has the proposed content.
    pub version: Version,
    /// Identity of the commit.
    pub commit: CommitId,
    /// Whether the version in force already had the proposed content.
    pub unchanged: bool,
}

/// The resources of the version in force on one daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Resources {
    /// The version.
    pub version: Version,
    /// Digest of all resources of the version.
    pub digest: Digest,
    /// The requested resources, ordered by key.
    pub entries: Vec<Entry>,
}
