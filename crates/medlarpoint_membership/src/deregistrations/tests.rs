//! Tests of [`super`].

use std::time::Duration;

use super::{Deregistrations, MAX_PROCESSES, RETENTION};
use crate::instance::Report;

const NOW: Duration = Duration::from_secs(100);
const WALL_MS: u64 = 1_000;

fn report(instance: &str, born_ms: u64) -> Report {
    Report { instance: instance.into(), born_ms, seq: 1, draining: false }
}

#[test]
fn a_late_heartbeat_of_a_deregistered_process_is_recognised() {
    let mut deregistrations = Deregistrations::default();
    deregistrations.record(NOW, "a", Some(10), WALL_MS);
    assert!(deregistrations.contains(NOW, &report("a", 10)));
    assert!(deregistrations.contains(NOW, &report("a", 9)));
    assert!(!deregistrations.contains(NOW, &report("b", 10)));
    assert!(!deregistrations.contains(NOW, &report("a", 0)));
}

#[test]
fn a_later_process_with_the_same_instance_id_is_another_process() {
    let mut deregistrations = Deregistrations::default();
    deregistrations.record(NOW, "a", Some(10), WALL_MS);
    assert!(!deregistrations.contains(NOW, &report("a", 11)));
}

#[test]
fn a_deregistration_without_a_start_time_covers_processes_started_until_now() {
    let mut deregistrations = Deregistrations::default();
    deregistrations.record(NOW, "a", None, WALL_MS);
    assert!(deregistrations.contains(NOW, &report("a", WALL_MS)));
    assert!(!deregistrations.contains(NOW, &report("a", WALL_MS + 1)));
}

#[test]
fn deregistrations_are_limited_in_number_and_expire() {
    let mut deregistrations = Deregistrations::default();
    for number in 0..MAX_PROCESSES * 2 {
        deregistrations.record(NOW, &format!("p{number}"), Some(10), WALL_MS);
    }
    assert_eq!(deregistrations.processes.len(), MAX_PROCESSES);
    assert!(!deregistrations.contains(NOW + RETENTION, &report("p31", 10)));
}
