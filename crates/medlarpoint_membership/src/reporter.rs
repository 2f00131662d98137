//! Reports of applied versions, from each member to its reporters.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use medlarpoint_model::{DataCentre, Version, Vm};
use medlarpoint_wire::{Lag, Record, Summary};

/// Laggards named in a summary.
const MAX_LAGGARDS: usize = 4;
/// Shortest time between two sends of the same report.
const RESEND: Duration = Duration::from_millis(500);

#[derive(Clone, Debug)]
struct Sent {
    version: Version,
    at: Duration,
    confirmed: bool,
}

#[derive(Clone, Copy, Debug)]
struct Applied {
    version: Version,
    at_ms: u64,
}

/// Both ends of the reports: what this member owes its reporters and, if it is
/// a reporter itself, what the members told it.
#[derive(Clone, Debug, Default)]
pub struct Reporter {
    sent: IndexMap<Vm, Sent>,
    applied: IndexMap<Vm, Applied>,
    reached: Option<(Version, u64)>,
}

impl Reporter {
    /// Returns the reporters that must now be told of `version`, and notes
    /// that they are being told.
    pub fn due(&mut self, now: Duration, version: Version, reporters: &[Vm]) -> Vec<Vm> {
        self.sent.retain(|vm, _| reporters.contains(vm));
        let mut due = Vec::new();
        for vm in reporters {
            let waiting = self.sent.get(vm).is_some_and(|sent| {
                let resting = now < sent.at + RESEND;
                sent.version == version && (sent.confirmed || resting)
            });
            if waiting {
                continue;
            }
            self.sent.insert(vm.clone(), Sent { version, at: now, confirmed: false });
            due.push(vm.clone());
        }
        due
    }

    /// Notes that a reporter has received a report.
    pub fn on_ack(&mut self, reporter: &Vm, version: Version) {
        if let Some(sent) = self.sent.get_mut(reporter)
            && sent.version == version
        {
            sent.confirmed = true;
        }
    }

    /// Notes what a member has in force.
    pub fn record(&mut self, member: &Vm, version: Version, at_ms: u64) {
        let applied = Applied { version, at_ms };
        let known = self.applied.entry(member.clone()).or_insert(applied);
        if version > known.version {
            *known = applied;
        }
    }

    /// Forgets what a member had in force, because it restarted.
    pub fn on_restart(&mut self, member: &Vm) {
        self.applied.swap_remove(member);
    }

    /// Sums up a data centre over its live members. `None` while no member has
    /// reported yet.
    pub fn summary<'a>(
        &mut self,
        place: &DataCentre,
        live: impl Iterator<Item = &'a Record>,
        newest: Version,
        wall_ms: u64,
    ) -> Option<Summary> {
        let live: IndexSet<&Vm> = live.map(|record| &record.vm).collect();
        self.applied.retain(|vm, _| live.contains(vm));
        // A member that has not reported is starting: it serves nothing until
        // it has caught up, so it counts as a laggard but holds nothing back.
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
                laggards.push(Lag { vm: (*vm).clone(), applied });
            }
        }
        let since_ms = self.since(oldest);
        Some(Summary {
            data_centre: place.clone(),
            heartbeat_ms: wall_ms,
            version: oldest,
            since_ms,
            live: live.len() as u32,
            behind,
            laggards,
        })
    }

    fn since(&mut self, oldest: Version) -> u64 {
        if let Some((version, since)) = self.reached
            && version >= oldest
        {
            return since;
        }
        let last = self.applied.values().filter(|a| a.version == oldest).map(|a| a.at_ms).max();
        let since = last.unwrap_or_default();
        self.reached = Some((oldest, since));
        since
    }
}
