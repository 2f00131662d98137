//! What one data centre has in force.

use medlarpoint_model::{DataCentre, Version, Vm};
use serde::{Deserialize, Serialize};

/// A member that has not reached the newest version its data centre knows of.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Laggard {
    /// The member.
    #[serde(rename = "v")]
    pub vm: Vm,
    /// Version it last reported, if any.
    #[serde(rename = "a")]
    pub applied: Option<Version>,
}

/// Version in force in a data centre, as its reporters see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DataCentreSummary {
    /// The data centre.
    #[serde(rename = "c")]
    pub data_centre: DataCentre,
    /// Wall-clock time of the summary, in milliseconds since the Unix epoch.
    /// The highest one replaces the others.
    #[serde(rename = "h")]
    pub heartbeat_ms: u64,
    /// Oldest version applied by a live member.
    #[serde(rename = "v")]
    pub version: Version,
    /// When the last live member reached `version`, in milliseconds since the
    /// Unix epoch.
    #[serde(rename = "s")]
    pub since_ms: u64,
    /// Live members.
    #[serde(rename = "n")]
    pub live: u32,
    /// Live members that are behind the newest version known.
    #[serde(rename = "b")]
    pub behind: u32,
    /// Some of the members that are behind.
    #[serde(rename = "l", default, skip_serializing_if = "Vec::is_empty")]
    pub laggards: Vec<Laggard>,
}
