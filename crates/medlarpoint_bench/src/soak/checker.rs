//! Checks the guarantees against what callers, targets and the operator observed.

use std::collections::HashMap;
use std::time::Duration;

use medlarpoint_model::Version;
use serde::Serialize;

use super::caller::{CallRecord, Operation, Outcome};
pub(crate) use fatal::FatalRun;

/// Limit on the time until a change is in force on a running daemon.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(9);
/// Limit on the time until everything is served again after the last
/// disturbance.
pub(crate) const RECOVERY_LIMIT: Duration = Duration::from_secs(15);
/// Time before the end of a stopping daemon in which a call may fail: it may
/// arrive on an idle connection just as the daemon closes it.
const CLOSE_RACE: Duration = Duration::from_millis(300);
/// Time for which the effects of a disturbance outlast it, since stalled
/// connections have yet to be detected as dead.
const DETECTION_TIME: Duration = Duration::from_millis(500);

/// Cause of an outage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Cause {
    /// The daemon was killed or suspended.
    Process,
    /// The daemon was signalled to stop; the outage begins when its process has ended.
    Stopped,
    /// The link from the callers to the daemon was disturbed.
    Callers,
    /// The link from the daemon to its target was disturbed.
    Target,
}

/// A period in which a VM was unreachable for callers, or its daemon did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Outage {
    pub(crate) vm: usize,
    pub(crate) cause: Cause,
    pub(crate) from: Duration,
    pub(crate) until: Duration,
}

/// The version that a serving daemon reported at one time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sample {
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

/// Everything that callers, targets and the operator observed.
#[derive(Clone, Debug, Default)]
pub(crate) struct Observations {
    pub(crate) calls: Vec<CallRecord>,
    /// Number of executions of each call, by its id.
    pub(crate) runs: HashMap<String, usize>,
    pub(crate) outages: Vec<Outage>,
    pub(crate) samples: Vec<Sample>,
    pub(crate) changes: Vec<Change>,
    /// Executions of calls that crash their targets.
    pub(crate) fatal_runs: Vec<FatalRun>,
    /// VMs whose daemon did not shut down gracefully when signalled to stop.
    pub(crate) unclean_stops: Vec<usize>,
    /// Time that recovery took; `None` if the fleet did not recover.
    pub(crate) recovery: Option<Duration>,
}

/// A violated guarantee.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Violation {
    /// A call that may run at most once ran more than once.
    Doubled {
        /// Id of the call.
        id: String,
        /// Number of executions.
        runs: usize,
    },
    /// A call that ran was reported to its caller as not run.
    FalseNotRun {
        /// Id of the call.
        id: String,
    },
    /// A caller got a success response to a call that no target ran.
    MadeUp {
        /// Id of the call.
        id: String,
    },
    /// A response belongs to another call, or is not complete.
    Foreign {
        /// Id of the call.
        id: String,
    },
    /// A call got no response although nothing disturbed its connection.
    Dropped {
        /// Id of the call.
        id: String,
        /// Number of the VM that was called.
        vm: usize,
        /// Time of sending, in milliseconds since the start of the soak.
        sent_ms: u64,
        /// Error that the caller got.
        reason: String,
    },
    /// A daemon moved back to an older version.
    Fell {
        /// Number of the VM.
        vm: usize,
        /// Highest version observed before.
        from: Version,
        /// Older version, observed later.
        to: Version,
    },
    /// A change was not in force in time on a daemon that ran throughout.
    Slow {
        /// Number of the VM.
        vm: usize,
        /// Version of the change.
        version: Version,
    },
    /// A daemon did not shut down gracefully when signalled to stop.
    BadStop {
        /// Number of the VM.
        vm: usize,
    },
    /// A call that crashes no target was rejected as one that does.
    ShutOut {
        /// Id of the call.
        id: String,
    },
    /// A call that crashes its targets was handed over more often than allowed once its
    /// crashes were known.
    CrashedAgain {
        /// Number of executions.
        runs: usize,
    },
    /// Not everything was served again within the limit.
    NotRecovered,
}

/// Number of calls by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Calls with a success response.
    pub answered: usize,
    /// Calls that were reported as not run.
    pub not_run: usize,
    /// Calls that may have run.
    pub unknown: usize,
    /// Calls without a response.
    pub broken: usize,
}

impl Counts {
    pub(crate) fn of(calls: &[CallRecord]) -> Self {
        let mut counts = Self::default();
        for call in calls {
            match call.outcome {
                Outcome::Responded { .. } => counts.answered += 1,
                Outcome::NotRun | Outcome::BackedOff => counts.not_run += 1,
                Outcome::Unknown => counts.unknown += 1,
                Outcome::Failed(_) => counts.broken += 1,
            }
        }
        counts
    }
}

/// Returns all violations of the guarantees.
pub(crate) fn check(observations: &Observations) -> Vec<Violation> {
    let mut violations: Vec<Violation> =
        observations.calls.iter().flat_map(|call| check_call(observations, call)).collect();
    violations.extend(fatal::check(observations));
    violations.extend(check_versions(&observations.samples));
    violations
        .extend(observations.changes.iter().flat_map(|change| check_change(observations, change)));
    violations.extend(observations.unclean_stops.iter().map(|vm| Violation::BadStop { vm: *vm }));
    if observations.recovery.is_none_or(|time| time > RECOVERY_LIMIT) {
        violations.push(Violation::NotRecovered);
    }
    violations
}

fn check_call(observations: &Observations, call: &CallRecord) -> Vec<Violation> {
    let id = call.id.clone();
    let runs = observations.runs.get(&call.id).copied().unwrap_or_default();
    let at_most_once = matches!(call.operation, Operation::KeyedOrder | Operation::Order);
    let mut violations = Vec::new();
    if at_most_once && runs > 1 {
        violations.push(Violation::Doubled { id: id.clone(), runs });
    }
    match &call.outcome {
        Outcome::Responded { correct: false } => violations.push(Violation::Foreign { id }),
        Outcome::Responded { correct: true } if runs == 0 => {
            violations.push(Violation::MadeUp { id });
        }
        // For a call that was sent again, "not run" covers the last attempt only.
        Outcome::NotRun | Outcome::BackedOff if runs > 0 && !call.resent => {
            violations.push(Violation::FalseNotRun { id });
        }
        Outcome::Failed(reason) if !call.resent && !is_excused(observations, call) => {
            let sent_ms = call.sent_at.as_millis() as u64;
            violations.push(Violation::Dropped {
                id,
                vm: call.vm,
                sent_ms,
                reason: reason.clone(),
            });
        }
        Outcome::BackedOff if call.operation != Operation::FatalLookup => {
            violations.push(Violation::ShutOut { id });
        }
        Outcome::Responded { .. }
        | Outcome::NotRun
        | Outcome::BackedOff
        | Outcome::Unknown
        | Outcome::Failed(_) => {}
    }
    violations
}

/// Returns whether an outage explains that a call got no response.
fn is_excused(observations: &Observations, call: &CallRecord) -> bool {
    observations.outages.iter().filter(|outage| outage.vm == call.vm).any(|outage| {
        let (time, from) = match outage.cause {
            // Calls sent before that get a response before the process ends.
            Cause::Stopped => (call.sent_at, outage.from.saturating_sub(CLOSE_RACE)),
            Cause::Process | Cause::Callers => (call.ended_at, outage.from),
            Cause::Target => return false,
        };
        time >= from && call.sent_at <= outage.until + DETECTION_TIME
    })
}

fn check_versions(samples: &[Sample]) -> Vec<Violation> {
    let mut newest: HashMap<usize, Version> = HashMap::new();
    let mut violations = Vec::new();
    for sample in samples {
        let highest = newest.entry(sample.vm).or_insert(sample.version);
        if sample.version < *highest {
            violations.push(Violation::Fell { vm: sample.vm, from: *highest, to: sample.version });
        }
        *highest = (*highest).max(sample.version);
    }
    violations
}

/// Returns when each VM was first observed with the version of a change or a later one.
fn times_in_force(observations: &Observations, change: &Change) -> HashMap<usize, Duration> {
    let mut times_in_force = HashMap::new();
    for sample in observations.samples.iter().filter(|sample| sample.version >= change.version) {
        times_in_force.entry(sample.vm).or_insert(sample.at);
    }
    times_in_force
}

/// Returns whether a daemon was down at any time in a period.
fn was_down(observations: &Observations, vm: usize, from: Duration, until: Duration) -> bool {
    observations.outages.iter().any(|outage| {
        outage.vm == vm
            && !matches!(outage.cause, Cause::Callers | Cause::Target)
            && outage.from <= until
            && outage.until >= from
    })
}

fn check_change(observations: &Observations, change: &Change) -> Vec<Violation> {
    let times_in_force = times_in_force(observations, change);
    let limit = change.at + IN_FORCE_LIMIT;
    let vms: std::collections::BTreeSet<usize> =
        observations.samples.iter().map(|sample| sample.vm).collect();
    let late = vms.into_iter().filter(|vm| {
        let in_time = times_in_force.get(vm).is_some_and(|at| *at <= limit);
        !in_time && !was_down(observations, *vm, change.at, limit)
    });
    late.map(|vm| Violation::Slow { vm, version: change.version }).collect()
}

/// Returns the longest time until a change was in force on a daemon that ran
/// throughout.
pub(crate) fn slowest_change(observations: &Observations) -> Duration {
    let times = observations.changes.iter().flat_map(|change| {
        let times_in_force = times_in_force(observations, change);
        let times = times_in_force
            .into_iter()
            .filter(|(vm, at)| !was_down(observations, *vm, change.at, *at))
            .map(|(_, at)| at.saturating_sub(change.at));
        times.collect::<Vec<Duration>>()
    });
    times.max().unwrap_or_default()
}

mod fatal;
#[cfg(test)]
mod tests;
