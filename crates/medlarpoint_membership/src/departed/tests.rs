//! Tests of [`super`].

use std::time::Duration;

use super::{Departed, KEEP, MAX_PROCESSES};
use crate::Report;

const NOW: Duration = Duration::from_secs(100);
const WALL_MS: u64 = 1_000;

fn report(instance: &str, born_ms: u64) -> Report {
    Report { instance: instance.into(), born_ms, seq: 1, draining: false }
}

#[test]
fn a_late_heartbeat_does_not_bring_a_process_back() {
    let mut departed = Departed::default();
    departed.note(NOW, "a", Some(10), WALL_MS);
    assert!(departed.covers(NOW, &report("a", 10)));
    assert!(departed.covers(NOW, &report("a", 9)));
    assert!(!departed.covers(NOW, &report("b", 10)));
    assert!(!departed.covers(NOW, &report("a", 0)));
}

#[test]
fn a_restart_under_the_same_identity_is_another_process() {
    let mut departed = Departed::default();
    departed.note(NOW, "a", Some(10), WALL_MS);
    assert!(!departed.covers(NOW, &report("a", 11)));
}

#[test]
fn one_that_does_not_say_when_it_started_runs_now() {
    let mut departed = Departed::default();
    departed.note(NOW, "a", None, WALL_MS);
    assert!(departed.covers(NOW, &report("a", WALL_MS)));
    assert!(!departed.covers(NOW, &report("a", WALL_MS + 1)));
}

#[test]
fn what_is_remembered_is_bounded() {
    let mut departed = Departed::default();
    for number in 0..MAX_PROCESSES * 2 {
        departed.note(NOW, &format!("p{number}"), Some(10), WALL_MS);
    }
    assert_eq!(departed.processes.len(), MAX_PROCESSES);
    assert!(!departed.covers(NOW + KEEP, &report("p31", 10)));
}
