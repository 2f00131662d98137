//! Status of the fleet: the version in force in each data centre.

use medlarpoint_model::{DataCentre, Digest, Name, Region, Version, Vm};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// State of the platform's store as seen by one daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[schemars(rename = "Store")]
pub struct StoreStatus {
    /// Whether the last request to the store got a response.
    pub available: bool,
    /// Time since which the store is unavailable, in milliseconds since the Unix
    /// epoch.
    pub down_since_ms: Option<u64>,
    /// Reason why the store is unavailable.
    pub reason: Option<String>,
}

/// State of the configuration in a data centre.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema, strum::Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
#[schemars(rename = "PlaceState")]
pub enum DataCentreState {
    /// The newest known version is in force on all live members.
    InForce,
    /// Some live members have an older version.
    Converging,
    /// No recent summary of the data centre has arrived; it may be unreachable.
    Unknown,
}

/// A member that does not yet have the newest version in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Laggard {
    /// The member.
    pub vm: Vm,
    /// Version in force on the member; absent while the member is starting or
    /// unreachable.
    pub applied: Option<Version>,
}

/// State of one data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[schemars(rename = "Place")]
pub struct DataCentreStatus {
    /// The data centre.
    pub data_centre: DataCentre,
    /// State of its configuration.
    pub state: DataCentreState,
    /// Version in force on all its live members, as last reported.
    pub version: Version,
    /// Time since which the version is in force, in milliseconds since the Unix
    /// epoch.
    pub since_ms: u64,
    /// Number of live members, as last reported.
    pub live: u32,
    /// Number of live members that are behind, as last reported.
    pub behind: u32,
    /// Some of the members that are behind.
    pub laggards: Vec<Laggard>,
    /// Time since the last report from the data centre, in milliseconds.
    pub heard_ms_ago: u64,
}

/// State of the target of the responding daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct TargetStatus {
    /// Service of the target.
    pub service: Name,
    /// Number of calls that the target runs at a time once it is warm.
    pub slots: u32,
    /// Number of slots usable now; lower than `slots` during a cold start.
    pub usable: u32,
    /// Number of calls that are running.
    pub running: u32,
    /// Number of calls that wait for a slot.
    pub queued: u32,
    /// Whether the target is draining and gets no new calls.
    pub draining: bool,
    /// Whether the target refuses connections.
    pub down: bool,
}

/// State of the fleet as seen by one daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Status {
    /// Counter that grows with each change of the status. A client passes it back
    /// to wait for the next change.
    pub change: u64,
    /// VM of the responding daemon.
    pub vm: Vm,
    /// Data centre of the responding daemon.
    pub data_centre: DataCentre,
    /// Region of the responding daemon.
    pub region: Region,
    /// Whether the daemon serves callers.
    pub serving: bool,
    /// Reason why the daemon does not serve callers yet.
    pub waiting: Option<String>,
    /// Version in force on the daemon.
    pub version: Version,
    /// Digest of the version in force.
    pub digest: Digest,
    /// Newest version that the daemon knows of.
    pub newest: Version,
    /// State of the platform's store.
    pub store: StoreStatus,
    /// All known data centres.
    pub data_centres: Vec<DataCentreStatus>,
    /// Members that lend the tokens of workspaces with a quota, as the daemon sees them;
    /// empty if no workspace has one.
    #[serde(default)]
    pub allocators: Vec<Vm>,
    /// Target of the daemon; absent if none has announced itself.
    pub target: Option<TargetStatus>,
}
