//! The interface of the platform's store.

use std::fmt;
use std::future::Future;
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{Error, Key};

/// Orders the writes of the store; each write gets a higher one.
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

/// Identity of a lease; zero stands for none on the wire.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct LeaseId(pub u64);

/// A value with its revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// The value.
    pub value: Bytes,
    /// Revision of the write that set it.
    pub revision: Revision,
}

/// The values under a prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listing {
    /// The values, in order of their keys.
    pub items: Vec<(Key, Item)>,
    /// Revision of the store before the first value was read; a watch that
    /// begins there misses nothing.
    pub current: Revision,
}

/// What happened to a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The key.
    pub key: Key,
    /// Its value, or `None` after it was removed.
    pub item: Option<Item>,
}

/// The changes under a prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// The changes, oldest first; empty when there was none in time.
    pub changes: Vec<Change>,
    /// Revision from which to watch on.
    pub current: Revision,
}

/// How old what is read may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Consistency {
    /// Nothing that was written before is missing.
    Latest,
    /// It may be seconds old, which costs the store less.
    MaybeStale,
}

/// Condition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expected {
    /// Whatever the value is.
    Any,
    /// The key has no value.
    Absent,
    /// The value was set by this revision.
    Revision(Revision),
}

/// A key-value store with compare-and-swap, leases and watches.
pub trait Store: Clone + Send + Sync + 'static {
    /// Reads a value.
    fn get(&self, key: &Key) -> impl Future<Output = Result<Option<Item>, Error>> + Send;

    /// Reads the values whose keys begin with `prefix`.
    fn list(
        &self,
        prefix: &Key,
        consistency: Consistency,
    ) -> impl Future<Output = Result<Listing, Error>> + Send;

    /// Writes a value if the condition holds. With a lease the value vanishes
    /// once the lease has ended.
    fn put(
        &self,
        key: &Key,
        expected: Expected,
        value: Bytes,
        lease: Option<LeaseId>,
    ) -> impl Future<Output = Result<Revision, Error>> + Send;

    /// Removes a value if the condition holds.
    fn delete(
        &self,
        key: &Key,
        expected: Expected,
    ) -> impl Future<Output = Result<(), Error>> + Send;

    /// Waits up to `wait` for changes after revision `after` to keys that begin
    /// with `prefix`.
    fn watch(
        &self,
        prefix: &Key,
        after: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<Changes, Error>> + Send;

    /// Creates a lease that ends unless it is renewed within `ttl`.
    fn grant(&self, ttl: Duration) -> impl Future<Output = Result<LeaseId, Error>> + Send;

    /// Renews a lease.
    fn renew(&self, lease: LeaseId) -> impl Future<Output = Result<(), Error>> + Send;

    /// Ends a lease with all its values.
    fn revoke(&self, lease: LeaseId) -> impl Future<Output = Result<(), Error>> + Send;
}
