//! Tests of [`super`]: where work goes under each kind of load.

use std::net::SocketAddr;
use std::time::Duration;

use medlarpoint_model::{Name, Vm};

use super::{
    CallInfo, Destination, Endpoint, Locality, NetworkCosts, Picker, ResponseInfo, Strategy,
};
use crate::{AttemptId, Load};

const NOW: Duration = Duration::from_secs(100);

fn vm(name: &str) -> Vm {
    name.parse().unwrap()
}

fn kind() -> Name {
    "k".parse().unwrap()
}

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn picker(targets: &[(&str, Locality)]) -> Picker {
    let mut picker = Picker::new(Strategy::ExpectedWait, NetworkCosts::default(), 1);
    let endpoint = |(name, locality): &(&str, Locality)| {
        let address = SocketAddr::from(([127, 0, 0, 1], 1));
        let choice = Destination { vm: vm(name), boot: 1, address };
        Endpoint { destination: choice, locality: *locality, slots: 10 }
    };
    picker.update(targets.iter().map(endpoint).collect());
    picker
}

fn load(running: u32, queued: u32) -> Load {
    Load { running, queued, slots: 10, pace_percent: 100, link_ms: 0 }
}

fn answer(picker: &mut Picker, name: &str, report: ResponseInfo) {
    let attempt = AttemptId(u128::MAX);
    picker.on_sent(NOW, &vm(name), attempt, &kind());
    picker.on_response(NOW, &vm(name), attempt, &kind(), &report);
}

/// Sends calls and returns how many each target got.
fn spread(picker: &mut Picker, names: &[&str], calls: u128, bytes: usize) -> Vec<usize> {
    let mut counts = vec![0; names.len()];
    for attempt in 0..calls {
        let ask = CallInfo { route: &kind(), body_bytes: bytes };
        let choice = picker.pick(NOW, &ask, &[], &[]).unwrap();
        picker.on_sent(NOW, &choice.vm, AttemptId(attempt), &kind());
        let place = names.iter().position(|name| *name == choice.vm.as_str()).unwrap();
        counts[place] += 1;
    }
    counts
}

#[test]
fn work_fills_fast_targets_first_and_then_the_slow_one() {
    let names = ["fast", "slow"];
    let mut picker = picker(&[("fast", Locality::Near), ("slow", Locality::Near)]);
    let took = |took| ResponseInfo {
        load: Some(load(0, 0)),
        service_time: Some(took),
        ..ResponseInfo::default()
    };
    answer(&mut picker, "fast", took(ms(100)));
    answer(&mut picker, "slow", took(ms(300)));
    assert_eq!(spread(&mut picker, &names, 8, 0), [8, 0]);
    let rest = spread(&mut picker, &names, 40, 0);
    assert!(rest[1] > 4 && rest[0] > rest[1], "{rest:?}");
}

#[test]
fn a_queue_near_by_is_left_for_a_free_target_far_away() {
    let mut picker = picker(&[("near", Locality::Near), ("far", Locality::Remote)]);
    let took = Some(ms(100));
    answer(
        &mut picker,
        "near",
        ResponseInfo { load: Some(load(5, 0)), service_time: took, ..ResponseInfo::default() },
    );
    answer(
        &mut picker,
        "far",
        ResponseInfo { load: Some(load(0, 0)), service_time: took, ..ResponseInfo::default() },
    );
    assert_eq!(spread(&mut picker, &["near", "far"], 3, 1_000), [3, 0]);
    answer(
        &mut picker,
        "near",
        ResponseInfo { load: Some(load(10, 60)), service_time: took, ..ResponseInfo::default() },
    );
    assert_eq!(spread(&mut picker, &["near", "far"], 3, 1_000), [0, 3]);
}

#[test]
fn large_answers_stay_near() {
    let mut picker = picker(&[("near", Locality::Near), ("far", Locality::Remote)]);
    let took = Some(ms(100));
    let bytes = Some(90_000);
    answer(
        &mut picker,
        "near",
        ResponseInfo {
            load: Some(load(10, 30)),
            service_time: took,
            body_bytes: bytes,
            ..ResponseInfo::default()
        },
    );
    answer(
        &mut picker,
        "far",
        ResponseInfo {
            load: Some(load(0, 0)),
            service_time: took,
            body_bytes: bytes,
            ..ResponseInfo::default()
        },
    );
    assert_eq!(spread(&mut picker, &["near", "far"], 3, 0), [3, 0]);
}

#[test]
fn a_target_that_fails_part_of_its_calls_gets_few() {
    let names = ["good", "grey"];
    let mut picker = picker(&[("good", Locality::Near), ("grey", Locality::Near)]);
    for _ in 0..6 {
        let report = ResponseInfo {
            load: Some(load(0, 0)),
            service_time: Some(ms(100)),
            ..ResponseInfo::default()
        };
        answer(&mut picker, "good", report);
        answer(
            &mut picker,
            "grey",
            ResponseInfo { failed: true, service_time: Some(ms(5)), ..report },
        );
    }
    assert_eq!(spread(&mut picker, &names, 8, 0), [8, 0]);
}

#[test]
fn a_call_queues_at_a_busy_target_rather_than_pay_for_the_way() {
    let mut picker = picker(&[("near", Locality::Near), ("far", Locality::Remote)]);
    let took = Some(ms(100));
    let bytes = Some(90_000);
    answer(
        &mut picker,
        "near",
        ResponseInfo {
            load: Some(load(10, 2)),
            service_time: took,
            body_bytes: bytes,
            ..ResponseInfo::default()
        },
    );
    answer(
        &mut picker,
        "far",
        ResponseInfo {
            load: Some(load(0, 0)),
            service_time: took,
            body_bytes: bytes,
            ..ResponseInfo::default()
        },
    );
    let large = CallInfo { route: &kind(), body_bytes: 0 };
    let chosen = picker.pick(NOW, &large, &[], &[vm("near")]).unwrap();
    assert_eq!(chosen.vm, vm("near"));
    let other: Name = "small".parse().unwrap();
    let small = CallInfo { route: &other, body_bytes: 0 };
    assert_eq!(picker.pick(NOW, &small, &[], &[vm("near")]).unwrap().vm, vm("far"));
}
