//! Puts the version in force back into a store that has fallen behind.
//!
//! A store restored from a backup offers an older head. An accepted version
//! never reverts, so a reader writes what the fleet has in force back.

use std::sync::Arc;

use bytes::Bytes;
use medlarpoint_model::{Snapshot, Version};
use medlarpoint_store::{Error, Expected, Item, Revision};

use crate::{Action, Head, Reply, checkpoint_key, head_key};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    ReadHead,
    WriteCheckpoint,
    WriteHead,
}

/// One try to write the local version back as the head.
#[derive(Clone, Debug)]
pub struct Restore {
    local: Arc<Snapshot>,
    head: Head,
    revision: Option<Revision>,
    step: Step,
}

impl Restore {
    /// Starts to write `local` back if the head is older.
    pub fn new(local: Arc<Snapshot>) -> (Self, Action) {
        let head = Head::empty();
        let restore = Self { local, head, revision: None, step: Step::ReadHead };
        (restore, Action::Get(head_key()))
    }

    /// Takes the result of the last action; `None` when nothing is left to do.
    /// A lost answer also ends the try: the next look at the head decides.
    pub fn step(&mut self, reply: Reply) -> Option<Action> {
        match (self.step, reply) {
            (Step::ReadHead, Reply::Got(Ok(item))) => self.on_head(item),
            (Step::WriteCheckpoint, Reply::Swapped(Ok(_) | Err(Error::Conflict { .. }))) => {
                Some(self.write_head())
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
        self.step = Step::WriteCheckpoint;
        let value = rmp_serde::to_vec_named(&*self.local).ok()?;
        Some(Action::Swap {
            key: checkpoint_key(self.local.version),
            expected: Expected::Absent,
            value: Bytes::from(value),
        })
    }

    fn write_head(&mut self) -> Action {
        self.step = Step::WriteHead;
        let head = Head {
            version: self.local.version,
            digest: self.local.digest,
            checkpoint: self.local.version,
            previous_checkpoint: Version::ZERO,
            deltas: Vec::new(),
            segments: self.head.segments.clone(),
        };
        Action::Swap {
            key: head_key(),
            expected: self.revision.map_or(Expected::Absent, Expected::Revision),
            value: Bytes::from(head.encode()),
        }
    }
}
