//! Tests of [`super`].

use std::time::Duration;

use medlarpoint_model::Vm;

use super::{Choice, Group, Phase, Rollout, Split, Target};
use crate::rollout::{Order, OrderId};

const NOW: Duration = Duration::from_secs(100);

fn vm(name: &str) -> Vm {
    name.parse().unwrap()
}

fn rollout(phase: Phase) -> Rollout {
    let id = OrderId { era: 1, revision: 7 };
    let period = Duration::from_secs(12);
    let order = Order { id, service: "desk".parse().unwrap(), version: "v2".into(), period };
    Rollout { order, phase, reason: String::new(), age: Duration::ZERO }
}

/// Returns a split with old targets `a` and `b` and new targets `c`, `d` and `e`.
fn split(phase: Option<Phase>) -> Split {
    let mut split = Split::default();
    let vms = ["a", "b", "c", "d", "e"].map(vm);
    let targets = vms.iter().enumerate().map(|(index, vm)| Target {
        vm,
        version: Some(if index < 2 { "v1" } else { "v2" }),
        order: (index >= 2).then_some(7),
    });
    let targets: Vec<Target<'_>> = targets.collect();
    let rollout = phase.map(rollout);
    split.assign(NOW, rollout.as_ref(), &targets, true, 0.0);
    split
}

/// Guards against calls that a daemon which does not know the order yet sends to the ordered
/// version.
#[test]
fn targets_of_an_order_that_is_not_known_get_no_calls() {
    let mut split = split(None);
    assert_eq!(split.unknown_targets().len(), 3);
    for _ in 0..100 {
        assert_eq!(split.choose(NOW, true, false), Choice::Old);
    }
    assert!(!Choice::Old.allows(Group::Unknown));
}

#[test]
fn all_versions_serve_without_an_order() {
    let mut split = Split::default();
    let (a, b) = (vm("a"), vm("b"));
    let target = |vm, version| Target { vm, version: Some(version), order: None };
    split.assign(NOW, None, &[target(&a, "v1"), target(&b, "v2")], true, 0.0);
    assert_eq!(split.choose(NOW, true, false), Choice::All);
}

/// Guards against retries, hedges and keyed calls that expose the new version further.
#[test]
fn only_first_attempts_without_a_key_go_to_canary_targets() {
    let mut split = split(Some(Phase::Canary));
    let canaries = split.groups().values().filter(|group| **group == Group::Canary).count();
    assert_eq!(canaries, 2);
    let mut exposed = 0;
    for _ in 0..1_000 {
        exposed += usize::from(split.choose(NOW, true, false) == Choice::Canary);
        assert_eq!(split.choose(NOW, false, false), Choice::Old);
        assert_eq!(split.choose(NOW, true, true), Choice::Old);
    }
    assert!((70..=170).contains(&exposed), "{exposed}");
}

#[test]
fn a_rolled_back_version_gets_no_calls_even_if_there_is_no_other() {
    let mut split = split(Some(Phase::RolledBack));
    assert_eq!(split.choose(NOW, true, false), Choice::Old);
    assert!(!split.permits(&vm("c")) && split.permits(&vm("a")));
    let target = vm("c");
    let targets = [Target { vm: &target, version: Some("v2"), order: Some(7) }];
    split.assign(NOW, Some(&rollout(Phase::RolledBack)), &targets, false, 0.0);
    assert_eq!(split.choose(NOW, true, false), Choice::Old);
}

#[test]
fn a_completed_order_ends_some_time_after_its_period() {
    let mut split = split(Some(Phase::Completed));
    assert_eq!(split.choose(NOW, true, false), Choice::New);
    assert_eq!(split.choose(NOW + Duration::from_secs(60), true, false), Choice::All);
}
