//! Decides on the phase of an order, by the reports of the daemons and the time.

use std::time::Duration;

use indexmap::IndexMap;
use medlarpoint_model::{Name, Vm};

use super::{Judge, Phase, RouteCounts};

/// Time between two steps of the judge, and between two reports of a daemon.
pub(crate) const STEP: Duration = Duration::from_millis(500);
/// Fraction of the period after which a version that is not judged bad gets all calls.
const SHIFT_AT: f64 = 0.6;
/// Fraction of the period before which no order is completed: a version that fails only
/// under load shows that once it has all calls.
const COMPLETE_FROM: f64 = 0.85;
/// Fraction of the period after which daemons that send no reports are not waited for.
const SILENT_UNTIL: f64 = 0.9;
/// Fraction of the period after which calls in flight at old targets are not waited for,
/// so that the order is completed within the period.
const UNSETTLED_UNTIL: f64 = 0.97;
/// Time from the last daemon's confirmation to the completion of the order.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);
/// Time after which a report counts as missing.
const REPORT_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Report of a daemon on an order.
#[derive(Clone, Debug, PartialEq)]
pub struct DaemonReport {
    /// Run of the daemon; its counts start anew with each.
    pub boot: u64,
    /// Whether the daemon sends all calls to the new version and has no call in flight at
    /// a target of the old one.
    pub settled: bool,
    /// Counts since the start of the order or of the run, of some routes.
    pub routes: Vec<(Name, RouteCounts)>,
}

/// What the deciding daemon has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The new version is bad: roll the order back.
    RollBack(String),
    /// Send all calls to the new version.
    Shift,
    /// Write that the order is completed.
    Complete,
}

/// Fleet as the deciding daemon knows it.
#[derive(Clone, Copy, Debug)]
pub struct FleetView<'a> {
    /// Live members.
    pub live: &'a [Vm],
    /// Number of targets of the new version that are ready.
    pub new_targets: usize,
}

#[derive(Clone, Copy, Debug)]
struct Presence {
    reported_at: Duration,
    /// Time since which the daemon has been settled.
    settled_since: Option<Duration>,
}

/// Reports on one order and their judge.
#[derive(Clone, Debug, Default)]
pub struct Review {
    judge: Judge,
    /// Counts by daemon and run.
    counts: IndexMap<(Vm, u64), IndexMap<Name, RouteCounts>>,
    presence: IndexMap<Vm, Presence>,
    stepped_at: Option<Duration>,
}

impl Review {
    /// Takes the report of a daemon.
    pub fn on_report(&mut self, now: Duration, from: &Vm, report: &DaemonReport) {
        let counts = self.counts.entry((from.clone(), report.boot)).or_default();
        for (route, told) in &report.routes {
            counts.entry(route.clone()).or_default().merge(told);
        }
        let previous = self.presence.get(from).and_then(|presence| presence.settled_since);
        let settled_since = report.settled.then(|| previous.unwrap_or(now));
        self.presence.insert(from.clone(), Presence { reported_at: now, settled_since });
    }

    /// Returns up to `count` live members that have not reported lately.
    pub fn silent(&self, now: Duration, live: &[Vm], count: usize) -> Vec<Vm> {
        let is_silent = |vm: &&Vm| {
            let presence = self.presence.get(*vm);
            presence.is_none_or(|known| now.saturating_sub(known.reported_at) >= REPORT_TIMEOUT)
        };
        live.iter().filter(is_silent).take(count).cloned().collect()
    }

    /// Returns the sum of the reports by route.
    fn totals(&self) -> IndexMap<Name, RouteCounts> {
        let mut totals: IndexMap<Name, RouteCounts> = IndexMap::new();
        for routes in self.counts.values() {
            for (route, counts) in routes {
                totals.entry(route.clone()).or_default().add(counts);
            }
        }
        totals
    }

    /// Decides on an order in a phase that is active. `age` is the time since the order.
    pub fn tick(
        &mut self,
        now: Duration,
        age: Duration,
        period: Duration,
        phase: Phase,
        fleet: FleetView<'_>,
    ) -> Option<Decision> {
        if !phase.is_active() {
            return None;
        }
        if self.stepped_at.is_none_or(|at| now.saturating_sub(at) >= STEP) {
            self.stepped_at = Some(now);
            if let Some(verdict) = self.judge.step(&self.totals(), fleet.new_targets) {
                return Some(Decision::RollBack(verdict.to_string()));
            }
        }
        let elapsed = age.as_secs_f64() / period.as_secs_f64().max(f64::MIN_POSITIVE);
        match phase {
            _ if fleet.new_targets == 0 && elapsed >= SILENT_UNTIL => {
                Some(Decision::RollBack("no target of the version is ready".to_owned()))
            }
            Phase::Canary if elapsed >= SHIFT_AT && fleet.new_targets > 0 => Some(Decision::Shift),
            Phase::Shifting if elapsed >= COMPLETE_FROM && fleet.new_targets > 0 => {
                self.is_settled(now, elapsed, fleet.live).then_some(Decision::Complete)
            }
            _ => None,
        }
    }

    /// Returns whether no daemon sends calls to old targets any more, as far as can be known.
    fn is_settled(&self, now: Duration, elapsed: f64, live: &[Vm]) -> bool {
        live.iter().all(|vm| {
            let presence = self.presence.get(vm);
            let heard =
                presence.filter(|known| now.saturating_sub(known.reported_at) < REPORT_TIMEOUT);
            match heard.map(|known| known.settled_since) {
                Some(Some(since)) => now.saturating_sub(since) >= SETTLE_TIME,
                Some(None) => elapsed >= UNSETTLED_UNTIL,
                None => elapsed >= SILENT_UNTIL,
            }
        })
    }
}

#[cfg(test)]
mod tests;
