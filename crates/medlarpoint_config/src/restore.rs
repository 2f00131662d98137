//! Writes the version in force back to a store that has fallen behind.
//!
//! A store restored from a backup holds an older head. An accepted version is
//! never reverted, so a reader writes the version in force back: as the missing
//! deltas, so that commits can still be found by their ids, or as a checkpoint
//! if the deltas are no longer available.

use std::sync::Arc;

use bytes::Bytes;
use medlarpoint_model::{Delta, Snapshot, Version};
use medlarpoint_store::{Error, Expected, Item, Revision};

use crate::commit::{Action, Response};
use crate::{Head, Replica, checkpoint_key, head_key};

/// Size limit of a head that is written back with its deltas, in bytes; below
/// the store's limit for a value.
const MAX_HEAD_BYTES: usize = 900_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    ReadHead,
    WriteCheckpoint,
    WriteHead,
}

/// State machine that writes the local version back as the head, once.
#[derive(Clone, Debug)]
pub struct Restore {
    local: Arc<Snapshot>,
    recent: Vec<Arc<Delta>>,
    head: Head,
    revision: Option<Revision>,
    step: Step,
}

impl Restore {
    /// Starts to write back the version in force on `replica`, in case the
    /// stored head is older. Returns the first action.
    pub fn new(replica: &Replica) -> (Self, Action) {
        let local = Arc::clone(replica.current());
        let recent = replica.recent().cloned().collect();
        let head = Head::empty();
        let restore = Self { local, recent, head, revision: None, step: Step::ReadHead };
        (restore, Action::Get(head_key()))
    }

    /// Handles the result of the last action and returns the next one, or
    /// `None` at the end. An error or a lost response ends the write-back as
    /// well: the next read of the head starts a new one if it is still needed.
    pub fn step(&mut self, response: Response) -> Option<Action> {
        match (self.step, response) {
            (Step::ReadHead, Response::Get(Ok(item))) => self.on_head(item),
            (Step::WriteCheckpoint, Response::Put(Ok(_) | Err(Error::Conflict { .. }))) => {
                let head = self.head_with_checkpoint();
                Some(self.write_head(&head))
            }
            _ => None,
        }
    }

    fn on_head(&mut self, item: Option<Item>) -> Option<Action> {
        if let Some(item) = item {
            self.revision = Some(item.revision);
            self.head = Head::decode(&item.value).ok()?;
        }
        if self.head.version >= self.local.version {
            return None;
        }
        if let Some(head) = self.head_with_deltas() {
            return Some(self.write_head(&head));
        }
        self.step = Step::WriteCheckpoint;
        let value = rmp_serde::to_vec_named(&*self.local).ok()?;
        Some(Action::Put {
            key: checkpoint_key(self.local.version),
            expected: Expected::Absent,
            value: Bytes::from(value),
        })
    }

    /// Returns the stored head with the missing deltas appended, if these are
    /// available and within the size limit.
    fn head_with_deltas(&self) -> Option<Head> {
        let follows = |delta: &Arc<Delta>| {
            delta.base == self.head.version && delta.base_digest == self.head.digest
        };
        let first = self.recent.iter().position(follows)?;
        let missing = self.recent.iter().skip(first);
        let head = missing.fold(self.head.clone(), |head, delta| head.push(Arc::clone(delta)));
        (head.encode().len() <= MAX_HEAD_BYTES).then_some(head)
    }

    fn head_with_checkpoint(&self) -> Head {
        Head {
            version: self.local.version,
            digest: self.local.digest,
            checkpoint: self.local.version,
            previous_checkpoint: Version::ZERO,
            deltas: Vec::new(),
            segments: self.head.segments.clone(),
            forgotten: self.local.version,
        }
    }

    fn write_head(&mut self, head: &Head) -> Action {
        self.step = Step::WriteHead;
        Action::Put {
            key: head_key(),
            expected: self.revision.map_or(Expected::Absent, Expected::Revision),
            value: Bytes::from(head.encode()),
        }
    }
}

#[cfg(test)]
mod tests;
