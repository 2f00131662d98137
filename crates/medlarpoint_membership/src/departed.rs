//! Target processes that leave or have left.
//!
//! A late report of such a process must not make it a target again, also after its daemon has
//! restarted. A daemon therefore has some peers and the store keep what it acknowledges
//! ([`replication`]), and asks them when it starts ([`Inquiry`]).

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use medlarpoint_model::Vm;
use medlarpoint_wire::Record;

use crate::instance::Report;
use crate::role::rendezvous_weight;

mod inquiry;
pub mod replication;

pub use inquiry::{Basis, Inquiry, SUFFICIENT_KEEPERS};
use replication::Copies;

/// Time after a departure within which late reports are expected. Processes serve for some
/// seconds after they have said that they leave.
pub const RETENTION: Duration = Duration::from_secs(60);
/// Maximum number of processes kept for a VM, which has one target process at a time.
const MAX_PROCESSES: usize = 16;
/// Limit on the VMs whose targets leave within [`RETENTION`].
const MAX_VMS: usize = 1_024;
/// Key of the rendezvous hash by which the keepers of a VM's departures are selected.
const KEEPER_KEY: &str = "departed";

/// A target process that leaves or has left.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Process {
    /// Instance id of the process.
    pub instance: Arc<str>,
    /// Start time, in milliseconds since the Unix epoch, or a later time if it is not known. A
    /// process of the same instance id that started later is another one.
    pub born_ms: u64,
    /// Sequence number of the report by which the process said that it drains; `None` if it
    /// has deregistered. Later reports of a draining process are valid.
    pub last_seq: Option<u64>,
}

impl Process {
    /// Creates a process that has deregistered. It started at `born_ms`, or no later than
    /// `wall_ms`, the current wall-clock time, if that is not known.
    pub fn deregistered(instance: &str, born_ms: Option<u64>, wall_ms: u64) -> Self {
        Self { instance: instance.into(), born_ms: born_ms.unwrap_or(wall_ms), last_seq: None }
    }

    /// Returns whether both are the same process.
    fn is(&self, other: &Self) -> bool {
        self.instance == other.instance && self.born_ms == other.born_ms
    }

    /// Returns whether the process has sent a report before it left. A report without a start
    /// time may be from another process of the same instance id, so it never matches.
    fn has_sent(&self, report: &Report) -> bool {
        report.born_ms > 0
            && report.born_ms <= self.born_ms
            && report.instance == self.instance
            && self.last_seq.is_none_or(|last| report.seq <= last)
    }

    /// Merges what is known of the same process; a deregistration is final. Returns whether it
    /// was news.
    fn merge(&mut self, other: &Self) -> bool {
        let merged = self.last_seq.zip(other.last_seq).map(|(own, other)| own.max(other));
        let is_news = merged != self.last_seq;
        self.last_seq = merged;
        is_news
    }
}

#[derive(Clone, Debug)]
struct Entry {
    process: Process,
    /// Time of the departure, on the local clock.
    at: Duration,
    /// Time when this daemon was told, on the local clock.
    told_at: Duration,
    /// Where else the departure is known to be kept.
    copies: Copies,
}

/// Processes that left within [`RETENTION`], by the VM of the target.
///
/// Invariant: there are at most [`MAX_VMS`] VMs, and at most [`MAX_PROCESSES`] of each.
#[derive(Clone, Debug, Default)]
pub struct Departed {
    by_vm: IndexMap<Vm, VecDeque<Entry>>,
}

impl Departed {
    /// Records that a process left `age` ago. Returns whether that was not known.
    pub fn record(&mut self, now: Duration, vm: &Vm, process: Process, age: Duration) -> bool {
        if age >= RETENTION {
            return false;
        }
        self.sweep(now);
        if self.by_vm.len() >= MAX_VMS && !self.by_vm.contains_key(vm) {
            self.by_vm.shift_remove_index(0);
        }
        let entries = self.by_vm.entry(vm.clone()).or_default();
        if let Some(known) = entries.iter_mut().find(|known| known.process.is(&process)) {
            let is_news = known.process.merge(&process);
            if is_news {
                known.told_at = now;
                known.copies = Copies::default();
            }
            return is_news;
        }
        if entries.len() >= MAX_PROCESSES {
            entries.pop_front();
        }
        let at = now.saturating_sub(age);
        entries.push_back(Entry { process, at, told_at: now, copies: Copies::default() });
        true
    }

    /// Returns whether a report is from a process of the target on a VM that has left since.
    pub fn contains(&self, now: Duration, vm: &Vm, report: &Report) -> bool {
        let mut entries = self.recent(now, vm);
        entries.any(|entry| entry.process.has_sent(report))
    }

    /// Returns the processes of the target on a VM that have left, with the time since.
    pub fn of(&self, now: Duration, vm: &Vm) -> Vec<(Process, Duration)> {
        let age = |entry: &Entry| (entry.process.clone(), now.saturating_sub(entry.at));
        self.recent(now, vm).map(age).collect()
    }

    /// Returns the VMs of which departures are known.
    pub fn vms(&self, now: Duration) -> Vec<Vm> {
        let has_recent = |vm: &&Vm| self.recent(now, vm).next().is_some();
        self.by_vm.keys().filter(has_recent).cloned().collect()
    }

    /// Returns the entry of a process, if what is known of the process is the same.
    fn entry_mut(&mut self, vm: &Vm, process: &Process) -> Option<&mut Entry> {
        let mut entries = self.by_vm.get_mut(vm)?.iter_mut();
        entries.find(|entry| entry.process == *process)
    }

    fn recent(&self, now: Duration, vm: &Vm) -> impl Iterator<Item = &Entry> {
        let entries = self.by_vm.get(vm).into_iter().flatten();
        entries.filter(move |entry| now.saturating_sub(entry.at) < RETENTION)
    }

    fn sweep(&mut self, now: Duration) {
        self.by_vm.retain(|_, entries| {
            entries.retain(|entry| now.saturating_sub(entry.at) < RETENTION);
            !entries.is_empty()
        });
    }
}

/// Returns the `count` members that keep the departures of the target on a VM. The first ones
/// are of different data centres, so that a data centre that restarts loses none.
pub fn keepers<'a>(
    members: impl Iterator<Item = &'a Record>,
    vm: &Vm,
    count: usize,
) -> Vec<&'a Record> {
    let key = format!("{KEEPER_KEY}/{vm}");
    let others = members.filter(|record| record.vm != *vm);
    let mut order: Vec<(u64, &Record)> =
        others.map(|record| (rendezvous_weight(&key, &record.vm), record)).collect();
    order.sort_unstable_by(|(a, left), (b, right)| (a, &left.vm).cmp(&(b, &right.vm)));
    let mut seen = Vec::new();
    let (mut first, mut further) = (Vec::new(), Vec::new());
    for (_, record) in order {
        if seen.contains(&&record.data_centre) {
            further.push(record);
        } else {
            seen.push(&record.data_centre);
            first.push(record);
        }
    }
    first.extend(further);
    first.truncate(count);
    first
}

#[cfg(test)]
mod tests;
