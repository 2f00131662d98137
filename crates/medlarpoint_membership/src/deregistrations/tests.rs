//! Tests of [`super`].

use std::time::Duration;

use super::{Deregistrations, KEEP, MAX_PROCESSES};
use crate::instance::Report;

const NOW: Duration = Duration::from_secs(100);
const WALL_MS: u64 = 1_000;

fn report(instance: &str, born_ms: u64) -> Report {
    Report { instance: instance.into(), born_ms, seq: 1, draining: false }
}

#[test]
fn a_late_heartbeat_does_not_bring_a_process_back() {
    let mut deregistrations = Deregistrations::default();
    deregistrations.record(NOW, "a", Some(10), WALL_MS);
    assert!(deregistrations.contains(NOW, &report("a", 10)));
    assert!(deregistrations.contains(NOW, &report("a", 9)));
    assert!(!deregistrations.contains(NOW, &report("b", 10)));
    assert!(!deregistrations.contains(NOW, &report("a", 0)));
}

#[test]
fn a_restart_under_the_same_identity_is_another_process() {
    let mut deregistrations = Deregistrations::default();
    deregistrations.record(NOW, "a", Some(10), WALL_MS);
    assert!(!deregistrations.contains(NOW, &report("a", 11)));
}

#[test]
fn one_that_does_not_say_when_it_started_runs_now() {
    let mut deregistrations = Deregistrations::default();
    deregistrations.record(NOW, "a", None, WALL_MS);
    assert!(deregistrations.contains(NOW, &report("a", WALL_MS)));
    assert!(!deregistrations.contains(NOW, &report("a", WALL_MS + 1)));
}

#[test]
fn what_is_remembered_is_bounded() {
    let mut deregistrations = Deregistrations::default();
    for number in 0..MAX_PROCESSES * 2 {
        deregistrations.record(NOW, &format!("p{number}"), Some(10), WALL_MS);
    }
    assert_eq!(deregistrations.processes.len(), MAX_PROCESSES);
    assert!(!deregistrations.contains(NOW + KEEP, &report("p31", 10)));
}
