//! Tests of [`super`].

use super::Exposure;

#[test]
fn the_share_holds_in_every_series_of_calls() {
    for start in [0.0, 0.3, 0.999] {
        let mut exposure = Exposure::new(start);
        let exposed: Vec<bool> = (0..2_000).map(|_| exposure.next(true)).collect();
        for length in [1, 10, 100, 1_000] {
            for window in exposed.windows(length) {
                let count = window.iter().filter(|exposed| **exposed).count();
                assert!(count as f64 <= 0.08 * length as f64 + 1.0);
            }
        }
    }
}

/// Guards against a burst of calls at a canary target that has just started.
#[test]
fn calls_that_could_not_be_exposed_are_not_made_up_for() {
    let mut exposure = Exposure::new(0.5);
    for _ in 0..1_000 {
        assert!(!exposure.next(false));
    }
    let exposed = (0..25).filter(|_| exposure.next(true)).count();
    assert!(exposed <= 3, "{exposed}");
}

#[test]
fn daemons_with_a_few_calls_each_expose_the_share_together() {
    let exposed = (0..1_000_u32).map(|index| {
        let mut exposure = Exposure::new(f64::from(index) / 1_000.0);
        (0..4).filter(|_| exposure.next(true)).count()
    });
    let exposed: usize = exposed.sum();
    assert!((300..=340).contains(&exposed), "{exposed}");
}
