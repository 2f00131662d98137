//! Errors of store calls.

use crate::Revision;

/// Error of a store call. The variants differ in what is known about the write.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The value was not written: the precondition does not hold.
    #[error("the value has changed since it was read (now at {current:?})")]
    Conflict {
        /// Revision of the current value, if the key has one.
        current: Option<Revision>,
    },
    /// The value was not written: the store is unreachable or rejected the call.
    #[error("the store is not available: {0}")]
    Unavailable(String),
    /// The value may have been written: the response was lost.
    #[error("the store's response was lost: {0}")]
    Unknown(String),
    /// The value was not written: its size exceeds the store's limit.
    #[error("a value of {bytes} bytes exceeds the store's limit of {limit} bytes")]
    TooLarge {
        /// Size of the value, in bytes.
        bytes: usize,
        /// Upper limit for the size of a value, in bytes.
        limit: usize,
    },
    /// The requested changes are no longer in the history of the store.
    #[error("the requested changes have been compacted: read the values again")]
    Compacted,
    /// The value was not written: the lease has expired or was revoked.
    #[error("the lease has expired or was revoked")]
    LeaseNotFound,
}
