//! Orders to move services to new versions, as daemons tell each other.

use std::sync::Arc;

use medlarpoint_model::{Name, Vm};
use serde::{Deserialize, Serialize};

/// Phase of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolloutPhase {
    /// A few targets of the new version get a small share of the calls.
    #[serde(rename = "c")]
    Canary,
    /// All calls go to the new version, which is judged further.
    #[serde(rename = "s")]
    Shifting,
    /// The new version gets no calls.
    #[serde(rename = "b")]
    RolledBack,
    /// The new version has replaced the old one, and the store holds that.
    #[serde(rename = "d")]
    Completed,
}

/// What a daemon knows about an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollout {
    /// Service that is moved.
    #[serde(rename = "s")]
    pub service: Name,
    /// Software version of the targets that it is moved to.
    #[serde(rename = "v")]
    pub version: Arc<str>,
    /// Era of the store that holds the order.
    #[serde(rename = "e")]
    pub era: u64,
    /// Revision of the store that wrote the order.
    #[serde(rename = "n")]
    pub revision: u64,
    /// Time within which the order has to be decided, in milliseconds.
    #[serde(rename = "p")]
    pub period_ms: u64,
    /// Phase of the order.
    #[serde(rename = "g")]
    pub phase: RolloutPhase,
    /// Reason for the phase, in words.
    #[serde(rename = "r", default, skip_serializing_if = "String::is_empty")]
    pub reason: String,
    /// Time since the order was first read, in milliseconds.
    #[serde(rename = "a")]
    pub age_ms: u64,
}

/// Numbers of responses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutTally {
    /// Attempts that ended with a response or a failure of the target.
    #[serde(rename = "n")]
    pub responses: u64,
    /// Failures of the target.
    #[serde(rename = "f")]
    pub failures: u64,
    /// Responses that were much slower than the old version is.
    #[serde(rename = "s")]
    pub slow: u64,
}

/// Counts of one route since the start of an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutRoute {
    /// The route.
    #[serde(rename = "r")]
    pub route: Name,
    /// Targets of the old version together.
    #[serde(rename = "o")]
    pub old: RolloutTally,
    /// Targets of the new version together.
    #[serde(rename = "w")]
    pub new: RolloutTally,
    /// The targets of the new version with the most bad responses.
    #[serde(rename = "t", default, skip_serializing_if = "Vec::is_empty")]
    pub targets: Vec<(Vm, RolloutTally)>,
}
