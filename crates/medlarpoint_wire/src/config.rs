//! Messages that carry configuration.

use std::sync::Arc;

use medlarpoint_model::{Delta, Digest, Snapshot, Version};
use serde::{Deserialize, Serialize};

/// Version that a daemon has in force, with the digest of its content.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Tip {
    /// Version in force.
    #[serde(rename = "v")]
    pub version: Version,
    /// Digest of the content of the version.
    #[serde(rename = "d")]
    pub digest: Digest,
}

/// Request to a peer for all changes after a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PullRequest {
    /// Version that the requesting daemon has in force.
    #[serde(rename = "h")]
    pub have: Tip,
}

/// Response to a [`PullRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PullResponse {
    /// The deltas that follow the version of the request, oldest first.
    #[serde(rename = "c")]
    Deltas(Vec<Arc<Delta>>),
    /// A complete version, if the peer no longer has the deltas.
    #[serde(rename = "k")]
    Checkpoint(Arc<Snapshot>),
    /// The peer has nothing newer.
    #[serde(rename = "n")]
    UpToDate,
}
