//! Tests of [`super`].

use std::time::Duration;

use medlarpoint_model::Name;

use super::Link;

const NOW: Duration = Duration::from_secs(100);

fn kind(name: &str) -> Name {
    name.parse().unwrap()
}

/// A link that answers may use at 92 kilobytes a second.
fn narrow() -> Link {
    Link::new(Some(0.8))
}

#[test]
fn large_answers_are_sent_one_after_the_other() {
    let mut link = narrow();
    assert_eq!(link.reserve(NOW, 92_000), NOW);
    assert_eq!(link.reserve(NOW, 46_000), NOW + Duration::from_secs(1));
    let later = NOW + Duration::from_millis(1_500);
    assert_eq!(link.reserve(later, 1), later);
}

#[test]
fn what_is_not_sent_is_given_back() {
    let mut link = narrow();
    link.reserve(NOW, 92_000);
    link.release(46_000);
    assert_eq!(link.reserve(NOW, 1), NOW + Duration::from_millis(500));
}

#[test]
fn work_starts_only_while_the_link_is_free_soon() {
    let mut link = narrow();
    link.observe(&kind("pack"), 23_000);
    for running in 0..3 {
        assert!(!link.blocks(NOW, &kind("pack")), "{running} run");
        link.started(&kind("pack"));
    }
    assert!(link.blocks(NOW, &kind("pack")));
    link.ended(&kind("pack"));
    assert!(!link.blocks(NOW, &kind("pack")));
}

#[test]
fn small_answers_never_wait_for_the_link() {
    let mut link = narrow();
    link.observe(&kind("lookup"), 1_000);
    link.reserve(NOW, 1_000_000);
    assert!(!link.blocks(NOW, &kind("lookup")));
    assert_eq!(link.transfer(&kind("lookup")), Duration::ZERO);
}

#[test]
fn nothing_waits_where_the_link_is_no_bottleneck() {
    let mut link = Link::new(None);
    link.observe(&kind("pack"), 1_000_000);
    for _ in 0..100 {
        link.started(&kind("pack"));
        assert_eq!(link.reserve(NOW, 1_000_000), NOW);
    }
    assert!(!link.blocks(NOW, &kind("pack")));
}

#[test]
fn a_kind_with_running_work_is_not_forgotten() {
    let mut link = narrow();
    link.observe(&kind("pack"), 92_000);
    link.started(&kind("pack"));
    for other in 0..300 {
        link.observe(&kind(&format!("k{other}")), 10);
    }
    assert_eq!(link.wait(NOW), Duration::from_secs(1));
}
