//! In-memory store for tests and stand-ins.

use std::collections::VecDeque;

use bytes::Bytes;
use indexmap::IndexMap;

use crate::{
    Change, Changes, Era, Error, Expected, Item, Key, LeaseId, Listing, Position, Revision,
};

/// Upper limit for the size of a value, in bytes.
const MAX_VALUE_BYTES: usize = 1_048_576;
/// Upper limit for the number of changes that are kept for watches.
const MAX_HISTORY_CHANGES: usize = 4_096;

/// Values, revisions and leases of a store. Callers pass in the current time.
#[derive(Clone, Debug, Default)]
pub struct MemoryStore {
    values: IndexMap<Key, StoredValue>,
    leases: IndexMap<LeaseId, Lease>,
    /// Changes after `compacted`, oldest first.
    history: VecDeque<(Revision, Change)>,
    /// Revision up to which changes have been dropped from `history`.
    compacted: u64,
    last_revision: u64,
    era: Era,
}

#[derive(Clone, Debug)]
struct StoredValue {
    item: Item,
    lease: Option<LeaseId>,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    ttl_ms: u64,
    ends_ms: u64,
}

/// Error for a call that the store rejects.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Rejection {
    /// The precondition does not hold.
    #[error("the precondition does not hold (value at {0:?})")]
    Conflict(Option<Revision>),
    /// The value is too large.
    #[error("the value exceeds the limit of {MAX_VALUE_BYTES} bytes")]
    TooLarge,
    /// The lease has expired, was revoked or never existed.
    #[error("the lease does not exist")]
    LeaseNotFound,
    /// The requested changes are no longer in the history.
    #[error("the requested changes have been compacted")]
    Compacted,
}

impl From<Rejection> for Error {
    fn from(rejection: Rejection) -> Self {
        match rejection {
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
    /// Returns the value of a key.
    pub fn get(&self, key: &Key) -> Option<Item> {
        self.values.get(key).map(|value| value.item.clone())
    }

    /// Returns the values whose keys begin with `prefix`, sorted by key.
    pub fn list(&self, prefix: &str) -> Listing {
        let found = self.values.iter().filter(|(key, _)| key.as_str().starts_with(prefix));
        let mut items: Vec<(Key, Item)> =
            found.map(|(key, value)| (key.clone(), value.item.clone())).collect();
        items.sort_unstable_by(|a, b| a.0.cmp(&b.0));
        Listing { items, current: self.position() }
    }

    /// Returns the lease that the value of a key is bound to, if any.
    pub fn lease_of(&self, key: &Key) -> Option<LeaseId> {
        self.values.get(key)?.lease
    }

    /// Writes a value if the precondition holds. The value is removed when `lease`
    /// ends.
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
        self.last_revision += 1;
        let revision = Revision(self.last_revision);
        let item = Item { value, revision };
        self.values.insert(key.clone(), StoredValue { item: item.clone(), lease });
        self.record_change(Change { key: key.clone(), item: Some(item) });
        Ok(revision)
    }

    /// Removes a value if the precondition holds.
    pub fn delete(&mut self, key: &Key, expected: Expected) -> Result<(), Rejection> {
        self.check(key, expected)?;
        self.remove(key);
        Ok(())
    }

    /// Checks the precondition `expected` of a write to `key`.
    pub fn check(&self, key: &Key, expected: Expected) -> Result<(), Rejection> {
        let current = self.get(key).map(|item| item.revision);
        let holds = match expected {
            Expected::Any => true,
            Expected::Absent => current.is_none(),
            Expected::Revision(revision) => current == Some(revision),
        };
        if holds { Ok(()) } else { Err(Rejection::Conflict(current)) }
    }

    /// Returns the number of times that the store was restored from a copy.
    pub fn era(&self) -> Era {
        self.era
    }

    fn position(&self) -> Position {
        Position { era: self.era, revision: Revision(self.last_revision) }
    }

    /// Returns the changes after `after` to keys that begin with `prefix`.
    pub fn changes(&self, prefix: &str, after: Revision) -> Result<Changes, Rejection> {
        if after.0 < self.compacted || after.0 > self.last_revision {
            return Err(Rejection::Compacted);
        }
        let later = self.history.iter().filter(|(revision, _)| *revision > after);
        let matching = later.filter(|(_, change)| change.key.as_str().starts_with(prefix));
        let changes = matching.map(|(_, change)| change.clone()).collect();
        Ok(Changes { changes, current: self.position() })
    }

    /// Drops the history of changes; values are kept.
    pub fn compact(&mut self) {
        self.history.clear();
        self.compacted = self.last_revision;
    }

    /// Creates a lease that ends unless it is renewed within `ttl_ms`.
    pub fn grant(&mut self, ttl_ms: u64, now_ms: u64) -> LeaseId {
        self.last_revision += 1;
        let lease = LeaseId(self.last_revision);
        self.leases.insert(lease, Lease { ttl_ms, ends_ms: now_ms + ttl_ms });
        lease
    }

    /// Renews a lease and returns its time to live, in milliseconds.
    pub fn renew(&mut self, lease: LeaseId, now_ms: u64) -> Result<u64, Rejection> {
        let lease = self.leases.get_mut(&lease).ok_or(Rejection::LeaseNotFound)?;
        lease.ends_ms = now_ms + lease.ttl_ms;
        Ok(lease.ttl_ms)
    }

    /// Ends a lease and removes its values.
    pub fn revoke(&mut self, lease: LeaseId) -> Result<(), Rejection> {
        self.leases.swap_remove(&lease).ok_or(Rejection::LeaseNotFound)?;
        let bound = self.values.iter().filter(|(_, value)| value.lease == Some(lease));
        let keys: Vec<Key> = bound.map(|(key, _)| key.clone()).collect();
        for key in &keys {
            self.remove(key);
        }
        Ok(())
    }

    /// Ends the leases that have expired. Returns whether there were any.
    pub fn expire(&mut self, now_ms: u64) -> bool {
        let expired = self.leases.iter().filter(|(_, lease)| lease.ends_ms <= now_ms);
        let expired: Vec<LeaseId> = expired.map(|(id, _)| *id).collect();
        for lease in &expired {
            // The lease exists, so that revoking it cannot fail.
            let _ = self.revoke(*lease);
        }
        !expired.is_empty()
    }

    /// Replaces the content with `backup`, a copy made earlier, and starts a new era.
    /// Revisions and leases given out since the copy are given out again.
    pub fn restore(&mut self, backup: Self) {
        let era = Era(self.era.0 + 1);
        *self = Self { era, ..backup };
    }

    /// Returns the number of values.
    pub fn len(&self) -> usize {
        self.values.len()
    }

    /// Returns whether there is no value.
    pub fn is_empty(&self) -> bool {
        self.values.is_empty()
    }

    fn remove(&mut self, key: &Key) {
        if self.values.swap_remove(key).is_some() {
            self.last_revision += 1;
            self.record_change(Change { key: key.clone(), item: None });
        }
    }

    fn record_change(&mut self, change: Change) {
        self.history.push_back((Revision(self.last_revision), change));
        while self.history.len() > MAX_HISTORY_CHANGES {
            if let Some((revision, _)) = self.history.pop_front() {
                self.compacted = revision.0;
            }
        }
    }
}

#[cfg(test)]
mod tests;
