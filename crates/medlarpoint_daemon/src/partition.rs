//! Partition links on purpose, so that experiments can show how the fleet behaves.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{PoisonError, RwLock};

/// Addresses that cannot be reached. Packets to and from them are lost.
#[derive(Debug, Default)]
pub(crate) struct Partition {
    addresses: RwLock<HashSet<SocketAddr>>,
    any: AtomicBool,
}

impl Partition {
    /// Replaces the unreachable addresses.
    pub(crate) fn set(&self, addresses: HashSet<SocketAddr>) {
        self.any.store(!addresses.is_empty(), Ordering::Release);
        *self.addresses.write().unwrap_or_else(PoisonError::into_inner) = addresses;
    }

    /// Tells whether an address is cut off.
    pub(crate) fn is_unreachable(&self, address: SocketAddr) -> bool {
        if !self.any.load(Ordering::Acquire) {
            return false;
        }
        let addresses = self.addresses.read().unwrap_or_else(PoisonError::into_inner);
        addresses.contains(&address)
    }
}
