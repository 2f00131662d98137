//! An in-memory store for tests and stand-ins.

use std::collections::VecDeque;

use bytes::Bytes;
use indexmap::IndexMap;

use crate::{Change, Changes, Error, Expected, Item, Key, LeaseId, Listing, Revision};

/// Largest value, in bytes.
const MAX_VALUE_BYTES: usize = 1_048_576;
/// Changes remembered for watches.
const MAX_HISTORY: usize = 4_096;

/// Values, revisions and leases; time is passed in.
#[derive(Clone, Debug, Default)]
pub struct MemoryStore {
    slots: IndexMap<Key, Slot>,
    leases: IndexMap<LeaseId, Lease>,
    /// Changes after `forgotten`, oldest first.
    history: VecDeque<(Revision, Change)>,
    /// Changes up to this revision are no longer in `history`.
    forgotten: u64,
    last: u64,
}

#[derive(Clone, Debug)]
struct Slot {
    item: Item,
    lease: Option<LeaseId>,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    ttl_ms: u64,
    ends_ms: u64,
}

/// Why a write was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Rejection {
    /// The condition does not hold.
    #[error("the condition does not hold (value at {0:?})")]
    Conflict(Option<Revision>),
    /// The value is too large.
    #[error("a value may hold {MAX_VALUE_BYTES} bytes")]
    TooLarge,
    /// The lease has ended.
    #[error("there is no such lease")]
    LeaseNotFound,
    /// The changes asked for are no longer remembered.
    #[error("changes this old are forgotten")]
    Compacted,
}

impl From<Rejection> for Error {
    fn from(refusal: Rejection) -> Self {
        match refusal {
            Rejection::Conflict(current) => Self::Conflict { current },
            Rejection::TooLarge => {
                Self::TooLarge { bytes: MAX_VALUE_BYTES + 1, limit: MAX_VALUE_BYTES }
            }
            Rejection::LeaseNotFound => Self::LeaseNotFound,
            Rejection::Compacted => Self::Compacted,
        }
    }
}

impl MemoryStore {
    /// Reads a value.
    pub fn get(&self, key: &Key) -> Option<Item> {
        self.slots.get(key).map(|slot| slot.item.clone())
    }

    /// Reads the values whose keys begin with `prefix`.
    pub fn list(&self, prefix: &str) -> Listing {
        let found = self.slots.iter().filter(|(key, _)| key.as_str().starts_with(prefix));
        let mut items: Vec<(Key, Item)> =
            found.map(|(key, slot)| (key.clone(), slot.item.clone())).collect();
        items.sort_unstable_by(|a, b| a.0.cmp(&b.0));
        Listing { items, current: Revision(self.last) }
    }

    /// Returns the lease of a value.
    pub fn lease_of(&self, key: &Key) -> Option<LeaseId> {
        self.slots.get(key)?.lease
    }

    /// Writes a value if the condition holds; it is removed when `lease` ends.
    pub fn put(
        &mut self,
        key: &Key,
        expected: Expected,
        value: Bytes,
        lease: Option<LeaseId>,
    ) -> Result<Revision, Rejection> {
        if value.len() > MAX_VALUE_BYTES {
            return Err(Rejection::TooLarge);
        }
        self.check(key, expected)?;
        if lease.is_some_and(|lease| !self.leases.contains_key(&lease)) {
            return Err(Rejection::LeaseNotFound);
        }
        self.last += 1;
        let revision = Revision(self.last);
        let item = Item { value, revision };
        self.slots.insert(key.clone(), Slot { item: item.clone(), lease });
        self.remember(Change { key: key.clone(), item: Some(item) });
        Ok(revision)
    }

    /// Removes a value if the condition holds.
    pub fn delete(&mut self, key: &Key, expected: Expected) -> Result<(), Rejection> {
        self.check(key, expected)?;
        self.remove(key);
        Ok(())
    }

    /// Tells whether a write of `key` under `expected` would be taken.
    pub fn check(&self, key: &Key, expected: Expected) -> Result<(), Rejection> {
        let current = self.get(key).map(|item| item.revision);
        let holds = match expected {
            Expected::Any => true,
            Expected::Absent => current.is_none(),
            Expected::Revision(revision) => current == Some(revision),
        };
        if holds { Ok(()) } else { Err(Rejection::Conflict(current)) }
    }

    /// Returns the changes after `after` to keys that begin with `prefix`.
    pub fn changes(&self, prefix: &str, after: Revision) -> Result<Changes, Rejection> {
        if after.0 < self.forgotten {
            return Err(Rejection::Compacted);
        }
        let later = self.history.iter().filter(|(revision, _)| *revision > after);
        let fitting = later.filter(|(_, change)| change.key.as_str().starts_with(prefix));
        let changes = fitting.map(|(_, change)| change.clone()).collect();
        Ok(Changes { changes, current: Revision(self.last) })
    }

    /// Forgets all changes so far; values stay.
    pub fn compact(&mut self) {
        self.history.clear();
        self.forgotten = self.last;
    }

    /// Creates a lease.
    pub fn grant(&mut self, ttl_ms: u64, now_ms: u64) -> LeaseId {
        self.last += 1;
        let lease = LeaseId(self.last);
        self.leases.insert(lease, Lease { ttl_ms, ends_ms: now_ms + ttl_ms });
        lease
    }

    /// Renews a lease and returns its time to live, in milliseconds.
    pub fn renew(&mut self, lease: LeaseId, now_ms: u64) -> Result<u64, Rejection> {
        let lease = self.leases.get_mut(&lease).ok_or(Rejection::LeaseNotFound)?;
        lease.ends_ms = now_ms + lease.ttl_ms;
        Ok(lease.ttl_ms)
    }

    /// Ends a lease with its values.
    pub fn revoke(&mut self, lease: LeaseId) -> Result<(), Rejection> {
        self.leases.swap_remove(&lease).ok_or(Rejection::LeaseNotFound)?;
        let bound = self.slots.iter().filter(|(_, slot)| slot.lease == Some(lease));
        let keys: Vec<Key> = bound.map(|(key, _)| key.clone()).collect();
        for key in &keys {
            self.remove(key);
        }
        Ok(())
    }

    /// Ends the leases that have run out. Returns whether any had.
    pub fn expire(&mut self, now_ms: u64) -> bool {
        let due = self.leases.iter().filter(|(_, lease)| lease.ends_ms <= now_ms);
        let due: Vec<LeaseId> = due.map(|(id, _)| *id).collect();
        for lease in &due {
            // It is known, so there is no refusal.
            let _ = self.revoke(*lease);
        }
        !due.is_empty()
    }

    /// Puts a backup back. Revisions go on rising: those of a store never repeat.
    pub fn restore(&mut self, backup: Self) {
        let last = self.last.max(backup.last) + 1;
        let keys: Vec<Key> = self.slots.keys().cloned().collect();
        *self = Self { last, ..backup };
        // Watches see every key that the backup changed or removed.
        self.compact();
        self.forgotten = last - 1;
        let revision = Revision(last);
        let back: Vec<Key> = self.slots.keys().cloned().chain(keys).collect();
        for key in back {
            let item = self.get(&key);
            self.history.push_back((revision, Change { key, item }));
        }
    }

    /// Returns the number of values.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Tells whether there is no value.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    fn remove(&mut self, key: &Key) {
        if self.slots.swap_remove(key).is_some() {
            self.last += 1;
            self.remember(Change { key: key.clone(), item: None });
        }
    }

    fn remember(&mut self, change: Change) {
        self.history.push_back((Revision(self.last), change));
        while self.history.len() > MAX_HISTORY {
            if let Some((revision, _)) = self.history.pop_front() {
                self.forgotten = revision.0;
            }
        }
    }
}

#[cfg(test)]
mod tests;
