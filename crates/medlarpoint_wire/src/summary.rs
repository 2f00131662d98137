//! Summary of the versions in force in a data centre.

use medlarpoint_model::{DataCentre, Version, Vm};
use serde::{Deserialize, Serialize};

/// A member that has not applied the newest version known in its data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Laggard {
    /// VM of the member.
    #[serde(rename = "v")]
    pub vm: Vm,
    /// Version that the member last reported, if any.
    #[serde(rename = "a")]
    pub applied: Option<Version>,
}

/// Versions in force in a data centre, as its reporters know them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DataCentreSummary {
    /// Data centre that is summarised.
    #[serde(rename = "c")]
    pub data_centre: DataCentre,
    /// Wall-clock time of the summary, in milliseconds since the Unix epoch. The
    /// summary with the highest time replaces the others.
    #[serde(rename = "h")]
    pub heartbeat_ms: u64,
    /// Oldest version applied by a live member.
    #[serde(rename = "v")]
    pub version: Version,
    /// Wall-clock time at which the last live member applied `version`, in
    /// milliseconds since the Unix epoch.
    #[serde(rename = "s")]
    pub since_ms: u64,
    /// Number of live members.
    #[serde(rename = "n")]
    pub live: u32,
    /// Number of live members that are behind the newest known version.
    #[serde(rename = "b")]
    pub behind: u32,
    /// Some of the members that are behind.
    #[serde(rename = "l", default, skip_serializing_if = "Vec::is_empty")]
    pub laggards: Vec<Laggard>,
}
