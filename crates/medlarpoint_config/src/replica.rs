//! The configuration in force on one daemon.

use std::collections::VecDeque;
use std::sync::Arc;

use medlarpoint_model::{CommitId, Delta, Digest, Mismatch, Snapshot, Version};
use medlarpoint_wire::{Pull, Tip, Update};

use crate::{Head, Publication};

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
pub enum Effect {
    /// The version in force has risen; the deltas are known unless a
    /// checkpoint was applied.
    Applied(Vec<Arc<Delta>>),
    /// Nothing newer was offered.
    Unchanged,
}

/// Why an update was not applied. The version in force is unchanged.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Rejection {
    /// A check failed.
    #[error(transparent)]
    Mismatch(#[from] Mismatch),
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
    pub fn respond(&self, pull: &Pull) -> Update {
        if pull.have.version >= self.current.version {
            return Update::Nothing;
        }
        let first = self.recent.iter().position(|delta| {
            delta.base == pull.have.version && delta.base_digest == pull.have.digest
        });
        match first {
            Some(first) => Update::Chain(self.recent.iter().skip(first).cloned().collect()),
            None => Update::Checkpoint(Arc::clone(&self.current)),
        }
    }

    /// Applies what a peer answered.
    pub fn apply(&mut self, update: Update) -> Result<Effect, Rejection> {
        match update {
            Update::Chain(deltas) => self.apply_deltas(&deltas),
            Update::Checkpoint(snapshot) => self.apply_checkpoint(Arc::unwrap_or_clone(snapshot)),
            Update::Nothing => Ok(Effect::Unchanged),
        }
    }

    /// Applies a head read from the store. `Ok(None)` asks for the checkpoint
    /// of the head.
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

    /// Applies a head on top of its checkpoint.
    pub fn apply_head_from(&mut self, head: &Head, base: &Snapshot) -> Result<Effect, Rejection> {
        self.check_order(head.version, head.digest)?;
        if head.version == self.current.version {
            return Ok(Effect::Unchanged);
        }
        let next = head.replay(base).map_err(|_| Mismatch::Digest { version: head.version })?;
        let next = next.verify()?;
        self.recent = head.deltas.iter().cloned().collect();
        self.current = Arc::new(next);
        Ok(Effect::Applied(head.deltas.clone()))
    }

    /// Applies a whole version that an outside owner of the configuration
    /// published. The changes against the version in force become a delta, so
    /// that peers need not fetch the whole.
    pub fn apply_publication(&mut self, published: Publication) -> Result<Effect, Rejection> {
        let base = Arc::clone(&self.current);
        if published.version <= base.version {
            return Ok(Effect::Unchanged);
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
            return Ok(Effect::Applied(Vec::new()));
        }
        self.recent.push_back(Arc::clone(&delta));
        self.trim();
        Ok(Effect::Applied(vec![delta]))
    }

    fn trim(&mut self) {
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
        self.trim();
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
