//! Declaring resources.

use medlarpoint_model::{Change, CommitId, Digest, Entry, Version};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// What must be true of a resource for an edit to be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Expect {
    /// Nothing: the last writer wins.
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
    /// What must be true for it.
    pub expect: Expect,
}

/// Edits that become one version together or not at all.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Commit {
    /// Identity; resending a commit with the same one makes it once.
    pub commit: CommitId,
    /// Who commits.
    pub author: String,
    /// Version the author had seen when the identity was drawn.
    pub since: Version,
    /// Whether an earlier try ended without a result.
    #[serde(default)]
    pub resent: bool,
    /// The edits.
    pub edits: Vec<Edit>,
}

/// A commit that took effect, or that had nothing to change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[schemars(rename = "Committed")]
pub struct CommitResult {
    /// The version that has the proposed content.
    pub version: Version,
    /// Identity of the commit.
    pub commit: CommitId,
    /// Whether everything already was as proposed.
    pub unchanged: bool,
}

/// The resources of the version in force on one daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Resources {
    /// The version.
    pub version: Version,
    /// Digest of the whole version.
    pub digest: Digest,
    /// The resources that were asked for, in order of their keys.
    pub entries: Vec<Entry>,
}
