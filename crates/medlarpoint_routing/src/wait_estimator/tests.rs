//! Tests of [`super`].

use std::time::Duration;

use super::WaitEstimator;

#[test]
fn a_call_with_less_time_remaining_than_usual_has_been_tried_before() {
    let ms = Duration::from_millis;
    let route = "r".parse().unwrap();
    let mut estimator = WaitEstimator::default();
    for _ in 0..10 {
        assert_eq!(estimator.elapsed(&route, ms(4_000)), Duration::ZERO);
    }
    assert_eq!(estimator.elapsed(&route, ms(2_600)), ms(1_400));
    // A timeout longer than the usual one does not count as elapsed time.
    assert_eq!(estimator.elapsed(&route, ms(9_000)), Duration::ZERO);
    assert_eq!(estimator.elapsed(&route, ms(4_000)), Duration::ZERO);
}

#[test]
fn a_new_usual_timeout_replaces_the_old_one() {
    let ms = Duration::from_millis;
    let route = "r".parse().unwrap();
    let mut estimator = WaitEstimator::default();
    for _ in 0..3 {
        estimator.elapsed(&route, ms(4_000));
    }
    for _ in 0..5 {
        estimator.elapsed(&route, ms(2_000));
    }
    assert_eq!(estimator.elapsed(&route, ms(2_000)), Duration::ZERO);
    assert_eq!(estimator.elapsed(&route, ms(500)), ms(1_500));
}
