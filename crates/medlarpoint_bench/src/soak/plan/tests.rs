//! Tests of [`super`].

use std::time::Duration;

use super::{Disturbance, plan};

const LENGTH: Duration = Duration::from_secs(120);

#[test]
fn equal_seeds_give_equal_plans() {
    assert_eq!(plan(7, LENGTH, 8), plan(7, LENGTH, 8));
    assert_ne!(plan(7, LENGTH, 8), plan(8, LENGTH, 8));
}

#[test]
fn a_plan_contains_all_kinds_of_disturbances_and_overlaps_them() {
    let steps = plan(7, LENGTH, 8);
    let has = |test: fn(&Disturbance) -> bool| steps.iter().any(|step| test(&step.disturbance));
    assert!(has(|d| matches!(d, Disturbance::Kill(_))));
    assert!(has(|d| matches!(d, Disturbance::Stop(_))));
    assert!(has(|d| matches!(d, Disturbance::Pause(_))));
    assert!(has(|d| matches!(d, Disturbance::KillAll)));
    assert!(has(|d| matches!(d, Disturbance::Link(..))));
    assert!(has(|d| matches!(d, Disturbance::Store(_))));
    assert!(has(|d| matches!(d, Disturbance::Change(_))));
    let overlaps = steps.windows(2).filter(|pair| pair[0].at + pair[0].duration > pair[1].at);
    assert!(overlaps.count() > steps.len() / 3);
    assert!(steps.iter().all(|step| step.at < LENGTH));
}
