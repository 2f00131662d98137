//! Tests of [`super`].

use std::time::Duration;

use medlarpoint_model::Vm;

use super::{DaemonReport, Decision, FleetView, Phase, Review};

const PERIOD: Duration = Duration::from_secs(10);

fn report(settled: bool) -> DaemonReport {
    DaemonReport { boot: 1, settled, routes: Vec::new() }
}

fn tick(review: &mut Review, at_ms: u64, phase: Phase, live: &[Vm]) -> Option<Decision> {
    let at = Duration::from_millis(at_ms);
    review.tick(at, at, PERIOD, phase, FleetView { live, new_targets: 2 })
}

/// Guards against an order that is completed while calls run at old targets, which stop at
/// once then.
#[test]
fn an_order_is_completed_some_time_after_the_last_daemon_has_settled() {
    let live: Vec<Vm> = ["a", "b"].map(|name| name.parse().unwrap()).to_vec();
    let mut review = Review::default();
    assert_eq!(tick(&mut review, 5_900, Phase::Canary, &live), None);
    assert_eq!(tick(&mut review, 6_000, Phase::Canary, &live), Some(Decision::Shift));
    for (at_ms, second_settled, expected) in [
        (7_000, false, None),
        (8_000, false, None),
        (8_100, true, None),
        (9_000, true, None),
        (9_600, true, Some(Decision::Complete)),
    ] {
        let at = Duration::from_millis(at_ms);
        review.on_report(at, &live[0], &report(true));
        review.on_report(at, &live[1], &report(second_settled));
        assert_eq!(tick(&mut review, at_ms, Phase::Shifting, &live), expected, "{at_ms}");
    }
}

#[test]
fn a_daemon_that_does_not_report_delays_an_order_until_90_percent_of_its_period() {
    let live: Vec<Vm> = ["a", "b"].map(|name| name.parse().unwrap()).to_vec();
    let mut review = Review::default();
    for at_ms in (6_500..9_000).step_by(500) {
        review.on_report(Duration::from_millis(at_ms), &live[0], &report(true));
        assert_eq!(tick(&mut review, at_ms, Phase::Shifting, &live), None);
    }
    assert_eq!(review.silent(Duration::from_secs(9), &live, 5), [live[1].clone()]);
    assert_eq!(tick(&mut review, 9_000, Phase::Shifting, &live), Some(Decision::Complete));
}

#[test]
fn an_order_without_targets_of_the_version_is_rolled_back_before_its_end() {
    let mut review = Review::default();
    let fleet = FleetView { live: &[], new_targets: 0 };
    let mut at =
        |fraction| review.tick(PERIOD, PERIOD.mul_f64(fraction), PERIOD, Phase::Canary, fleet);
    assert_eq!(at(0.8), None);
    assert!(matches!(at(0.91), Some(Decision::RollBack(_))));
}
