//! Announcing and draining a target.

use std::net::SocketAddr;

use medlarpoint_model::Name;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Announcement of a target to the daemon of its VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Service that the target belongs to.
    pub service: Name,
    /// Address on which the target accepts calls.
    pub address: SocketAddr,
    /// Maximum number of calls that the target runs at a time.
    pub slots: u32,
    /// Maximum number of connections that the target accepts at a time.
    pub connections: u32,
    /// Software version of the target.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<String>,
}

/// Stops or resumes new calls to the target of the daemon that receives the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Drain {
    /// Whether new calls are rejected.
    pub draining: bool,
}
