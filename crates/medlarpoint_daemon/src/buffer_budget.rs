//! Limit on the memory of all bodies that are read ahead.
//!
//! Each body has a limit of its own, but a target in trouble may write bodies without end to
//! many calls at once.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;

/// Memory for all bodies that a daemon reads ahead at a time, in bytes.
const MAX_BYTES: usize = 32 << 20;

/// Memory for bodies that are read ahead.
#[derive(Debug)]
pub(crate) struct BufferBudget {
    limit: usize,
    /// Number of bytes that are reserved.
    ///
    /// Invariant: it is at most `limit`.
    reserved: AtomicUsize,
}

impl Default for BufferBudget {
    fn default() -> Self {
        Self::new(MAX_BYTES)
    }
}

impl BufferBudget {
    /// Creates a budget of `limit` bytes.
    pub(crate) fn new(limit: usize) -> Self {
        Self { limit, reserved: AtomicUsize::new(0) }
    }

    /// Returns the number of bytes that are reserved.
    #[cfg(test)]
    pub(crate) fn reserved(&self) -> usize {
        self.reserved.load(Ordering::Relaxed)
    }

    /// Reserves memory, if there is enough.
    fn try_reserve(&self, bytes: usize) -> bool {
        let add = |reserved: usize| {
            let total = reserved.checked_add(bytes)?;
            (total <= self.limit).then_some(total)
        };
        self.reserved.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add).is_ok()
    }
}

/// Memory reserved for one body. It is returned to the budget when this is dropped.
#[derive(Debug)]
pub(crate) struct Reservation {
    budget: Arc<BufferBudget>,
    bytes: usize,
}

impl Reservation {
    /// Creates a reservation of nothing.
    pub(crate) fn empty(budget: &Arc<BufferBudget>) -> Self {
        Self { budget: Arc::clone(budget), bytes: 0 }
    }

    /// Extends the reservation to `bytes`. Returns whether there was enough memory.
    pub(crate) fn grow_to(&mut self, bytes: usize) -> bool {
        let missing = bytes.saturating_sub(self.bytes);
        let has_room = missing == 0 || self.budget.try_reserve(missing);
        if has_room {
            self.bytes += missing;
        }
        has_room
    }

    /// Keeps the reservation until the last reference to the bytes is dropped.
    pub(crate) fn attach(self, bytes: Bytes) -> Bytes {
        if self.bytes == 0 {
            return bytes;
        }
        Bytes::from_owner(Reserved { bytes, _reservation: self })
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.reserved.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// Bytes with the memory reserved for them.
struct Reserved {
    bytes: Bytes,
    _reservation: Reservation,
}

impl AsRef<[u8]> for Reserved {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

#[cfg(test)]
mod tests;
