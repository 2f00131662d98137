//! Tests of how calls spread over targets under different kinds of load.

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

fn route() -> Name {
    "k".parse().unwrap()
}

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn picker(targets: &[(&str, Locality)]) -> Picker {
    let mut picker = Picker::new(Strategy::ExpectedWait, NetworkCosts::default(), 1);
    let endpoint = |(name, locality): &(&str, Locality)| {
        let address = SocketAddr::from(([127, 0, 0, 1], 1));
        let destination = Destination { vm: vm(name), boot: 1, address };
        Endpoint { destination, locality: *locality, slots: 10 }
    };
    picker.update(targets.iter().map(endpoint).collect());
    picker
}

fn load(running: u32, queued: u32) -> Load {
    Load { running, queued, slots: 10, pace_percent: 100, link_ms: 0, receive_ms: 0 }
}

fn respond(picker: &mut Picker, name: &str, response: ResponseInfo) {
    let attempt = AttemptId(u128::MAX);
    picker.on_sent(NOW, &vm(name), attempt, &route());
    picker.on_response(NOW, &vm(name), attempt, &route(), &response);
}

/// Sends calls and returns the number sent to each target.
fn distribute(picker: &mut Picker, names: &[&str], calls: u128, body_bytes: usize) -> Vec<usize> {
    let mut counts = vec![0; names.len()];
    for attempt in 0..calls {
        let call = CallInfo { route: &route(), body_bytes };
        let destination = picker.pick(NOW, &call, &[], &[]).unwrap();
        picker.on_sent(NOW, &destination.vm, AttemptId(attempt), &route());
        let index = names.iter().position(|name| *name == destination.vm.as_str()).unwrap();
        counts[index] += 1;
    }
    counts
}

#[test]
fn calls_fill_the_fast_target_before_the_slow_one() {
    let names = ["fast", "slow"];
    let mut picker = picker(&[("fast", Locality::Near), ("slow", Locality::Near)]);
    let response = |service_time| ResponseInfo {
        load: Some(load(0, 0)),
        service_time: Some(service_time),
        ..ResponseInfo::default()
    };
    respond(&mut picker, "fast", response(ms(100)));
    respond(&mut picker, "slow", response(ms(300)));
    assert_eq!(distribute(&mut picker, &names, 8, 0), [8, 0]);
    let overflow = distribute(&mut picker, &names, 40, 0);
    assert!(overflow[1] > 4 && overflow[0] > overflow[1], "{overflow:?}");
}

#[test]
fn a_free_remote_target_is_preferred_to_a_queue_at_a_near_one() {
    let mut picker = picker(&[("near", Locality::Near), ("far", Locality::Remote)]);
    let service_time = Some(ms(100));
    respond(
        &mut picker,
        "near",
        ResponseInfo { load: Some(load(5, 0)), service_time, ..ResponseInfo::default() },
    );
    respond(
        &mut picker,
        "far",
        ResponseInfo { load: Some(load(0, 0)), service_time, ..ResponseInfo::default() },
    );
    assert_eq!(distribute(&mut picker, &["near", "far"], 3, 1_000), [3, 0]);
    respond(
        &mut picker,
        "near",
        ResponseInfo { load: Some(load(10, 60)), service_time, ..ResponseInfo::default() },
    );
    assert_eq!(distribute(&mut picker, &["near", "far"], 3, 1_000), [0, 3]);
}

#[test]
fn calls_with_large_responses_stay_near() {
    let mut picker = picker(&[("near", Locality::Near), ("far", Locality::Remote)]);
    let service_time = Some(ms(100));
    let body_bytes = Some(90_000);
    respond(
        &mut picker,
        "near",
        ResponseInfo {
            load: Some(load(10, 30)),
            service_time,
            body_bytes,
            ..ResponseInfo::default()
        },
    );
    respond(
        &mut picker,
        "far",
        ResponseInfo {
            load: Some(load(0, 0)),
            service_time,
            body_bytes,
            ..ResponseInfo::default()
        },
    );
    assert_eq!(distribute(&mut picker, &["near", "far"], 3, 0), [3, 0]);
}

#[test]
fn a_target_that_fails_some_of_its_calls_gets_few() {
    let names = ["healthy", "failing"];
    let mut picker = picker(&[("healthy", Locality::Near), ("failing", Locality::Near)]);
    for _ in 0..6 {
        let response = ResponseInfo {
            load: Some(load(0, 0)),
            service_time: Some(ms(100)),
            ..ResponseInfo::default()
        };
        respond(&mut picker, "healthy", response);
        respond(
            &mut picker,
            "failing",
            ResponseInfo { failed: true, service_time: Some(ms(5)), ..response },
        );
    }
    assert_eq!(distribute(&mut picker, &names, 8, 0), [8, 0]);
}

#[test]
fn a_call_queues_at_a_busy_near_target_if_the_network_costs_more() {
    let mut picker = picker(&[("near", Locality::Near), ("far", Locality::Remote)]);
    let service_time = Some(ms(100));
    let body_bytes = Some(90_000);
    respond(
        &mut picker,
        "near",
        ResponseInfo {
            load: Some(load(10, 2)),
            service_time,
            body_bytes,
            ..ResponseInfo::default()
        },
    );
    respond(
        &mut picker,
        "far",
        ResponseInfo {
            load: Some(load(0, 0)),
            service_time,
            body_bytes,
            ..ResponseInfo::default()
        },
    );
    let large = CallInfo { route: &route(), body_bytes: 0 };
    let selected = picker.pick(NOW, &large, &[], &[vm("near")]).unwrap();
    assert_eq!(selected.vm, vm("near"));
    let small_route: Name = "small".parse().unwrap();
    let small = CallInfo { route: &small_route, body_bytes: 0 };
    assert_eq!(picker.pick(NOW, &small, &[], &[vm("near")]).unwrap().vm, vm("far"));
}

/// During a release, targets leave one after the other, and membership tells some daemons
/// late.
#[test]
fn a_target_that_accepts_no_calls_is_not_selected_again_at_once() {
    let names = ["leaving", "a", "b"];
    let mut picker = picker(&names.map(|name| (name, Locality::Near)));
    let attempt = AttemptId(u128::MAX);
    picker.on_sent(NOW, &vm("leaving"), attempt, &route());
    let closed = Load { slots: 0, ..load(3, 0) };
    let response = ResponseInfo { load: Some(closed), ..ResponseInfo::default() };
    picker.on_rejected(NOW, &vm("leaving"), attempt, &response);
    assert_eq!(distribute(&mut picker, &names, 20, 0)[0], 0);
    assert_eq!(picker.ejected_until(NOW + ms(1_000), &vm("leaving")), None);
}

#[test]
fn uploads_avoid_a_target_whose_link_is_busy() {
    let names = ["busy", "free"];
    let mut picker = picker(&names.map(|name| (name, Locality::Near)));
    let service_time = Some(ms(100));
    for (name, receive_ms) in [("busy", 1_500), ("free", 0)] {
        let load = Some(Load { receive_ms, ..load(0, 0) });
        respond(&mut picker, name, ResponseInfo { load, service_time, ..ResponseInfo::default() });
    }
    assert_eq!(distribute(&mut picker, &names, 4, 60_000), [0, 4]);
    assert!(distribute(&mut picker, &names, 10, 300)[0] > 0);
}

/// Guards against a target that is compared with itself, or with others that are as cold.
#[test]
fn the_expected_time_is_the_median_of_the_other_warm_targets() {
    let names = ["a", "b", "c"];
    let mut picker = picker(&names.map(|name| (name, Locality::Near)));
    for (name, service_ms) in [("a", 100), ("b", 300), ("c", 200)] {
        let service_time = Some(ms(service_ms));
        respond(&mut picker, name, ResponseInfo { service_time, ..ResponseInfo::default() });
    }
    assert_eq!(picker.expected_time(NOW, &route(), &vm("a")), None);
    let later = NOW + ms(3_000);
    let expected = names.map(|name| picker.expected_time(later, &route(), &vm(name)));
    assert!(expected[0] > expected[1], "{expected:?}");
    assert_eq!(expected[1], expected[2]);
    assert_eq!(picker.expected_time(later, &"other".parse().unwrap(), &vm("a")), None);
}
