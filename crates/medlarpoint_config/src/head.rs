//! The head: the one value that decides which version is current.

use std::sync::Arc;

use medlarpoint_model::{CommitId, Delta, Digest, Mismatch, Snapshot, Version};
use medlarpoint_store::Key;
use serde::{Deserialize, Serialize};

/// Deltas kept in the head before they move to a segment.
const MAX_DELTAS: usize = 24;
/// Size at which the deltas of a head move to a segment, in bytes.
const MAX_HEAD_BYTES: usize = 32 * 1024;
/// Segments kept; older history is collected.
const MAX_SEGMENTS: usize = 64;

/// Current version with the deltas since the last checkpoint.
///
/// Invariant: `deltas` lead without a gap from `checkpoint` to `version`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Head {
    /// Current version.
    pub version: Version,
    /// Digest of its content.
    pub digest: Digest,
    /// Version of the newest checkpoint; zero is the empty configuration.
    pub checkpoint: Version,
    /// The checkpoint before that, kept for readers of an older head.
    pub previous_checkpoint: Version,
    /// Deltas since the checkpoint, oldest first.
    pub deltas: Vec<Arc<Delta>>,
    /// Last versions of the journal segments, oldest first.
    pub segments: Vec<Version>,
    /// Commits up to this version can no longer be found by their ids.
    #[serde(default)]
    pub forgotten: Version,
}

/// Deltas that left the head.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Segment {
    /// The deltas, oldest first.
    pub deltas: Vec<Arc<Delta>>,
}

/// A head that cannot be read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CorruptHead {
    /// The value is not a head.
    #[error("the head in the store is malformed: {0}")]
    Malformed(String),
    /// The deltas do not lead to the declared content.
    #[error("the head in the store is inconsistent: {0}")]
    Inconsistent(#[from] Mismatch),
}

fn key(text: &str) -> Key {
    text.parse().expect("keys are built from literals and numbers")
}

/// Key of the head.
pub fn head_key() -> Key {
    key("config/head")
}

/// Key of the checkpoint of `version`.
pub fn checkpoint_key(version: Version) -> Key {
    key(&format!("config/checkpoint/{}", version.0))
}

/// Key of the journal segment that ends with `version`.
pub fn segment_key(version: Version) -> Key {
    key(&format!("config/journal/{}", version.0))
}

impl Head {
    /// The head of a store that holds none.
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

    /// Finds a commit among the deltas.
    pub fn find(&self, commit: CommitId) -> Option<&Arc<Delta>> {
        self.deltas.iter().find(|delta| delta.commit == commit)
    }

    /// Tells whether `base` is on the way from the checkpoint to the head.
    pub fn extends(&self, base: &Snapshot) -> bool {
        if base.version == self.version {
            return base.digest == self.digest;
        }
        let next = self.deltas.iter().find(|delta| delta.base == base.version);
        next.is_some_and(|delta| delta.base_digest == base.digest)
    }

    /// Applies the deltas that follow `base`.
    pub fn replay(&self, base: &Snapshot) -> Result<Snapshot, CorruptHead> {
        let mut current = base.clone();
        for delta in self.deltas.iter().filter(|delta| delta.version > base.version) {
            current = current.apply(delta)?;
        }
        if (current.version, current.digest) == (self.version, self.digest) {
            return Ok(current);
        }
        Err(CorruptHead::Inconsistent(Mismatch::Digest { version: self.version }))
    }

    /// Tells whether the deltas should move to a segment before the next commit.
    pub(crate) fn is_full(&self) -> bool {
        self.deltas.len() >= MAX_DELTAS || self.encode().len() >= MAX_HEAD_BYTES
    }

    /// Returns the head without its deltas, as it stands once the checkpoint
    /// and the segment of `self.version` are written, and the keys that are
    /// then no longer needed.
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

    /// Returns the head that follows by `delta`.
    pub(crate) fn push(&self, delta: Arc<Delta>) -> Self {
        let mut head = self.clone();
        head.version = delta.version;
        head.digest = delta.digest;
        head.deltas.push(delta);
        head
    }
}
