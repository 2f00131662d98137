//! Which disturbances a soak brings, and when; decided by the seed alone.

use std::time::Duration;

use medlarpoint_standin::Faults;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::link::Condition;

/// Mean time between disturbances.
const GAP: Duration = Duration::from_millis(700);
/// Shortest and longest disturbance, in milliseconds.
const LENGTH_MS: std::ops::Range<u64> = 100..2_500;
/// Longest delay of a slow link, in milliseconds.
const MAX_DELAY_MS: u64 = 400;

/// A link of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Side {
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
    /// Tells a daemon to stop and starts it again.
    Stop(usize),
    /// Suspends a daemon.
    Pause(usize),
    /// Kills all daemons and starts them again.
    KillAll,
    /// Changes a link of a member.
    Link(usize, Side, Condition),
    /// Changes the store.
    Store(Faults),
    /// Tells a daemon to read its settings anew.
    Reload(usize),
    /// Commits a change through a member's daemon.
    Change(usize),
}

/// A disturbance with its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Step {
    /// Time since the start.
    pub(crate) at: Duration,
    /// How long it lasts, where it does.
    pub(crate) length: Duration,
    /// What happens.
    pub(crate) disturbance: Disturbance,
}

/// Returns the steps of a soak in order.
pub(crate) fn plan(seed: u64, length: Duration, members: usize) -> Vec<Step> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut steps = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        at += GAP.mul_f64(rng.random_range(0.05..1.95));
        if at >= length {
            return steps;
        }
        let disturbance = choose(&mut rng, members);
        let length = Duration::from_millis(rng.random_range(LENGTH_MS));
        steps.push(Step { at, length, disturbance });
    }
}

fn choose(rng: &mut StdRng, members: usize) -> Disturbance {
    let member = rng.random_range(0..members);
    match rng.random_range(0..100) {
        0..25 => Disturbance::Change(member),
        25..38 => Disturbance::Stop(member),
        38..48 => Disturbance::Kill(member),
        48..56 => Disturbance::Pause(member),
        56..59 => Disturbance::Reload(member),
        59..61 => Disturbance::KillAll,
        61..70 => Disturbance::Store(faults(rng)),
        _ => Disturbance::Link(member, side(rng), condition(rng)),
    }
}

fn side(rng: &mut StdRng) -> Side {
    match rng.random_range(0..3) {
        0 => Side::Callers,
        1 => Side::Store,
        _ => Side::Target,
    }
}

fn condition(rng: &mut StdRng) -> Condition {
    match rng.random_range(0..5) {
        0 => Condition::Slow(Duration::from_millis(rng.random_range(1..MAX_DELAY_MS))),
        1 => Condition::Reset,
        2 => Condition::ForwardCut,
        3 => Condition::BackwardCut,
        _ => Condition::Silent,
    }
}

fn faults(rng: &mut StdRng) -> Faults {
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
