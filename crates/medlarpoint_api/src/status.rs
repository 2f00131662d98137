//! What is in force, where, and since when.

use medlarpoint_model::{DataCentre, Digest, Name, Region, Version, Vm};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// State of the platform's store as one daemon sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[schemars(rename = "Store")]
pub struct StoreStatus {
    /// Whether the last call was answered.
    pub available: bool,
    /// Since when it is not, in milliseconds since the Unix epoch.
    pub down_since_ms: Option<u64>,
    /// Why it is not.
    pub reason: Option<String>,
}

/// What is known of a data centre's configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema, strum::Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
#[schemars(rename = "PlaceState")]
pub enum DataCentreState {
    /// The newest version known is in force on each live member.
    InForce,
    /// Some live members have an older version.
    Converging,
    /// Nothing has been heard of it lately; it may be cut off.
    Unknown,
}

/// A member that is behind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Laggard {
    /// The member.
    pub vm: Vm,
    /// What it has in force; absent while it is starting or cannot be asked.
    pub applied: Option<Version>,
}

/// One data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[schemars(rename = "Place")]
pub struct DataCentreStatus {
    /// The data centre.
    pub data_centre: DataCentre,
    /// What is known of it.
    pub state: DataCentreState,
    /// Version in force on each of its live members, as last heard.
    pub version: Version,
    /// Since when, in milliseconds since the Unix epoch.
    pub since_ms: u64,
    /// Live members, as last heard.
    pub live: u32,
    /// Live members that are behind, as last heard.
    pub behind: u32,
    /// Some of those that are behind.
    pub laggards: Vec<Laggard>,
    /// Time since it was last heard of, in milliseconds.
    pub heard_ms_ago: u64,
}

/// The target of the answering daemon's VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct TargetStatus {
    /// Its service.
    pub service: Name,
    /// Its slots.
    pub slots: u32,
    /// Slots usable now; fewer while it starts cold.
    pub usable: u32,
    /// Calls running.
    pub running: u32,
    /// Calls waiting.
    pub queued: u32,
    /// Whether it takes no new work.
    pub draining: bool,
    /// Whether it refuses connections.
    pub down: bool,
}

/// State of the fleet as one daemon sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Status {
    /// Counts changes of this status; pass it back to wait for the next one.
    pub change: u64,
    /// The answering VM.
    pub vm: Vm,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Its region.
    pub region: Region,
    /// Whether it serves callers.
    pub serving: bool,
    /// Why it does not.
    pub waiting: Option<String>,
    /// Version in force on it.
    pub version: Version,
    /// Digest of that version.
    pub digest: Digest,
    /// Newest version it has heard of.
    pub newest: Version,
    /// The platform's store.
    pub store: StoreStatus,
    /// Every data centre heard of.
    pub data_centres: Vec<DataCentreStatus>,
    /// Its target.
    pub target: Option<TargetStatus>,
}
