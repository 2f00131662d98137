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

/// A value with its revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// The value.
    pub value: Bytes,
    /// Revision of the write that set it.
    pub revision: Revision,
}

/// Condition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expected {
    /// The key has no value.
    Absent,
    /// The value was set by this revision.
    Revision(Revision),
}

/// A key-value store with compare-and-swap, leases and watches.
pub trait Store: Clone + Send + Sync + 'static {
    /// Reads a value.
    fn get(&self, key: &Key) -> impl Future<Output = Result<Option<Item>, Error>> + Send;

    /// Writes a value if the condition holds. With a lease the value vanishes
    /// once the lease has run out.
    fn swap(
        &self,
        key: &Key,
        expected: Expected,
        value: Bytes,
        lease: Option<Duration>,
    ) -> impl Future<Output = Result<Revision, Error>> + Send;

    /// Removes a value if the condition holds.
    fn delete(
        &self,
        key: &Key,
        expected: Expected,
    ) -> impl Future<Output = Result<(), Error>> + Send;

    /// Waits up to `wait` for a value set after revision `after`; `None` when
    /// there was none.
    fn watch(
        &self,
        key: &Key,
        after: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<Option<Item>, Error>> + Send;
}
