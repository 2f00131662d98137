//! Compares what callers, targets and the operator saw with the promises.

use std::collections::HashMap;
use std::time::Duration;

use medlarpoint_model::Version;
use serde::Serialize;

use super::caller::{End, Ended, Kind};

/// Longest time for a change to be in force on a daemon that runs.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(9);
/// Longest time to serve everything again after the last disturbance.
pub(crate) const RECOVERY_LIMIT: Duration = Duration::from_secs(15);
/// A call that comes to an idle connection in the moment in which a stopping
/// daemon closes it may break.
const CLOSE_RACE: Duration = Duration::from_millis(300);
/// Time that the effects of a disturbance last beyond it: connections that
/// were held have to be found dead.
const AFTERMATH: Duration = Duration::from_millis(500);

/// Why a daemon was out of reach for callers, or did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Absence {
    /// It was killed, or suspended.
    Process,
    /// It was told to stop; `from` is when its process had ended.
    Stopped,
    /// The way from its callers was disturbed.
    Callers,
}

/// A time at which a VM was out of reach.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Gap {
    pub(crate) vm: usize,
    pub(crate) absence: Absence,
    pub(crate) from: Duration,
    pub(crate) until: Duration,
}

/// A look at a daemon that serves.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Look {
    pub(crate) vm: usize,
    pub(crate) at: Duration,
    pub(crate) version: Version,
}

/// A committed change.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Change {
    pub(crate) at: Duration,
    pub(crate) version: Version,
}

/// All that was seen.
#[derive(Clone, Debug, Default)]
pub(crate) struct Evidence {
    pub(crate) calls: Vec<Ended>,
    /// Executions by call.
    pub(crate) runs: HashMap<String, usize>,
    pub(crate) gaps: Vec<Gap>,
    pub(crate) looks: Vec<Look>,
    pub(crate) changes: Vec<Change>,
    /// VMs whose daemon did not end in order when told to.
    pub(crate) bad_stops: Vec<usize>,
    /// Time that recovery took; `None` if it did not come.
    pub(crate) recovered: Option<Duration>,
}

/// A broken promise.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Violation {
    /// A call that may run once ran more often.
    Doubled {
        /// The call.
        id: String,
        /// How often.
        runs: usize,
    },
    /// A caller was told "not run" of a call that ran.
    FalseNotRun {
        /// The call.
        id: String,
    },
    /// A caller got a good answer to a call that no target ran.
    MadeUp {
        /// The call.
        id: String,
    },
    /// An answer belongs to another call, or is not whole.
    Foreign {
        /// The call.
        id: String,
    },
    /// A connection broke although nothing disturbed it.
    Dropped {
        /// The call.
        id: String,
        /// The VM called.
        vm: usize,
        /// When it was sent, in milliseconds since the start.
        sent_ms: u64,
        /// What the caller saw.
        reason: String,
    },
    /// A daemon went back to an older version.
    Fell {
        /// The VM.
        vm: usize,
        /// The newer version.
        from: Version,
        /// The older one.
        to: Version,
    },
    /// A change was not in force in time on a daemon that ran.
    Slow {
        /// The VM.
        vm: usize,
        /// The version.
        version: Version,
    },
    /// A daemon did not end in order when told to stop.
    BadStop {
        /// The VM.
        vm: usize,
    },
    /// Not everything was served again in time.
    NotRecovered,
}

/// Calls by their end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// With a good answer.
    pub answered: usize,
    /// Refused as not run.
    pub not_run: usize,
    /// That may have run.
    pub unknown: usize,
    /// Without an answer.
    pub broken: usize,
}

impl Counts {
    pub(crate) fn of(calls: &[Ended]) -> Self {
        let mut counts = Self::default();
        for call in calls {
            match call.end {
                End::Answered { .. } => counts.answered += 1,
                End::NotRun => counts.not_run += 1,
                End::Unknown => counts.unknown += 1,
                End::Broken(_) => counts.broken += 1,
            }
        }
        counts
    }
}

/// Returns every broken promise.
pub(crate) fn judge(evidence: &Evidence) -> Vec<Violation> {
    let mut found: Vec<Violation> =
        evidence.calls.iter().flat_map(|call| judge_call(evidence, call)).collect();
    found.extend(fallen(&evidence.looks));
    found.extend(evidence.changes.iter().flat_map(|change| slow(evidence, change)));
    found.extend(evidence.bad_stops.iter().map(|vm| Violation::BadStop { vm: *vm }));
    if evidence.recovered.is_none_or(|took| took > RECOVERY_LIMIT) {
        found.push(Violation::NotRecovered);
    }
    found
}

fn judge_call(evidence: &Evidence, call: &Ended) -> Vec<Violation> {
    let id = call.id.clone();
    let runs = evidence.runs.get(&call.id).copied().unwrap_or_default();
    let once = matches!(call.kind, Kind::Keyed | Kind::Order);
    let mut found = Vec::new();
    if once && runs > 1 {
        found.push(Violation::Doubled { id: id.clone(), runs });
    }
    match &call.end {
        End::Answered { own: false } => found.push(Violation::Foreign { id }),
        End::Answered { own: true } if runs == 0 => found.push(Violation::MadeUp { id }),
        // Of a call that was sent again, it speaks of the last time only.
        End::NotRun if runs > 0 && !call.resent => found.push(Violation::FalseNotRun { id }),
        End::Broken(reason) if !call.resent && !is_excused(evidence, call) => {
            let sent_ms = call.sent.as_millis() as u64;
            found.push(Violation::Dropped { id, vm: call.vm, sent_ms, reason: reason.clone() });
        }
        End::Answered { .. } | End::NotRun | End::Unknown | End::Broken(_) => {}
    }
    found
}

/// Tells whether something disturbed the way of a call to its daemon.
fn is_excused(evidence: &Evidence, call: &Ended) -> bool {
    evidence.gaps.iter().filter(|gap| gap.vm == call.vm).any(|gap| {
        let (moment, from) = match gap.absence {
            // What was sent before is answered before the process ends.
            Absence::Stopped => (call.sent, gap.from.saturating_sub(CLOSE_RACE)),
            Absence::Process | Absence::Callers => (call.over, gap.from),
        };
        moment >= from && call.sent <= gap.until + AFTERMATH
    })
}

fn fallen(looks: &[Look]) -> Vec<Violation> {
    let mut newest: HashMap<usize, Version> = HashMap::new();
    let mut found = Vec::new();
    for look in looks {
        let known = newest.entry(look.vm).or_insert(look.version);
        if look.version < *known {
            found.push(Violation::Fell { vm: look.vm, from: *known, to: look.version });
        }
        *known = (*known).max(look.version);
    }
    found
}

/// Returns when each VM was first seen with a version.
fn arrivals(evidence: &Evidence, change: &Change) -> HashMap<usize, Duration> {
    let mut arrivals = HashMap::new();
    for look in evidence.looks.iter().filter(|look| look.version >= change.version) {
        arrivals.entry(look.vm).or_insert(look.at);
    }
    arrivals
}

/// Tells whether a daemon did not run all the time.
fn was_absent(evidence: &Evidence, vm: usize, from: Duration, until: Duration) -> bool {
    evidence.gaps.iter().any(|gap| {
        gap.vm == vm && gap.absence != Absence::Callers && gap.from <= until && gap.until >= from
    })
}

fn slow(evidence: &Evidence, change: &Change) -> Vec<Violation> {
    let arrivals = arrivals(evidence, change);
    let limit = change.at + IN_FORCE_LIMIT;
    let vms: std::collections::BTreeSet<usize> =
        evidence.looks.iter().map(|look| look.vm).collect();
    let late = vms.into_iter().filter(|vm| {
        let arrived = arrivals.get(vm).is_some_and(|at| *at <= limit);
        !arrived && !was_absent(evidence, *vm, change.at, limit)
    });
    late.map(|vm| Violation::Slow { vm, version: change.version }).collect()
}

/// Returns the longest time until a change was in force on a daemon that ran
/// all the while.
pub(crate) fn slowest_change(evidence: &Evidence) -> Duration {
    let times = evidence.changes.iter().flat_map(|change| {
        let arrivals = arrivals(evidence, change);
        let ran = arrivals
            .into_iter()
            .filter(|(vm, at)| !was_absent(evidence, *vm, change.at, *at))
            .map(|(_, at)| at.saturating_sub(change.at));
        ran.collect::<Vec<Duration>>()
    });
    times.max().unwrap_or_default()
}

#[cfg(test)]
mod tests;
