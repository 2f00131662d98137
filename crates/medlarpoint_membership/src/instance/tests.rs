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
fn a_late_report_of_an_earlier_process_is_ignored() {
    let mut current = None;
    assert_eq!(Instance::apply(&mut current, at(0), report("a", 10, 5)), Effect::Replaced);
    assert_eq!(Instance::apply(&mut current, at(100), report("b", 20, 1)), Effect::Replaced);
    assert_eq!(Instance::apply(&mut current, at(200), report("a", 10, 6)), Effect::Late);
    assert_eq!(&*current.unwrap().report().instance, "b");
}

#[test]
fn a_restart_with_the_same_instance_id_restarts_the_sequence_numbers() {
    let mut current = None;
    Instance::apply(&mut current, at(0), report("a", 10, 50));
    assert_eq!(Instance::apply(&mut current, at(100), report("a", 11, 1)), Effect::Replaced);
    assert_eq!(Instance::apply(&mut current, at(200), report("a", 10, 51)), Effect::Late);
    assert_eq!(Instance::apply(&mut current, at(300), report("a", 11, 2)), Effect::Unchanged);
}

#[test]
fn reports_of_one_process_apply_in_the_order_of_their_sequence_numbers() {
    let mut current = None;
    Instance::apply(&mut current, at(0), report("a", 10, 1));
    let draining = Report { draining: true, ..report("a", 10, 3) };
    assert_eq!(Instance::apply(&mut current, at(100), draining), Effect::ReadinessChanged);
    assert_eq!(Instance::apply(&mut current, at(200), report("a", 10, 2)), Effect::Late);
    assert!(!current.unwrap().accepts_work());
}

#[test]
fn after_a_deregistration_only_another_process_becomes_the_target() {
    let mut current = None;
    Instance::apply(&mut current, at(0), report("a", 10, 1));
    let known = current.as_mut().unwrap();
    assert!(!known.deregister("b", None));
    assert!(!known.deregister("a", Some(9)));
    assert!(known.deregister("a", None));
    assert_eq!(Instance::apply(&mut current, at(100), report("a", 10, 2)), Effect::Late);
    assert!(!current.as_ref().unwrap().accepts_work());
    assert_eq!(Instance::apply(&mut current, at(200), report("a", 30, 1)), Effect::Replaced);
}

#[test]
fn a_silent_process_is_replaced_even_if_the_clock_was_set_back() {
    let mut current = None;
    Instance::apply(&mut current, at(0), report("a", 5_000, 9));
    assert_eq!(Instance::apply(&mut current, at(1_000), report("b", 3_000, 1)), Effect::Late);
    assert_eq!(Instance::apply(&mut current, at(5_000), report("b", 3_000, 2)), Effect::Replaced);
}

/// Guards against DRAIN of issue 25: a target that says in its responses that it leaves
/// gets no more calls, also if a report that it sent before arrives later.
#[test]
fn a_process_that_said_that_it_leaves_accepts_no_work_again() {
    let mut current = None;
    Instance::apply(&mut current, at(0), report("a", 10, 1));
    assert!(current.as_mut().unwrap().leave());
    assert!(!current.as_mut().unwrap().leave());
    assert_eq!(Instance::apply(&mut current, at(100), report("a", 10, 2)), Effect::Late);
    assert!(!current.as_ref().unwrap().accepts_work());
    // Another process takes over the VM.
    assert_eq!(Instance::apply(&mut current, at(200), report("b", 20, 1)), Effect::Replaced);
    assert!(current.unwrap().accepts_work());
}
