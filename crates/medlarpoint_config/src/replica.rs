//! The configuration in force on one daemon.

use std::collections::VecDeque;
use std::sync::Arc;

use medlarpoint_model::{CommitId, Delta, Digest, Snapshot, SnapshotError, Version};
use medlarpoint_wire::{PullRequest, PullResponse, Tip};

use crate::{Head, Published};

/// Deltas kept to answer peers.
const MAX_RECENT: usize = 128;

/// Holds one whole version and moves only forward.
///
/// Invariant: `current` has passed validation and matches its digest.
/// Invariant: `recent` leads without a gap to `current`.
#[derive(Clone, Debug)]
pub struct Replica {
    current: Arc<Snapshot>,
    recent: VecDeque<Arc<Delta>>,
}

/// What an update changed.
#[derive(Clone, Debug, PartialEq)]
pub enum Offer {
    /// The version in force has risen; the deltas are known unless a
    /// checkpoint was applied.
    Applied(Vec<Arc<Delta>>),
    /// Nothing newer was offered.
    Nothing,
}

/// Why an update was not applied. The version in force is unchanged.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Rejection {
    /// A check failed.
    #[error(transparent)]
    Mismatch(#[from] SnapshotError),
    /// The offer is older than what is in force.
    #[error("{offered} was offered but {current} is in force")]
    Older {
        /// Version offered.
        offered: Version,
        /// Version in force.
        current: Version,
    },
    /// The offer has the same version with other content.
    #[error("{version} was offered with digest {offered} but {current} is in force")]
    Fork {
        /// The version.
        version: Version,
        /// Digest offered.
        offered: Digest,
        /// Digest in force.
        current: Digest,
    },
}

impl Default for Replica {
    fn default() -> Self {
        Self { current: Arc::new(Snapshot::empty()), recent: VecDeque::new() }
    }
}

impl Replica {
    /// Returns the version in force.
    pub fn current(&self) -> &Arc<Snapshot> {
        &self.current
    }

    /// Returns number and digest of the version in force.
    pub fn tip(&self) -> Tip {
        Tip { version: self.current.version, digest: self.current.digest }
    }

    /// Iterates over the deltas at hand, oldest first; they lead to the version
    /// in force.
    pub fn recent(&self) -> impl Iterator<Item = &Arc<Delta>> {
        self.recent.iter()
    }

    /// Answers a peer.
    pub fn answer(&self, pull: &PullRequest) -> PullResponse {
        if pull.have.version >= self.current.version {
            return PullResponse::UpToDate;
        }
        let first = self.recent.iter().position(|delta| {
            delta.base == pull.have.version && delta.base_digest == pull.have.digest
        });
        match first {
            Some(first) => PullResponse::Deltas(self.recent.iter().skip(first).cloned().collect()),
            None => PullResponse::Checkpoint(Arc::clone(&self.current)),
        }
    }

    /// Applies what a peer answered.
    pub fn offer(&mut self, update: PullResponse) -> Result<Offer, Rejection> {
        match update {
            PullResponse::Deltas(deltas) => self.offer_chain(&deltas),
            PullResponse::Checkpoint(snapshot) => {
                self.offer_checkpoint(Arc::unwrap_or_clone(snapshot))
            }
            PullResponse::UpToDate => Ok(Offer::Nothing),
        }
    }

    /// Applies a head read from the store. `Ok(None)` asks for the checkpoint
    /// of the head.
    pub fn offer_head(&mut self, head: &Head) -> Result<Option<Offer>, Rejection> {
        self.check_order(head.version, head.digest)?;
        if head.version == self.current.version {
            return Ok(Some(Offer::Nothing));
        }
        if head.reaches(&self.current) {
            return self.offer_chain(&head.deltas).map(Some);
        }
        if head.checkpoint == Version::ZERO {
            let base = Snapshot::empty();
            return self.offer_replay(head, &base).map(Some);
        }
        Ok(None)
    }

    /// Applies a head on top of its checkpoint.
    pub fn offer_replay(&mut self, head: &Head, base: &Snapshot) -> Result<Offer, Rejection> {
        self.check_order(head.version, head.digest)?;
        if head.version == self.current.version {
            return Ok(Offer::Nothing);
        }
        let next =
            head.replay(base).map_err(|_| SnapshotError::Digest { version: head.version })?;
        let next = next.verify()?;
        self.recent = head.deltas.iter().cloned().collect();
        self.current = Arc::new(next);
        Ok(Offer::Applied(head.deltas.clone()))
    }

    /// Applies a whole version that an outside owner of the configuration
    /// published. The changes against the version in force become a delta, so
    /// that peers need not fetch the whole.
    pub fn offer_published(&mut self, published: Published) -> Result<Offer, Rejection> {
        let base = Arc::clone(&self.current);
        if published.version <= base.version {
            return Ok(Offer::Nothing);
        }
        let changes = published.changes(&base);
        let next = base.edit_as(published.version, &changes);
        let next = next.verify()?;
        let delta = Arc::new(Delta {
            base: base.version,
            version: next.version,
            base_digest: base.digest,
            digest: next.digest,
            commit: CommitId(published.version.0.into()),
            author: published.author,
            at_ms: published.at_ms,
            changes,
        });
        self.current = Arc::new(next);
        if base.version == Version::ZERO {
            // The first version is as large as a checkpoint; peers get that.
            self.recent.clear();
            return Ok(Offer::Applied(Vec::new()));
        }
        self.recent.push_back(Arc::clone(&delta));
        self.trim();
        Ok(Offer::Applied(vec![delta]))
    }

    fn trim(&mut self) {
        let excess = self.recent.len().saturating_sub(MAX_RECENT);
        self.recent.drain(..excess);
    }

    fn offer_chain(&mut self, deltas: &[Arc<Delta>]) -> Result<Offer, Rejection> {
        let base = self.current.version;
        let newer: Vec<Arc<Delta>> =
            deltas.iter().filter(|delta| delta.version > base).cloned().collect();
        if newer.is_empty() {
            return Ok(Offer::Nothing);
        }
        let mut next = Snapshot::clone(&self.current);
        for delta in &newer {
            next = next.apply(delta)?;
        }
        self.current = Arc::new(next);
        self.recent.extend(newer.iter().cloned());
        self.trim();
        Ok(Offer::Applied(newer))
    }

    fn offer_checkpoint(&mut self, snapshot: Snapshot) -> Result<Offer, Rejection> {
        self.check_order(snapshot.version, snapshot.digest)?;
        if snapshot.version == self.current.version {
            return Ok(Offer::Nothing);
        }
        self.current = Arc::new(snapshot.verify()?);
        self.recent.clear();
        Ok(Offer::Applied(Vec::new()))
    }

    fn check_order(&self, version: Version, digest: Digest) -> Result<(), Rejection> {
        let current = self.tip();
        if version < current.version {
            return Err(Rejection::Older { offered: version, current: current.version });
        }
        if version == current.version && digest != current.digest {
            return Err(Rejection::Fork { version, offered: digest, current: current.digest });
        }
        Ok(())
    }
}
