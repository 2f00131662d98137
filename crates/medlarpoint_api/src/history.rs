//! Recent versions, their changes and when they came into force.

use medlarpoint_model::{CommitId, DataCentre, Key, Version};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Kind of a change to a resource.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema, strum::Display)]
#[serde(rename_all = "lowercase")]
#[strum(serialize_all = "lowercase")]
pub enum Action {
    /// The resource was created or replaced.
    Put,
    /// The resource was deleted.
    Delete,
}

/// A change that a version made to a resource.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[schemars(rename = "Changed")]
pub struct ResourceChange {
    /// Kind of the change.
    pub action: Action,
    /// The resource.
    pub key: Key,
}

/// Time at which a version came into force in a data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[schemars(rename = "Reached")]
pub struct Activation {
    /// The data centre.
    pub data_centre: DataCentre,
    /// Time at which the version was first seen in force there, in milliseconds
    /// since the Unix epoch; absent until then.
    pub at_ms: Option<u64>,
    /// Version that was seen in force at that time, if it is a later one than this.
    pub with: Option<Version>,
}

/// A version with its changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[schemars(rename = "Line")]
pub struct HistoryEntry {
    /// The version.
    pub version: Version,
    /// Author of the commit.
    pub author: String,
    /// Identity of the commit.
    pub commit: CommitId,
    /// Time of the commit, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Changes that the version made.
    pub changes: Vec<ResourceChange>,
    /// Time at which the version came into force, per data centre.
    pub in_force: Vec<Activation>,
}

/// Recent versions that a daemon knows, newest first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct History {
    /// The versions, newest first.
    pub lines: Vec<HistoryEntry>,
}
