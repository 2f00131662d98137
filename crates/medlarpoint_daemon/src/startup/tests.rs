//! Tests of [`super`].

use medlarpoint_model::Version;

use super::{Outcome, may_serve};
use crate::settings::Source;

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
