//! Tests of the delays before hedged attempts.

use std::time::Duration;

use medlarpoint_model::Name;

use super::{HedgeDelays, MAX_ROUTES, ROTATION_INTERVAL};

const NOW: Duration = Duration::from_secs(100);

fn route(name: &str) -> Name {
    name.parse().unwrap()
}

fn observe(hedge: &mut HedgeDelays, now: Duration, name: &str, count: u64, millis: u64) {
    for _ in 0..count {
        hedge.observe(now, &route(name), Duration::from_millis(millis));
    }
}

fn delay_ms(hedge: &HedgeDelays, name: &str) -> Option<u128> {
    hedge.delay(&route(name)).map(|delay| delay.as_millis())
}

#[test]
fn a_lookup_is_hedged_long_before_a_download_of_its_service() {
    let mut hedge = HedgeDelays::default();
    observe(&mut hedge, NOW, "lookup", 50, 60);
    observe(&mut hedge, NOW, "download", 500, 2_000);
    assert_eq!(delay_ms(&hedge, "lookup"), Some(60));
    assert!(delay_ms(&hedge, "download") >= Some(1_990));
}

#[test]
fn nothing_is_hedged_before_enough_observations() {
    let mut hedge = HedgeDelays::default();
    observe(&mut hedge, NOW, "lookup", 19, 60);
    assert_eq!(delay_ms(&hedge, "lookup"), None);
    observe(&mut hedge, NOW, "lookup", 1, 60);
    assert_eq!(delay_ms(&hedge, "lookup"), Some(60));
}

#[test]
fn old_latencies_are_dropped() {
    let mut hedge = HedgeDelays::default();
    observe(&mut hedge, NOW, "lookup", 50, 60);
    for rotation in 1..=2 {
        let later = NOW + (ROTATION_INTERVAL + Duration::from_secs(1)) * rotation;
        observe(&mut hedge, later, "lookup", 50, 400);
    }
    assert!(delay_ms(&hedge, "lookup") >= Some(398));
}

#[test]
fn the_number_of_routes_is_bounded() {
    let mut hedge = HedgeDelays::default();
    for index in 0..MAX_ROUTES * 2 {
        observe(&mut hedge, NOW, &format!("k{index}"), 20, 10);
    }
    assert_eq!(hedge.by_route.len(), MAX_ROUTES);
}
