//! Tests of [`super`].

use std::time::Duration;

use super::{MAX_UNTRIED_CALLS, TargetLimit};

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn start_all(limit: &mut TargetLimit, now: Duration) -> usize {
    let mut started = 0;
    while limit.may_start(now) {
        limit.on_start(now);
        started += 1;
    }
    started
}

#[test]
fn calls_start_at_the_named_rate_with_a_short_burst_after_a_pause() {
    let mut limit = TargetLimit::default();
    limit.record(ms(1_000), Some(20.0));
    assert_eq!(start_all(&mut limit, ms(1_000)), 0);
    assert_eq!(limit.wait(ms(1_000), 0), ms(50));
    assert_eq!(limit.wait(ms(1_000), 3), ms(200));
    assert_eq!(start_all(&mut limit, ms(1_050)), 1);
    // A quarter of a second at the named rate, however long the pause.
    assert_eq!(start_all(&mut limit, ms(60_000)), 5);
}

#[test]
fn a_response_without_a_limit_ends_it() {
    let mut limit = TargetLimit::default();
    limit.record(ms(0), Some(1.0));
    assert!(!limit.may_start(ms(10)));
    limit.record(ms(10), None);
    assert!(limit.may_start(ms(10)));
    assert_eq!(limit.wait(ms(10), 50), Duration::ZERO);
}

#[test]
fn a_limit_named_again_starts_no_further_calls() {
    let mut limit = TargetLimit::default();
    limit.record(ms(0), Some(10.0));
    let mut started = 0;
    for step in 1..=100 {
        limit.record(ms(step * 10), Some(10.0));
        started += start_all(&mut limit, ms(step * 10));
    }
    assert!((9..=10).contains(&started), "{started}");
}

#[test]
fn a_target_that_names_no_calls_at_all_still_gets_one_from_time_to_time() {
    let mut limit = TargetLimit::default();
    limit.record(ms(0), Some(0.0));
    assert!(!limit.may_start(ms(1_000)));
    assert!(limit.may_start(ms(2_000)));
}

#[test]
fn few_calls_are_in_flight_before_the_first_response() {
    let mut limit = TargetLimit::Untried;
    assert_eq!(limit.max_in_flight(), Some(MAX_UNTRIED_CALLS));
    limit.record(ms(0), None);
    assert_eq!(limit.max_in_flight(), None);
}
