//! Age of the configuration in force: the time since a daemon of the fleet last
//! read the store.

use std::time::Duration;

use indexmap::IndexMap;
use medlarpoint_model::Vm;
use medlarpoint_wire::BootId;

/// A read of the store by a daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreRead {
    /// Daemon that read the store.
    pub origin: Vm,
    /// Run of that daemon in which it did so.
    pub boot: BootId,
    /// Number of the read; increases with each read of a run.
    pub seq: u64,
    /// Time since the read.
    pub age: Duration,
}

/// Tracks when the store was last read by any daemon, as known to this one.
#[derive(Clone, Debug, Default)]
pub struct Freshness {
    read_at: Duration,
    local_seq: u64,
    /// Run and number of the newest read received, by origin.
    newest: IndexMap<Vm, (BootId, u64)>,
}

impl Freshness {
    /// Records a read by this daemon and returns its number.
    pub fn record_local(&mut self, now: Duration) -> u64 {
        self.read_at = self.read_at.max(now);
        self.local_seq += 1;
        self.local_seq
    }

    /// Records a read by another daemon. Returns whether it was not known yet, so
    /// that a read that arrives over several paths is forwarded once.
    pub fn record_remote(&mut self, now: Duration, read: &StoreRead) -> bool {
        let number = (read.boot, read.seq);
        let known = self.newest.get(&read.origin);
        if known.is_some_and(|known| *known >= number) {
            return false;
        }
        self.newest.insert(read.origin.clone(), number);
        self.read_at = self.read_at.max(now.saturating_sub(read.age));
        true
    }

    /// Returns the time since the store was last read.
    pub fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.read_at)
    }
}

#[cfg(test)]
mod tests;
