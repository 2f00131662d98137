//! Tests of [`super`]: regressions for faults found by fuzzing.

use std::net::SocketAddr;
use std::time::Duration;

use medlarpoint_model::Vm;
use medlarpoint_wire::{Body, BootId, Incarnation, Record, Status};

use super::{Action, Detector, Event};
use crate::Options;

const NOW: Duration = Duration::from_secs(100);

fn record(name: &str, data_centre: &str, port: u16) -> Record {
    let address = SocketAddr::from(([127, 0, 0, 1], port));
    Record {
        vm: Vm(name.parse().unwrap()),
        data_centre: data_centre.parse().unwrap(),
        region: "r".parse().unwrap(),
        peer: address,
        inbound: address,
        boot: BootId(1),
        incarnation: Detector::first_incarnation(BootId(1)),
        status: Status::Alive,
        target: None,
        store_latency: None,
    }
}

fn tick_between(detector: &mut Detector, from_ms: u64, to_ms: u64) -> Vec<Action> {
    let times = (from_ms..to_ms).step_by(100).map(Duration::from_millis);
    times.flat_map(|now| detector.tick(now)).collect()
}

#[test]
fn a_data_centre_that_fails_completely_is_detected_from_another() {
    let mut detector = Detector::new(Options::default(), record("a", "one", 1), Duration::ZERO, 1);
    let other = record("b", "two", 2);
    detector.merge_records(Duration::ZERO, std::slice::from_ref(&other));
    tick_between(&mut detector, 0, 30_000);
    let status = detector.table().get(&other.vm).map(|member| member.record.status);
    assert_eq!(status, Some(Status::Dead));
}

#[test]
fn a_refutation_is_sent_to_members_considered_dead() {
    let mut detector = Detector::new(Options::default(), record("a", "one", 1), Duration::ZERO, 1);
    let dead = Record { status: Status::Dead, ..record("b", "one", 2) };
    detector.merge_records(Duration::ZERO, &[record("b", "one", 2), dead.clone()]);
    let false_record = Record { status: Status::Dead, ..record("a", "one", 1) };
    detector.merge_records(Duration::ZERO, &[false_record]);
    let actions = detector.tick(Duration::from_millis(100));
    let sent = actions.iter().any(|action| match action {
        Action::Send { to, body: Body::Probe { gossip, .. } } => {
            let has_local_record =
                gossip.records.iter().any(|r| r.vm == detector.local_record().vm);
            *to == dead.peer && has_local_record
        }
        _ => false,
    });
    assert!(sent, "{actions:?}");
    assert_eq!(detector.local_record().status, Status::Alive);
}

#[test]
fn a_member_that_left_is_sent_the_local_record_in_case_it_has_returned() {
    let mut detector = Detector::new(Options::default(), record("a", "one", 1), NOW, 1);
    detector.merge_records(NOW, &[record("b", "one", 2)]);
    let left = Record { status: Status::Left, ..record("b", "one", 2) };
    detector.merge_records(NOW, &[left]);
    let mut sent = 0;
    for tick in 1..=50 {
        let now = NOW + Duration::from_millis(100) * tick;
        let has_local_record = |body: &Body| match body {
            Body::Probe { gossip, .. } => gossip.records.iter().any(|r| r.vm.as_str() == "a"),
            _ => false,
        };
        let to_b = |action: &&Action| match action {
            Action::Send { to, body } => to.port() == 2 && has_local_record(body),
            Action::Sync { .. } => false,
        };
        sent += detector.tick(now).iter().filter(to_b).count();
    }
    assert!((3..=6).contains(&sent), "{sent}");
}

/// Guards against a record that no later one can replace, and whose refutation overflows.
#[test]
fn a_record_with_an_impossible_incarnation_is_ignored() {
    let mut detector = Detector::new(Options::default(), record("a", "one", 1), Duration::ZERO, 1);
    detector.merge_records(Duration::ZERO, &[record("b", "one", 2)]);
    detector.take_events();
    for name in ["a", "b", "c"] {
        let impossible = Record {
            incarnation: Incarnation(u64::MAX),
            status: Status::Dead,
            ..record(name, "one", 3)
        };
        detector.merge_records(Duration::ZERO, &[impossible]);
        let ignored = Event::RecordIgnored(Vm(name.parse().unwrap()));
        assert_eq!(detector.take_events(), [ignored]);
    }
    assert_eq!(detector.table().live().count(), 2);
    assert_eq!(detector.local_record().incarnation, Detector::first_incarnation(BootId(1)));
}
