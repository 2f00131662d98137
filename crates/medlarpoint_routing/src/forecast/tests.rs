//! Tests of [`super`].

use std::time::Duration;

use medlarpoint_model::{Class, Name};

use super::{Ahead, Forecast};
use crate::link::Link;
use crate::service::Service;
use crate::{AttemptId, Ticket};

const NOW: Duration = Duration::from_secs(100);
const WORK: Duration = Duration::from_millis(200);

fn kind(name: &str) -> Name {
    name.parse().unwrap()
}

fn ticket(name: &str, useful_ms: u64) -> Ticket {
    Ticket {
        attempt: AttemptId(1),
        class: Class::Short,
        tenant: kind("t"),
        weight: 1,
        rank: 1,
        route: kind(name),
        useful_until: Some(NOW + Duration::from_millis(useful_ms)),
        may_spill: false,
        arrived: NOW,
        deadline: NOW + Duration::from_secs(5),
    }
}

/// Work takes 200 ms; a pack takes a second on the link, which has another
/// second to go.
fn with_forecast(test: impl FnOnce(Forecast<'_>)) {
    let mut service = Service::default();
    let mut link = Link::new(Some(0.8));
    for name in ["pack", "lookup"] {
        service.observe(&kind(name), WORK);
    }
    link.observe(&kind("pack"), 92_000);
    link.reserve(NOW, 92_000);
    test(Forecast { now: NOW, service: &service, link: &link });
}

#[test]
fn a_short_answer_needs_its_work_with_some_margin() {
    with_forecast(|forecast| {
        assert!(forecast.is_in_time(&ticket("lookup", 300), Ahead::default()));
        assert!(!forecast.is_in_time(&ticket("lookup", 299), Ahead::default()));
        let behind = Ahead { slot: Duration::from_millis(100), large: 7 };
        assert!(forecast.is_in_time(&ticket("lookup", 400), behind));
        assert!(!forecast.is_in_time(&ticket("lookup", 399), behind));
    });
}

#[test]
fn a_large_answer_waits_for_the_link_and_those_before_it() {
    with_forecast(|forecast| {
        assert!(forecast.is_in_time(&ticket("pack", 2_000), Ahead::default()));
        assert!(!forecast.is_in_time(&ticket("pack", 1_999), Ahead::default()));
        let behind = Ahead { large: 1, ..Ahead::default() };
        assert!(!forecast.is_in_time(&ticket("pack", 2_999), behind));
    });
}

#[test]
fn elsewhere_the_link_may_be_free() {
    with_forecast(|forecast| {
        assert!(forecast.is_in_time_elsewhere(&ticket("pack", 1_300)));
        assert!(!forecast.is_in_time_elsewhere(&ticket("pack", 1_299)));
    });
}
