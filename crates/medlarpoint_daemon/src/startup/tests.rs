//! Tests of [`super`].

use medlarpoint_model::Version;

use super::{Found, is_enough};
use crate::settings::Source;

#[test]
fn peers_that_have_forgotten_the_version_are_not_enough() {
    assert!(!is_enough(Source::Commits, Found::Peers, Version::ZERO));
    assert!(is_enough(Source::Commits, Found::Peers, Version(1)));
}

#[test]
fn a_store_without_a_version_is_enough_for_the_first_commit() {
    assert!(is_enough(Source::Commits, Found::StoreOnly, Version::ZERO));
    assert!(!is_enough(Source::Commits, Found::Nothing, Version::ZERO));
}

#[test]
fn nobody_is_served_before_the_operator_has_published() {
    for found in [Found::Nothing, Found::StoreOnly, Found::Peers] {
        assert!(!is_enough(Source::Operator, found, Version::ZERO));
        assert!(is_enough(Source::Operator, found, Version(1)));
    }
}
