//! Messages that carry configuration.

use std::sync::Arc;

use medlarpoint_model::{Delta, Digest, Snapshot, Version};
use serde::{Deserialize, Serialize};

/// The version a daemon has in force.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Tip {
    /// Version in force.
    #[serde(rename = "v")]
    pub version: Version,
    /// Digest of its content.
    #[serde(rename = "d")]
    pub digest: Digest,
}

/// Asks a peer for everything after a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PullRequest {
    /// What the asking daemon has in force.
    #[serde(rename = "h")]
    pub have: Tip,
}

/// Answer to a [`PullRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PullResponse {
    /// The deltas that follow the asked version, oldest first.
    #[serde(rename = "c")]
    Deltas(Vec<Arc<Delta>>),
    /// A whole version, when the deltas are no longer at hand.
    #[serde(rename = "k")]
    Checkpoint(Arc<Snapshot>),
    /// The peer has nothing newer.
    #[serde(rename = "n")]
    UpToDate,
}
