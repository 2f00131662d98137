//! Past versions.

use medlarpoint_model::{CommitId, DataCentre, Key, Version};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// What was done to a resource.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema, strum::Display)]
#[serde(rename_all = "lowercase")]
#[strum(serialize_all = "lowercase")]
pub enum Action {
    /// Created or replaced.
    Put,
    /// Removed.
    Delete,
}

/// A resource that a version changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[schemars(rename = "Changed")]
pub struct ResourceChange {
    /// What was done.
    pub action: Action,
    /// The resource.
    pub key: Key,
}

/// When a version came into force in a data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[schemars(rename = "Reached")]
pub struct Activation {
    /// The data centre.
    pub data_centre: DataCentre,
    /// In milliseconds since the Unix epoch; absent while it has not been seen
    /// in force there.
    pub at_ms: Option<u64>,
    /// The version that was seen in force, where it is a later one.
    pub with: Option<Version>,
}

/// One version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[schemars(rename = "Line")]
pub struct HistoryEntry {
    /// The version.
    pub version: Version,
    /// Who committed it.
    pub author: String,
    /// Identity of the commit.
    pub commit: CommitId,
    /// When it was committed, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// What it changed.
    pub changes: Vec<ResourceChange>,
    /// Where it is in force.
    pub in_force: Vec<Activation>,
}

/// Versions that a daemon knows of, newest first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct History {
    /// The versions.
    pub lines: Vec<HistoryEntry>,
}
