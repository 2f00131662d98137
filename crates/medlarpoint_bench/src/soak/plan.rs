//! The schedule of the disturbances of a soak, determined by its seed, length and
//! number of members.

use std::time::Duration;

use medlarpoint_standin::Faults;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::link::Condition;

/// Mean time between disturbances.
const MEAN_INTERVAL: Duration = Duration::from_millis(700);
/// Range of the duration of a disturbance, in milliseconds.
const DURATION_MS: std::ops::Range<u64> = 100..2_500;
/// Limit on the delay of a slow link or store, in milliseconds.
const MAX_DELAY_MS: u64 = 400;

/// Name of a link of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LinkName {
    /// From callers to the daemon.
    Callers,
    /// From the daemon to the store.
    Store,
    /// From the daemon to its target.
    Target,
}

/// A disturbance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Disturbance {
    /// Kills a daemon and starts it again.
    Kill(usize),
    /// Signals a daemon to stop and starts it again.
    Stop(usize),
    /// Suspends a daemon, then resumes it.
    Pause(usize),
    /// Kills all daemons and starts them again.
    KillAll,
    /// Changes the condition of a link of a member.
    Link(usize, LinkName, Condition),
    /// Injects faults into the store.
    Store(Faults),
    /// Signals a daemon to reload its settings.
    Reload(usize),
    /// Commits a change through a member's daemon.
    Change(usize),
}

/// A scheduled disturbance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Step {
    /// Time of the start of the disturbance, since the start of the plan.
    pub(crate) at: Duration,
    /// Duration of the disturbance; not used for `KillAll`, `Reload` and `Change`.
    pub(crate) duration: Duration,
    pub(crate) disturbance: Disturbance,
}

/// Returns the steps of a soak in order of time.
pub(crate) fn plan(seed: u64, length: Duration, members: usize) -> Vec<Step> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut steps = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        at += MEAN_INTERVAL.mul_f64(rng.random_range(0.05..1.95));
        if at >= length {
            return steps;
        }
        let disturbance = random_disturbance(&mut rng, members);
        let duration = Duration::from_millis(rng.random_range(DURATION_MS));
        steps.push(Step { at, duration, disturbance });
    }
}

fn random_disturbance(rng: &mut StdRng, members: usize) -> Disturbance {
    let member = rng.random_range(0..members);
    match rng.random_range(0..100) {
        0..25 => Disturbance::Change(member),
        25..38 => Disturbance::Stop(member),
        38..48 => Disturbance::Kill(member),
        48..56 => Disturbance::Pause(member),
        56..59 => Disturbance::Reload(member),
        59..61 => Disturbance::KillAll,
        61..70 => Disturbance::Store(random_store_faults(rng)),
        _ => Disturbance::Link(member, random_link(rng), random_condition(rng)),
    }
}

fn random_link(rng: &mut StdRng) -> LinkName {
    match rng.random_range(0..3) {
        0 => LinkName::Callers,
        1 => LinkName::Store,
        _ => LinkName::Target,
    }
}

fn random_condition(rng: &mut StdRng) -> Condition {
    match rng.random_range(0..5) {
        0 => Condition::Slow(Duration::from_millis(rng.random_range(1..MAX_DELAY_MS))),
        1 => Condition::Reset,
        2 => Condition::ForwardBlocked,
        3 => Condition::BackwardBlocked,
        _ => Condition::Blocked,
    }
}

fn random_store_faults(rng: &mut StdRng) -> Faults {
    let none = Faults::default();
    match rng.random_range(0..4) {
        0 => Faults { down: true, ..none },
        1 => Faults { silent: true, ..none },
        2 => Faults { delay_ms: rng.random_range(1..MAX_DELAY_MS), ..none },
        _ => Faults { lose_answers_percent: 30, lose_requests_percent: 10, ..none },
    }
}

#[cfg(test)]
mod tests;
