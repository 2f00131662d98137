//! Decides which daemons a holder of departures tells of them, and when it stores them.
//!
//! The daemon of the VM and its keepers hold a departure. The first live one of them tells
//! those that have been selected or have restarted since. A departure that only peers have
//! confirmed is written to the store once that responds: first by the first holder, later by
//! the others, because the store may turn single VMs away.

use std::time::Duration;

use indexmap::IndexMap;
use medlarpoint_model::Vm;
use medlarpoint_wire::{BootId, Record};

use super::{Departed, Entry, Process, RETENTION, keepers};

/// Number of peers that keep the departures of a VM.
pub const KEEPERS: usize = 3;
/// Time after which the next holder stores a departure if those before it have not.
const STORE_TAKEOVER_TIME: Duration = Duration::from_secs(1);

/// Copies of a departure outside of this daemon.
#[derive(Clone, Debug, Default)]
pub(super) struct Copies {
    /// Daemons that were told, with their boot: one that restarts has forgotten it.
    holders: IndexMap<Vm, Holder>,
    /// Era of the store in which the departure was stored.
    stored_in: Option<u64>,
}

/// What another daemon was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Holder {
    boot: BootId,
    /// Whether it knows that the departure is stored.
    knows_stored: bool,
}

impl Copies {
    fn is_stored(&self, era: u64) -> bool {
        self.stored_in.is_some_and(|stored_in| stored_in >= era)
    }

    fn is_held_by(&self, record: &Record) -> bool {
        self.holders.get(&record.vm).is_some_and(|holder| holder.boot == record.boot)
    }

    /// Returns whether a daemon has been told all that it needs to know.
    fn is_known_to(&self, record: &Record, era: u64) -> bool {
        let expected = Holder { boot: record.boot, knows_stored: true };
        match self.holders.get(&record.vm) {
            Some(holder) if self.is_stored(era) => *holder == expected,
            _ => self.is_held_by(record),
        }
    }
}

/// Work that a holder has to do for a departure.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Task {
    /// VM of the target.
    pub vm: Vm,
    /// The process that has left.
    pub process: Process,
    /// Time since the departure.
    pub age: Duration,
    /// Era of the store in which it was stored.
    pub stored_in: Option<u64>,
    /// Daemons to tell of it.
    pub tell: Vec<Record>,
    /// Whether to store it.
    pub store: bool,
}

/// Returns the daemons that are to hold the departures of a VM: its own, if it lives, and its
/// keepers.
pub fn replicas(live: &[&Record], vm: &Vm) -> Vec<Record> {
    let own = live.iter().filter(|record| record.vm == *vm);
    let keepers = keepers(live.iter().copied(), vm, KEEPERS);
    own.copied().chain(keepers).cloned().collect()
}

impl Departed {
    /// Records that daemons were told of a departure, and whether also that it is stored.
    pub fn on_told(&mut self, vm: &Vm, process: &Process, daemons: &[Record], knows_stored: bool) {
        let Some(entry) = self.entry_mut(vm, process) else {
            return;
        };
        for record in daemons {
            let holder = Holder { boot: record.boot, knows_stored };
            entry.copies.holders.insert(record.vm.clone(), holder);
        }
    }

    /// Records that a departure was stored. Returns whether that was not known.
    pub fn on_stored(&mut self, vm: &Vm, process: &Process, era: u64) -> bool {
        let Some(entry) = self.entry_mut(vm, process) else {
            return false;
        };
        let is_news = !entry.copies.is_stored(era);
        entry.copies.stored_in = entry.copies.stored_in.max(Some(era));
        if is_news {
            entry.copies.holders.values_mut().for_each(|holder| holder.knows_stored = false);
        }
        is_news
    }

    /// Returns the era of the store in which a departure was stored.
    pub fn stored_in(&self, vm: &Vm, process: &Process) -> Option<u64> {
        let mut entries = self.by_vm.get(vm)?.iter();
        entries.find(|entry| entry.process == *process)?.copies.stored_in
    }

    /// Returns what the daemon of `own_vm` has to do for the departures of a VM whose
    /// `replicas` are these. `era` is the current era of the store.
    pub fn tasks(
        &self,
        now: Duration,
        own_vm: &Vm,
        vm: &Vm,
        replicas: &[Record],
        era: u64,
    ) -> Vec<Task> {
        let task = |entry: &Entry| {
            let rank = rank(entry, own_vm, replicas);
            let takeover = STORE_TAKEOVER_TIME * rank as u32;
            let waited = now.saturating_sub(entry.told_at);
            let unaware =
                |record: &&Record| record.vm != *own_vm && !entry.copies.is_known_to(record, era);
            let tell = match rank {
                0 => replicas.iter().filter(unaware).cloned().collect(),
                _ => Vec::new(),
            };
            Task {
                vm: vm.clone(),
                process: entry.process.clone(),
                age: now.saturating_sub(entry.at),
                stored_in: entry.copies.stored_in,
                tell,
                store: !entry.copies.is_stored(era) && waited >= takeover,
            }
        };
        let tasks = self.recent(now, vm).map(task);
        tasks.filter(|task| task.store || !task.tell.is_empty()).collect()
    }
}

/// Returns the number of live holders that are responsible before this daemon.
fn rank(entry: &Entry, own_vm: &Vm, replicas: &[Record]) -> usize {
    let before = replicas.iter().take_while(|record| record.vm != *own_vm);
    before.filter(|record| entry.copies.is_held_by(record)).count()
}

/// Returns the time for which a departure of this age is still kept.
pub fn remaining(age: Duration) -> Duration {
    RETENTION.saturating_sub(age)
}

#[cfg(test)]
mod tests;
