//! Tests of [`super`].

use std::time::Duration;

use super::{Effect, Instance, Report};

fn report(instance: &str, born_ms: u64, seq: u64) -> Report {
    Report { instance: instance.into(), born_ms, seq, draining: false }
}

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn a_late_report_of_an_earlier_process_changes_nothing() {
    let mut place = None;
    assert_eq!(Instance::apply(&mut place, at(0), report("a", 10, 5)), Effect::Replaced);
    assert_eq!(Instance::apply(&mut place, at(100), report("b", 20, 1)), Effect::Replaced);
    assert_eq!(Instance::apply(&mut place, at(200), report("a", 10, 6)), Effect::Late);
    assert_eq!(&*place.unwrap().report().instance, "b");
}

#[test]
fn a_restart_under_the_same_identity_begins_to_count_anew() {
    let mut place = None;
    Instance::apply(&mut place, at(0), report("a", 10, 50));
    assert_eq!(Instance::apply(&mut place, at(100), report("a", 11, 1)), Effect::Replaced);
    assert_eq!(Instance::apply(&mut place, at(200), report("a", 10, 51)), Effect::Late);
    assert_eq!(Instance::apply(&mut place, at(300), report("a", 11, 2)), Effect::Unchanged);
}

#[test]
fn reports_of_one_process_count_in_their_order() {
    let mut place = None;
    Instance::apply(&mut place, at(0), report("a", 10, 1));
    let leaving = Report { draining: true, ..report("a", 10, 3) };
    assert_eq!(Instance::apply(&mut place, at(100), leaving), Effect::ReadinessChanged);
    assert_eq!(Instance::apply(&mut place, at(200), report("a", 10, 2)), Effect::Late);
    assert!(!place.unwrap().accepts_work());
}

#[test]
fn nothing_follows_a_deregistration_but_another_process() {
    let mut place = None;
    Instance::apply(&mut place, at(0), report("a", 10, 1));
    let known = place.as_mut().unwrap();
    assert!(!known.deregister("b", None));
    assert!(!known.deregister("a", Some(9)));
    assert!(known.deregister("a", None));
    assert_eq!(Instance::apply(&mut place, at(100), report("a", 10, 2)), Effect::Late);
    assert!(!place.as_ref().unwrap().accepts_work());
    assert_eq!(Instance::apply(&mut place, at(200), report("a", 30, 1)), Effect::Replaced);
}

#[test]
fn a_silent_process_gives_way_although_the_clock_was_set_back() {
    let mut place = None;
    Instance::apply(&mut place, at(0), report("a", 5_000, 9));
    assert_eq!(Instance::apply(&mut place, at(1_000), report("b", 3_000, 1)), Effect::Late);
    assert_eq!(Instance::apply(&mut place, at(5_000), report("b", 3_000, 2)), Effect::Replaced);
}
