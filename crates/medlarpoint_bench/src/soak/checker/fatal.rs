//! Checks how often a call that crashes its targets was handed over.

use std::time::Duration;

use super::{Cause, Observations, Violation};

/// Crashes after which every daemon has to know of the call.
const KNOWN_AFTER: usize = 3;
/// Time within which every daemon that runs undisturbed knows of a crash, and for which the
/// effects of a disturbance last.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Executions that are allowed once every daemon knows of the call.
const MAX_LATE_RUNS: usize = 3;

/// One execution of a call that crashes its targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct FatalRun {
    /// Time at which it began, since the start of the soak.
    pub(crate) at: Duration,
    /// Number of the VM that was called.
    pub(crate) caller: usize,
    /// Number of the VM whose target ran it.
    pub(crate) target: usize,
}

/// Returns whether a VM was disturbed within [`SETTLE_TIME`] before a time.
fn was_disturbed(observations: &Observations, vm: usize, at: Duration) -> bool {
    observations
        .outages
        .iter()
        .any(|outage| outage.vm == vm && outage.from <= at && outage.until + SETTLE_TIME >= at)
}

/// Returns the time of the last loss of all daemons, which know nothing of what was before.
fn last_loss_of_all(observations: &Observations) -> Duration {
    let starts = observations.outages.iter().filter(|outage| outage.cause == Cause::Process);
    let vms = observations.samples.iter().map(|sample| sample.vm + 1).max().unwrap_or_default();
    let losses = starts.filter(|first| {
        let same = observations.outages.iter().filter(|other| other.from == first.from);
        same.count() >= vms
    });
    losses.map(|outage| outage.until).max().unwrap_or_default()
}

/// Returns a violation if the call ran too often later than [`SETTLE_TIME`] after its third
/// crash, between VMs that were not disturbed.
pub(super) fn check(observations: &Observations) -> Option<Violation> {
    let start = last_loss_of_all(observations);
    let runs: Vec<&FatalRun> =
        observations.fatal_runs.iter().filter(|run| run.at >= start).collect();
    let known_at = runs.get(KNOWN_AFTER - 1)?.at + SETTLE_TIME;
    let late = runs.iter().filter(|run| {
        let vms = [run.caller, run.target];
        run.at > known_at && !vms.iter().any(|vm| was_disturbed(observations, *vm, run.at))
    });
    let late = late.count();
    (late > MAX_LATE_RUNS).then_some(Violation::CrashedAgain { runs: late })
}
