//! Tests of [`super`].

use std::time::Duration;

use medlarpoint_model::Name;

use super::Link;

const NOW: Duration = Duration::from_secs(100);

fn route(name: &str) -> Name {
    name.parse().unwrap()
}

/// A link of which responses may use 92 kilobytes per second.
fn narrow() -> Link {
    Link::for_responses(Some(0.8))
}

#[test]
fn large_responses_are_sent_one_after_the_other() {
    let mut link = narrow();
    assert_eq!(link.reserve(NOW, 92_000), NOW);
    assert_eq!(link.reserve(NOW, 46_000), NOW + Duration::from_secs(1));
    let later = NOW + Duration::from_millis(1_500);
    assert_eq!(link.reserve(later, 1), later);
}

#[test]
fn reserved_bytes_that_are_not_sent_are_released() {
    let mut link = narrow();
    link.reserve(NOW, 92_000);
    link.release(46_000);
    assert_eq!(link.reserve(NOW, 1), NOW + Duration::from_millis(500));
}

#[test]
fn calls_with_large_responses_start_only_while_the_backlog_is_short() {
    let mut link = narrow();
    link.observe(&route("pack"), 23_000);
    for running in 0..3 {
        assert!(!link.blocks(NOW, &route("pack")), "{running} running");
        link.call_started(&route("pack"));
    }
    assert!(link.blocks(NOW, &route("pack")));
    link.call_ended(&route("pack"));
    assert!(!link.blocks(NOW, &route("pack")));
}

#[test]
fn small_responses_never_wait_for_the_link() {
    let mut link = narrow();
    link.observe(&route("lookup"), 1_000);
    link.reserve(NOW, 1_000_000);
    assert!(!link.blocks(NOW, &route("lookup")));
    assert_eq!(link.expected_transfer(&route("lookup")), Duration::ZERO);
}

#[test]
fn no_response_waits_where_the_link_is_no_bottleneck() {
    let mut link = Link::for_responses(None);
    link.observe(&route("pack"), 1_000_000);
    for _ in 0..100 {
        link.call_started(&route("pack"));
        assert_eq!(link.reserve(NOW, 1_000_000), NOW);
    }
    assert!(!link.blocks(NOW, &route("pack")));
}

#[test]
fn a_route_with_running_calls_is_not_evicted() {
    let mut link = narrow();
    link.observe(&route("pack"), 92_000);
    link.call_started(&route("pack"));
    for other in 0..300 {
        link.observe(&route(&format!("k{other}")), 10);
    }
    assert_eq!(link.backlog(NOW), Duration::from_secs(1));
}
