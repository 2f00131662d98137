//! An in-memory store for tests and stand-ins.

use bytes::Bytes;
use indexmap::IndexMap;

use crate::{Expected, Item, Key, Revision};

/// Largest value, in bytes.
const MAX_VALUE_BYTES: usize = 1_000_000;

/// Values, revisions and leases; time is passed in.
#[derive(Clone, Debug, Default)]
pub struct Table {
    slots: IndexMap<Key, Slot>,
    last: u64,
}

#[derive(Clone, Debug)]
struct Slot {
    item: Item,
    /// Time at which the lease runs out, in milliseconds; `None` never does.
    expires_ms: Option<u64>,
}

/// Why a write was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// The condition does not hold.
    #[error("the condition does not hold (value at {0:?})")]
    Conflict(Option<Revision>),
    /// The value is too large.
    #[error("a value may hold {MAX_VALUE_BYTES} bytes")]
    TooLarge,
}

impl Table {
    /// Reads a value.
    pub fn get(&self, key: &Key, now_ms: u64) -> Option<Item> {
        let slot = self.slots.get(key)?;
        let expired = slot.expires_ms.is_some_and(|at| at <= now_ms);
        (!expired).then(|| slot.item.clone())
    }

    /// Writes a value if the condition holds; `lease_ms` limits its life.
    pub fn swap(
        &mut self,
        key: &Key,
        expected: Expected,
        value: Bytes,
        lease_ms: Option<u64>,
        now_ms: u64,
    ) -> Result<Revision, Refusal> {
        if value.len() > MAX_VALUE_BYTES {
            return Err(Refusal::TooLarge);
        }
        self.check(key, expected, now_ms)?;
        self.last += 1;
        let revision = Revision(self.last);
        let expires_ms = lease_ms.map(|lease| now_ms + lease);
        let slot = Slot { item: Item { value, revision }, expires_ms };
        self.slots.insert(key.clone(), slot);
        Ok(revision)
    }

    /// Removes a value if the condition holds.
    pub fn delete(&mut self, key: &Key, expected: Expected, now_ms: u64) -> Result<(), Refusal> {
        self.check(key, expected, now_ms)?;
        self.last += 1;
        self.slots.swap_remove(key);
        Ok(())
    }

    /// Forgets values whose lease has run out.
    pub fn collect(&mut self, now_ms: u64) {
        self.slots.retain(|_, slot| slot.expires_ms.is_none_or(|at| at > now_ms));
    }

    /// Puts a backup back. Revisions go on rising: those of a store never repeat.
    pub fn restore(&mut self, backup: Self) {
        let last = self.last.max(backup.last);
        *self = Self { last, ..backup };
    }

    /// Returns the number of values, expired ones included.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Tells whether there is no value.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    fn check(&self, key: &Key, expected: Expected, now_ms: u64) -> Result<(), Refusal> {
        let current = self.get(key, now_ms).map(|item| item.revision);
        let holds = match expected {
            Expected::Absent => current.is_none(),
            Expected::Revision(revision) => current == Some(revision),
        };
        if holds { Ok(()) } else { Err(Refusal::Conflict(current)) }
    }
}

#[cfg(test)]
mod tests;
