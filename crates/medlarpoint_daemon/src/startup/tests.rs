//! Tests of [`super`].

use std::time::Duration;

use medlarpoint_model::Version;

use super::{Outcome, consistency, is_recent, may_serve, store_retry_interval};
use crate::settings::Source;
use medlarpoint_store::Consistency;

#[test]
fn peers_without_a_version_are_not_sufficient() {
    assert!(!may_serve(Source::Commits, Outcome::Peers, Version::ZERO));
    assert!(may_serve(Source::Commits, Outcome::Peers, Version(1)));
}

#[test]
fn a_reachable_store_without_a_version_is_sufficient_for_the_first_commit() {
    assert!(may_serve(Source::Commits, Outcome::StoreOnly, Version::ZERO));
    assert!(!may_serve(Source::Commits, Outcome::Unreachable, Version::ZERO));
}

#[test]
fn callers_are_not_served_before_the_operator_publishes_a_version() {
    for outcome in [Outcome::Unreachable, Outcome::StoreOnly, Outcome::Peers] {
        assert!(!may_serve(Source::Operator, outcome, Version::ZERO));
        assert!(may_serve(Source::Operator, outcome, Version(1)));
    }
}

/// A fleet that starts before the operator has published a version.
#[test]
fn daemons_that_wait_for_a_version_query_the_store_at_a_limited_rate() {
    assert_eq!(store_retry_interval(15), Duration::from_secs(2));
    for members in [294, 1_100] {
        let rate = members as f64 / store_retry_interval(members).as_secs_f64();
        assert!(rate < 30.0, "{members} daemons make {rate} queries a second");
    }
}

/// All daemons of a fleet start at the same time, before there is a version.
#[test]
fn a_daemon_that_finds_peers_in_its_second_round_does_not_read_the_version_again() {
    let first = Duration::from_secs(1);
    assert_eq!(consistency(None), Consistency::MaybeStale);
    assert!(!is_recent(None, first));
    assert_eq!(consistency(Some(first)), Consistency::Latest);
    assert!(is_recent(Some(first), first + Duration::from_millis(250)));
    assert!(!is_recent(Some(first), first + Duration::from_secs(2)));
}
