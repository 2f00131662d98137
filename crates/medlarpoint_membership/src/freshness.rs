//! How old the configuration in force may be.

use std::time::Duration;

use indexmap::IndexMap;
use medlarpoint_model::Vm;
use medlarpoint_wire::Boot;

/// One reading of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreRead {
    /// Daemon that read it.
    pub origin: Vm,
    /// Run of that daemon.
    pub boot: Boot,
    /// Rises with each reading of a run.
    pub seq: u64,
    /// Time since then.
    pub age: Duration,
}

/// When somebody last read the store, as far as this daemon knows.
#[derive(Clone, Debug, Default)]
pub struct Freshness {
    read_at: Duration,
    own_seq: u64,
    /// Newest reading heard of, by origin.
    heard: IndexMap<Vm, (Boot, u64)>,
}

impl Freshness {
    /// Notes a reading by this daemon and returns its number.
    pub fn record_local(&mut self, now: Duration) -> u64 {
        self.read_at = self.read_at.max(now);
        self.own_seq += 1;
        self.own_seq
    }

    /// Notes a reading by another daemon. Returns whether it was not known yet,
    /// so that it is passed on once, whichever way it comes round.
    pub fn record_remote(&mut self, now: Duration, reading: &StoreRead) -> bool {
        let number = (reading.boot, reading.seq);
        let known = self.heard.get(&reading.origin);
        if known.is_some_and(|known| *known >= number) {
            return false;
        }
        self.heard.insert(reading.origin.clone(), number);
        self.read_at = self.read_at.max(now.saturating_sub(reading.age));
        true
    }

    /// Returns the time since the store was last read.
    pub fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.read_at)
    }
}

#[cfg(test)]
mod tests;
