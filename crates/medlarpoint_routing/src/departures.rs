//! Processes of targets that have said that they leave, as seen by an outbound proxy.
//!
//! The inbound proxy beside a target stops handing calls over to it at once. If its daemon
//! restarts it no longer knows why, so that the outbound proxies tell it.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use medlarpoint_model::Vm;

/// Time after its last such response for which a process counts as leaving. Targets serve
/// for seconds after they have said that they leave.
const RETENTION: Duration = Duration::from_secs(60);
/// Limit on the VMs whose targets leave at the same time.
const MAX_VMS: usize = 512;

#[derive(Clone, Debug)]
struct Departure {
    process: Arc<str>,
    at: Duration,
}

/// Leaving processes by the VM of the target.
#[derive(Clone, Debug, Default)]
pub struct Departures {
    by_vm: IndexMap<Vm, Departure>,
}

impl Departures {
    /// Records that a process of the target on a VM has said that it leaves.
    pub fn record(&mut self, now: Duration, vm: &Vm, process: &str) {
        if self.by_vm.len() >= MAX_VMS && !self.by_vm.contains_key(vm) {
            self.by_vm.shift_remove_index(0);
        }
        let departure = Departure { process: process.into(), at: now };
        self.by_vm.insert(vm.clone(), departure);
    }

    /// Returns the process on a VM that has said that it leaves, if there is one.
    pub fn leaving(&self, now: Duration, vm: &Vm) -> Option<Arc<str>> {
        let departure = self.by_vm.get(vm)?;
        let is_recent = now.saturating_sub(departure.at) < RETENTION;
        is_recent.then(|| Arc::clone(&departure.process))
    }
}

#[cfg(test)]
mod tests;
