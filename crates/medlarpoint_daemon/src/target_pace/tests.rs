//! Tests of [`super`].

use std::time::Duration;

use medlarpoint_platform::report::Heartbeat;
use medlarpoint_routing::PaceChanges;

use super::{Lines, is_warm};

const NOW_MS: u64 = 1_700_000_000_000;

fn heartbeat(age_ms: u64, warm_up: Duration) -> Heartbeat {
    Heartbeat {
        version: None,
        service: "board".parse().unwrap(),
        address: "127.0.0.1:9".parse().unwrap(),
        slots: 9,
        draining: false,
        warm_up,
        seq: 1,
        born_ms: NOW_MS - age_ms,
    }
}

/// Guards against a daemon that restarts beside a warm target and gives it a quarter of
/// its slots, and against a cold target that is taken for a warm one.
#[test]
fn a_process_is_warm_once_it_has_run_for_longer_than_its_warm_up() {
    assert!(is_warm(&heartbeat(60_000, Duration::ZERO), NOW_MS));
    assert!(!is_warm(&heartbeat(60_000, Duration::from_millis(1)), NOW_MS));
    assert!(!is_warm(&heartbeat(2_000, Duration::ZERO), NOW_MS));
    let unknown = Heartbeat { born_ms: 0, ..heartbeat(0, Duration::ZERO) };
    assert!(!is_warm(&unknown, NOW_MS));
    // The wall clock was set back.
    assert!(!is_warm(&heartbeat(0, Duration::ZERO), NOW_MS - 60_000));
}

/// Guards against a log line per cut while a target is overloaded.
#[test]
fn cuts_are_logged_once_a_second_with_their_number() {
    let mut lines = Lines::default();
    let cut = PaceChanges { cuts: 1, reached_all: false };
    let mut logged = Vec::new();
    for tick in 0..150_u32 {
        let now = Duration::from_millis(20) * tick;
        let changes = if tick < 120 { cut } else { PaceChanges::default() };
        let (cuts, is_full) = lines.take(now, changes);
        assert!(!is_full);
        if cuts > 0 {
            logged.push(cuts);
        }
    }
    assert_eq!(logged, [1, 50, 50]);
}
