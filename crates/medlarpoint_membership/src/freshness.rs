//! Age of the configuration in force: the time since a daemon of the fleet last
//! read the store and found no version that is not in force here.

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexMap;
use medlarpoint_model::{Version, Vm};
use medlarpoint_wire::BootId;

/// Limit on the reads of versions that are not in force here yet.
const MAX_PENDING: usize = 32;

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
    /// Version in force on that daemon after the read.
    pub version: Version,
}

/// A read of a version that is not in force here yet.
#[derive(Clone, Copy, Debug)]
struct PendingRead {
    at: Duration,
    version: Version,
}

/// Tracks when the version in force on this daemon was last known to be the newest.
#[derive(Clone, Debug, Default)]
pub struct Freshness {
    /// Time of the newest read, by any daemon, that found no newer version than the one
    /// in force here.
    read_at: Duration,
    /// Version in force here.
    version: Version,
    /// Invariant: holds only versions newer than `version`.
    pending: VecDeque<PendingRead>,
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
        let at = now.saturating_sub(read.age);
        if read.version <= self.version {
            self.read_at = self.read_at.max(at);
        } else {
            self.add_pending(PendingRead { at, version: read.version });
        }
        true
    }

    /// Records that a version is in force here. Reads of it and of older versions count
    /// from now on.
    pub fn set_version(&mut self, version: Version) {
        self.version = version;
        let known = self.pending.iter().filter(|read| read.version <= version);
        let newest = known.map(|read| read.at).max();
        self.read_at = self.read_at.max(newest.unwrap_or_default());
        self.pending.retain(|read| read.version > version);
    }

    fn add_pending(&mut self, read: PendingRead) {
        if self.pending.len() >= MAX_PENDING {
            self.pending.pop_front();
        }
        self.pending.push_back(read);
    }

    /// Returns the time since the version in force here was last known to be the newest.
    pub fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.read_at)
    }
}

#[cfg(test)]
mod tests;
