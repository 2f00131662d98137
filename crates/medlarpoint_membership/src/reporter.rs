//! Reports of applied versions, sent by each member to the reporters of its data
//! centre.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use medlarpoint_model::{DataCentre, Version, Vm};
use medlarpoint_wire::{DataCentreSummary, Laggard, Record};

/// Maximum number of laggards listed in a summary.
const MAX_LAGGARDS: usize = 4;
/// Minimum interval between two sends of the same report.
const RESEND_INTERVAL: Duration = Duration::from_millis(500);

#[derive(Clone, Debug)]
struct Sent {
    version: Version,
    at: Duration,
    acknowledged: bool,
}

#[derive(Clone, Copy, Debug)]
struct Applied {
    version: Version,
    at_ms: u64,
}

/// Both ends of the reports: those this member sends to its reporters and, if it
/// is a reporter itself, those it has received from members.
#[derive(Clone, Debug, Default)]
pub struct Reporter {
    sent: IndexMap<Vm, Sent>,
    applied: IndexMap<Vm, Applied>,
    /// Oldest version applied by a live member, and since when in milliseconds
    /// since the Unix epoch.
    in_force: Option<(Version, u64)>,
}

impl Reporter {
    /// Returns the reporters to which `version` must be reported now, and records
    /// it as sent to them.
    pub fn due(&mut self, now: Duration, version: Version, reporters: &[Vm]) -> Vec<Vm> {
        self.sent.retain(|vm, _| reporters.contains(vm));
        let mut due = Vec::new();
        for vm in reporters {
            let is_current = self.sent.get(vm).is_some_and(|sent| {
                let sent_recently = now < sent.at + RESEND_INTERVAL;
                sent.version == version && (sent.acknowledged || sent_recently)
            });
            if is_current {
                continue;
            }
            self.sent.insert(vm.clone(), Sent { version, at: now, acknowledged: false });
            due.push(vm.clone());
        }
        due
    }

    /// Records that a reporter has acknowledged the report of `version`.
    pub fn on_ack(&mut self, reporter: &Vm, version: Version) {
        if let Some(sent) = self.sent.get_mut(reporter)
            && sent.version == version
        {
            sent.acknowledged = true;
        }
    }

    /// Records a report: a member has applied `version` at `at_ms`, in
    /// milliseconds since the Unix epoch.
    pub fn record(&mut self, member: &Vm, version: Version, at_ms: u64) {
        let applied = Applied { version, at_ms };
        let known = self.applied.entry(member.clone()).or_insert(applied);
        if version > known.version {
            *known = applied;
        }
    }

    /// Drops the report of a member that has restarted.
    pub fn on_restart(&mut self, member: &Vm) {
        self.applied.swap_remove(member);
    }

    /// Summarises a data centre over its live members. Returns `None` if no member
    /// has reported yet.
    pub fn summary<'a>(
        &mut self,
        data_centre: &DataCentre,
        live: impl Iterator<Item = &'a Record>,
        newest: Version,
        wall_ms: u64,
    ) -> Option<DataCentreSummary> {
        let live: IndexSet<&Vm> = live.map(|record| &record.vm).collect();
        self.applied.retain(|vm, _| live.contains(vm));
        // A member that has not reported is starting up. It serves no calls until
        // it has caught up, so it counts as a laggard but does not lower the
        // version of the data centre.
        let oldest = self.applied.values().map(|a| a.version).min()?;
        let mut behind = 0;
        let mut laggards = Vec::new();
        for vm in &live {
            let applied = self.applied.get(*vm).map(|a| a.version);
            if applied.is_some_and(|version| version >= newest) {
                continue;
            }
            behind += 1;
            if laggards.len() < MAX_LAGGARDS {
                laggards.push(Laggard { vm: (*vm).clone(), applied });
            }
        }
        let since_ms = self.in_force_since(oldest);
        Some(DataCentreSummary {
            data_centre: data_centre.clone(),
            heartbeat_ms: wall_ms,
            version: oldest,
            since_ms,
            live: live.len() as u32,
            behind,
            laggards,
        })
    }

    fn in_force_since(&mut self, oldest: Version) -> u64 {
        if let Some((version, since)) = self.in_force
            && version >= oldest
        {
            return since;
        }
        let last = self.applied.values().filter(|a| a.version == oldest).map(|a| a.at_ms).max();
        let since = last.unwrap_or_default();
        self.in_force = Some((oldest, since));
        since
    }
}
