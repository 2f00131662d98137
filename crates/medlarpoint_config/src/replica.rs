//! The configuration in force on one daemon.

use std::collections::VecDeque;
use std::sync::Arc;

use medlarpoint_model::{CommitId, Delta, Digest, Snapshot, SnapshotError, Version};
use medlarpoint_wire::{PullRequest, PullResponse, Tip};

use crate::{Head, Publication};

/// Maximum number of deltas kept to respond to peers.
const MAX_RECENT: usize = 128;

/// Holds one complete version, which is only ever replaced by a newer one.
///
/// Invariant: `current` has passed validation and matches its digest.
/// Invariant: `recent` leads without a gap to `current`.
#[derive(Clone, Debug)]
pub struct Replica {
    current: Arc<Snapshot>,
    recent: VecDeque<Arc<Delta>>,
}

/// Effect of an update on the version in force.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// A newer version is in force. Lists the applied deltas, oldest first;
    /// empty if they are not known, as after a checkpoint.
    Applied(Vec<Arc<Delta>>),
    /// The update contained nothing newer.
    Unchanged,
}

/// Reason why an update was rejected. The version in force is unchanged.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Rejection {
    /// The update failed a check.
    #[error(transparent)]
    Mismatch(#[from] SnapshotError),
    /// The update is older than the version in force.
    #[error("{offered} was offered but is older than {current}, which is in force")]
    Older {
        /// Version offered.
        offered: Version,
        /// Version in force.
        current: Version,
    },
    /// The update has the version in force with different content.
    #[error("{version} was offered with digest {offered} but is in force with digest {current}")]
    Fork {
        /// Version number of both.
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

    /// Returns the number and the digest of the version in force.
    pub fn tip(&self) -> Tip {
        Tip { version: self.current.version, digest: self.current.digest }
    }

    /// Iterates over the recent deltas, oldest first; the last one leads to the
    /// version in force.
    pub fn recent(&self) -> impl Iterator<Item = &Arc<Delta>> {
        self.recent.iter()
    }

    /// Builds the response to the pull of a peer: the deltas it lacks, or a
    /// checkpoint if these are no longer available.
    pub fn respond(&self, pull: &PullRequest) -> PullResponse {
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

    /// Applies the response of a peer to a pull.
    pub fn apply(&mut self, update: PullResponse) -> Result<Effect, Rejection> {
        match update {
            PullResponse::Deltas(deltas) => self.apply_deltas(&deltas),
            PullResponse::Checkpoint(snapshot) => {
                self.apply_checkpoint(Arc::unwrap_or_clone(snapshot))
            }
            PullResponse::UpToDate => Ok(Effect::Unchanged),
        }
    }

    /// Applies a head read from the store. Returns `Ok(None)` if the checkpoint
    /// of the head is needed, see [`Replica::apply_head_from`].
    pub fn apply_head(&mut self, head: &Head) -> Result<Option<Effect>, Rejection> {
        self.check_order(head.version, head.digest)?;
        if head.version == self.current.version {
            return Ok(Some(Effect::Unchanged));
        }
        if head.extends(&self.current) {
            return self.apply_deltas(&head.deltas).map(Some);
        }
        if head.checkpoint == Version::ZERO {
            let base = Snapshot::empty();
            return self.apply_head_from(head, &base).map(Some);
        }
        Ok(None)
    }

    /// Applies a head on top of `base`, its checkpoint.
    pub fn apply_head_from(&mut self, head: &Head, base: &Snapshot) -> Result<Effect, Rejection> {
        self.check_order(head.version, head.digest)?;
        if head.version == self.current.version {
            return Ok(Effect::Unchanged);
        }
        let next =
            head.replay(base).map_err(|_| SnapshotError::Digest { version: head.version })?;
        let next = next.verify()?;
        self.recent = head.deltas.iter().cloned().collect();
        self.current = Arc::new(next);
        Ok(Effect::Applied(head.deltas.clone()))
    }

    /// Applies a complete version published by an external owner of the
    /// configuration. The changes against the version in force become a delta,
    /// so that peers need not pull the complete version.
    pub fn apply_publication(&mut self, publication: Publication) -> Result<Effect, Rejection> {
        let base = Arc::clone(&self.current);
        if publication.version <= base.version {
            return Ok(Effect::Unchanged);
        }
        let changes = publication.changes(&base);
        let next = base.edit_as(publication.version, &changes);
        let next = next.verify()?;
        let delta = Arc::new(Delta {
            base: base.version,
            version: next.version,
            base_digest: base.digest,
            digest: next.digest,
            commit: CommitId(publication.version.0.into()),
            author: publication.author,
            at_ms: publication.at_ms,
            changes,
        });
        self.current = Arc::new(next);
        if base.version == Version::ZERO {
            // A delta from the empty configuration would be as large as a
            // checkpoint, so peers get the checkpoint.
            self.recent.clear();
            return Ok(Effect::Applied(Vec::new()));
        }
        self.recent.push_back(Arc::clone(&delta));
        self.trim_recent();
        Ok(Effect::Applied(vec![delta]))
    }

    fn trim_recent(&mut self) {
        let excess = self.recent.len().saturating_sub(MAX_RECENT);
        self.recent.drain(..excess);
    }

    fn apply_deltas(&mut self, deltas: &[Arc<Delta>]) -> Result<Effect, Rejection> {
        let base = self.current.version;
        let newer: Vec<Arc<Delta>> =
            deltas.iter().filter(|delta| delta.version > base).cloned().collect();
        if newer.is_empty() {
            return Ok(Effect::Unchanged);
        }
        let mut next = Snapshot::clone(&self.current);
        for delta in &newer {
            next = next.apply(delta)?;
        }
        self.current = Arc::new(next);
        self.recent.extend(newer.iter().cloned());
        self.trim_recent();
        Ok(Effect::Applied(newer))
    }

    fn apply_checkpoint(&mut self, snapshot: Snapshot) -> Result<Effect, Rejection> {
        self.check_order(snapshot.version, snapshot.digest)?;
        if snapshot.version == self.current.version {
            return Ok(Effect::Unchanged);
        }
        self.current = Arc::new(snapshot.verify()?);
        self.recent.clear();
        Ok(Effect::Applied(Vec::new()))
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
