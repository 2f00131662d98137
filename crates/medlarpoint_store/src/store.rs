//! Interface of the platform's store.

use std::fmt;
use std::future::Future;
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{Error, Key};

/// Revision of the store. Every write gets a higher one than those before.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "r{}", self.0)
    }
}

/// Number that rises each time the store is restored from a copy. Revisions and
/// leases are comparable only within an era.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Era(pub u64);

impl fmt::Display for Era {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "era {}", self.0)
    }
}

/// Point in the history of changes of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Position {
    /// Era in which the store gave out the revision.
    pub era: Era,
    /// Revision up to which all changes are known.
    pub revision: Revision,
}

/// A lease of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Era in which the store granted the lease. A later one may grant its id again.
    pub era: Era,
    /// Identifier of the lease.
    pub id: LeaseId,
}

/// Identifier of a lease. On the wire, 0 stands for no lease.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct LeaseId(pub u64);

/// A stored value with its revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// The value.
    pub value: Bytes,
    /// Revision of the write that set the value.
    pub revision: Revision,
}

/// The values whose keys begin with a prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listing {
    /// Keys and values, sorted by key.
    pub items: Vec<(Key, Item)>,
    /// Position of the store before the first value was read. A watch that starts
    /// there misses no change.
    pub current: Position,
}

/// A change of the value of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The changed key.
    pub key: Key,
    /// New value, or `None` if the value was removed.
    pub item: Option<Item>,
}

/// Changes to keys that begin with a prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// Changes, oldest first; empty if none occurred within the wait time.
    pub changes: Vec<Change>,
    /// Position from which the next watch continues.
    pub current: Position,
}

/// Consistency of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Consistency {
    /// The read sees every write that was completed before it.
    Latest,
    /// The read may be seconds old, which costs the store less.
    MaybeStale,
}

/// Precondition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expected {
    /// No condition.
    Any,
    /// The key has no value.
    Absent,
    /// The current value was set by the write of this revision.
    Revision(Revision),
}

/// A key-value store with compare-and-swap, leases and watches.
pub trait Store: Clone + Send + Sync + 'static {
    /// Reads the value of a key.
    fn get(&self, key: &Key) -> impl Future<Output = Result<Option<Item>, Error>> + Send;

    /// Reads the values whose keys begin with `prefix`.
    fn list(
        &self,
        prefix: &Key,
        consistency: Consistency,
    ) -> impl Future<Output = Result<Listing, Error>> + Send;

    /// Writes a value if the precondition holds. A value with a lease is removed
    /// when the lease ends.
    fn put(
        &self,
        key: &Key,
        expected: Expected,
        value: Bytes,
        lease: Option<Lease>,
    ) -> impl Future<Output = Result<Revision, Error>> + Send;

    /// Removes a value if the precondition holds.
    fn delete(
        &self,
        key: &Key,
        expected: Expected,
    ) -> impl Future<Output = Result<(), Error>> + Send;

    /// Waits up to `wait` for changes after `after` to keys that begin with `prefix`.
    /// Fails with [`Error::Compacted`] if the store was restored from a copy since.
    fn watch(
        &self,
        prefix: &Key,
        after: Position,
        wait: Duration,
    ) -> impl Future<Output = Result<Changes, Error>> + Send;

    /// Creates a lease that ends unless it is renewed within `ttl`.
    fn grant(&self, ttl: Duration) -> impl Future<Output = Result<Lease, Error>> + Send;

    /// Renews a lease. Fails with [`Error::LeaseNotFound`] if the store was restored from
    /// a copy since: its values may be gone.
    fn renew(&self, lease: Lease) -> impl Future<Output = Result<(), Error>> + Send;

    /// Ends a lease and removes all its values.
    fn revoke(&self, lease: Lease) -> impl Future<Output = Result<(), Error>> + Send;
}
