//! Outcomes of a store call that did not succeed.

use crate::Revision;

/// Why a store call did not succeed, told apart by what is known of the write.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// Not written: the value is not the expected one.
    #[error("the value has changed since it was read (now at {current:?})")]
    Conflict {
        /// Revision of the value at hand, if there is one.
        current: Option<Revision>,
    },
    /// Not written: the store was not reached or refused the call.
    #[error("the store is not available: {0}")]
    Unavailable(String),
    /// Perhaps written: the answer was lost.
    #[error("the answer of the store was lost: {0}")]
    Unknown(String),
    /// Not written: the value exceeds the store's limit.
    #[error("a value of {bytes} bytes exceeds the store's limit of {limit} bytes")]
    TooLarge {
        /// Size of the value.
        bytes: usize,
        /// Largest size the store takes.
        limit: usize,
    },
    /// The changes asked for are no longer remembered.
    #[error("changes this old are no longer remembered: read the values anew")]
    Compacted,
    /// Not written: the lease has ended.
    #[error("the lease has ended")]
    LeaseNotFound,
}
