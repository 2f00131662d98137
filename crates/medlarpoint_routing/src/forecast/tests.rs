//! Tests of [`super`].

use std::time::Duration;

use medlarpoint_model::{Class, Name};

use super::{Forecast, Position};
use crate::link::Link;
use crate::service_times::ServiceTimes;
use crate::{AttemptId, Ticket};

const NOW: Duration = Duration::from_secs(100);
const SERVICE_TIME: Duration = Duration::from_millis(200);

fn name(text: &str) -> Name {
    text.parse().unwrap()
}

fn ticket(route: &str, useful_ms: u64) -> Ticket {
    Ticket {
        attempt: AttemptId(1),
        class: Class::Short,
        tenant: name("t"),
        in_workspace: false,
        weight: 1,
        rank: 1,
        route: name(route),
        body_bytes: 0,
        useful_until: Some(NOW + Duration::from_millis(useful_ms)),
        may_spill: false,
        suspect: false,
        expected: None,
        arrived: NOW,
        deadline: NOW + Duration::from_secs(5),
    }
}

/// A forecast for a service time of 200 ms, a link with a backlog of one second
/// and packs that take the link one second each.
fn with_forecast(test: impl FnOnce(Forecast<'_>)) {
    let mut service_times = ServiceTimes::default();
    let mut link = Link::for_responses(Some(0.8));
    for route in ["pack", "lookup"] {
        service_times.observe(&name(route), SERVICE_TIME);
    }
    link.observe(&name("pack"), 92_000);
    link.reserve(NOW, 92_000);
    test(Forecast { now: NOW, service_times: &service_times, link: &link });
}

#[test]
fn a_small_response_needs_its_service_time_with_a_margin() {
    with_forecast(|forecast| {
        assert!(forecast.is_in_time(&ticket("lookup", 300), Position::default()));
        assert!(!forecast.is_in_time(&ticket("lookup", 299), Position::default()));
        let behind = Position { slot_wait: Duration::from_millis(100), large_ahead: 7 };
        assert!(forecast.is_in_time(&ticket("lookup", 400), behind));
        assert!(!forecast.is_in_time(&ticket("lookup", 399), behind));
    });
}

#[test]
fn a_large_response_waits_for_the_link_and_for_those_ahead_of_it() {
    with_forecast(|forecast| {
        assert!(forecast.is_in_time(&ticket("pack", 2_000), Position::default()));
        assert!(!forecast.is_in_time(&ticket("pack", 1_999), Position::default()));
        let behind = Position { large_ahead: 1, ..Position::default() };
        assert!(!forecast.is_in_time(&ticket("pack", 2_999), behind));
    });
}

/// Guards against a slow target that keeps calls which its peers could serve in time,
/// because it takes its own service times for theirs.
#[test]
fn an_idle_target_is_as_quick_as_the_sender_says() {
    with_forecast(|forecast| {
        let late = ticket("lookup", 299);
        assert!(!forecast.is_in_time_on_idle_target(&late));
        let expected = Some(Duration::from_millis(100));
        assert!(forecast.is_in_time_on_idle_target(&Ticket { expected, ..late }));
    });
}

#[test]
fn the_link_of_an_idle_target_counts_as_free() {
    with_forecast(|forecast| {
        assert!(forecast.is_in_time_on_idle_target(&ticket("pack", 1_300)));
        assert!(!forecast.is_in_time_on_idle_target(&ticket("pack", 1_299)));
    });
}
