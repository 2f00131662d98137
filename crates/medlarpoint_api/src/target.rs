//! Targets.

use std::net::SocketAddr;

use medlarpoint_model::Name;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// How a target announces itself to the daemon of its VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Service it belongs to.
    pub service: Name,
    /// Where it takes calls.
    pub address: SocketAddr,
    /// Calls it runs at a time.
    pub slots: u32,
    /// Connections it takes at a time.
    pub connections: u32,
}

/// Stops or resumes new work for the target of the asked daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Drain {
    /// Whether new work is refused.
    pub draining: bool,
}
