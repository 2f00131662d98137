//! Simulated network partitions, for experiments on the behaviour of the fleet.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{PoisonError, RwLock};

/// Addresses treated as unreachable: packets to and from them are dropped.
#[derive(Debug, Default)]
pub(crate) struct Partition {
    addresses: RwLock<HashSet<SocketAddr>>,
    /// Whether any address is unreachable, so that the usual case takes no lock.
    any: AtomicBool,
}

impl Partition {
    /// Replaces the unreachable addresses.
    pub(crate) fn set(&self, addresses: HashSet<SocketAddr>) {
        self.any.store(!addresses.is_empty(), Ordering::Release);
        *self.addresses.write().unwrap_or_else(PoisonError::into_inner) = addresses;
    }

    /// Returns whether an address is on the other side of the partition.
    pub(crate) fn is_unreachable(&self, address: SocketAddr) -> bool {
        if !self.any.load(Ordering::Acquire) {
            return false;
        }
        let addresses = self.addresses.read().unwrap_or_else(PoisonError::into_inner);
        addresses.contains(&address)
    }
}
