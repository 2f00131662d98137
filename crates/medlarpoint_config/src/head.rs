//! The head: the stored value that determines the current version.

use std::sync::Arc;

use medlarpoint_model::{CommitId, Delta, Digest, Snapshot, SnapshotError, Version};
use medlarpoint_store::Key;
use serde::{Deserialize, Serialize};

/// Number of deltas at which the deltas of a head move to a segment.
const MAX_DELTAS: usize = 24;
/// Size of a head, in bytes, at which its deltas move to a segment.
const MAX_HEAD_BYTES: usize = 32 * 1024;
/// Maximum number of segments kept; older ones are deleted.
const MAX_SEGMENTS: usize = 64;

/// The current version with the deltas since the last checkpoint.
///
/// Invariant: `deltas` lead from `checkpoint` to `version` without a gap.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Head {
    /// Current version.
    pub version: Version,
    /// Digest of the content of the current version.
    pub digest: Digest,
    /// Version of the newest checkpoint; zero is the empty configuration.
    pub checkpoint: Version,
    /// Version of the checkpoint before the newest, kept for readers of an older
    /// head.
    pub previous_checkpoint: Version,
    /// Deltas since the checkpoint, oldest first.
    pub deltas: Vec<Arc<Delta>>,
    /// Last versions of the journal segments, oldest first.
    pub segments: Vec<Version>,
    /// Version up to which commits can no longer be found by their ids.
    #[serde(default)]
    pub forgotten: Version,
}

/// Deltas that were moved out of the head.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Segment {
    /// Deltas of the segment, oldest first.
    pub deltas: Vec<Arc<Delta>>,
}

/// Reason why a head cannot be used.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CorruptHead {
    /// The stored value cannot be decoded as a head.
    #[error("the head in the store is malformed: {0}")]
    Malformed(String),
    /// The deltas do not lead to the declared content.
    #[error("the head in the store is inconsistent: {0}")]
    Inconsistent(#[from] SnapshotError),
}

fn key(text: &str) -> Key {
    text.parse().expect("keys are built from literals and numbers")
}

/// Returns the key of the head.
pub fn head_key() -> Key {
    key("config/head")
}

/// Returns the key of the checkpoint of `version`.
pub fn checkpoint_key(version: Version) -> Key {
    key(&format!("config/checkpoint/{}", version.0))
}

/// Returns the key of the journal segment that ends with `version`.
pub fn segment_key(version: Version) -> Key {
    key(&format!("config/journal/{}", version.0))
}

impl Head {
    /// Returns the head that stands for a store without one.
    pub fn empty() -> Self {
        Self {
            version: Version::ZERO,
            digest: Snapshot::empty().digest,
            checkpoint: Version::ZERO,
            previous_checkpoint: Version::ZERO,
            deltas: Vec::new(),
            segments: Vec::new(),
            forgotten: Version::ZERO,
        }
    }

    /// Decodes the stored value.
    pub fn decode(bytes: &[u8]) -> Result<Self, CorruptHead> {
        rmp_serde::from_slice(bytes).map_err(|e| CorruptHead::Malformed(e.to_string()))
    }

    /// Encodes the value to store.
    pub fn encode(&self) -> Vec<u8> {
        rmp_serde::to_vec_named(self).unwrap_or_default()
    }

    /// Finds a commit among the deltas of the head.
    pub fn find(&self, commit: CommitId) -> Option<&Arc<Delta>> {
        self.deltas.iter().find(|delta| delta.commit == commit)
    }

    /// Returns whether `base` lies between the checkpoint and the head, so that
    /// the deltas lead from it to the head.
    pub fn extends(&self, base: &Snapshot) -> bool {
        if base.version == self.version {
            return base.digest == self.digest;
        }
        let next = self.deltas.iter().find(|delta| delta.base == base.version);
        next.is_some_and(|delta| delta.base_digest == base.digest)
    }

    /// Applies the deltas that follow `base` and checks that they lead to the
    /// version and digest of the head.
    pub fn replay(&self, base: &Snapshot) -> Result<Snapshot, CorruptHead> {
        let mut current = base.clone();
        for delta in self.deltas.iter().filter(|delta| delta.version > base.version) {
            current = current.apply(delta)?;
        }
        if (current.version, current.digest) == (self.version, self.digest) {
            return Ok(current);
        }
        Err(CorruptHead::Inconsistent(SnapshotError::Digest { version: self.version }))
    }

    /// Returns whether the deltas should move to a segment with the next commit.
    pub(crate) fn is_full(&self) -> bool {
        self.deltas.len() >= MAX_DELTAS || self.encode().len() >= MAX_HEAD_BYTES
    }

    /// Returns the head without its deltas, valid once the checkpoint and the
    /// segment of `self.version` are written, and the keys that are no longer
    /// needed from then on.
    pub(crate) fn compact(&self) -> (Self, Vec<Key>) {
        let mut segments = self.segments.clone();
        segments.push(self.version);
        let excess = segments.len().saturating_sub(MAX_SEGMENTS);
        let dropped: Vec<Version> = segments.drain(..excess).collect();
        let forgotten = dropped.last().copied().unwrap_or(self.forgotten);
        let mut garbage: Vec<Key> = dropped.into_iter().map(segment_key).collect();
        if self.previous_checkpoint > Version::ZERO {
            garbage.push(checkpoint_key(self.previous_checkpoint));
        }
        let head = Self {
            checkpoint: self.version,
            previous_checkpoint: self.checkpoint,
            deltas: Vec::new(),
            segments,
            forgotten,
            ..self.clone()
        };
        (head, garbage)
    }

    /// Returns the head with `delta` appended.
    pub(crate) fn push(&self, delta: Arc<Delta>) -> Self {
        let mut head = self.clone();
        head.version = delta.version;
        head.digest = delta.digest;
        head.deltas.push(delta);
        head
    }
}
