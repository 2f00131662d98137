//! Tests of [`super`].

use strum::IntoEnumIterator;

use super::{FailurePoint, Outcome, Retry};

#[test]
fn only_what_did_not_run_is_retried_without_asking() {
    for point in FailurePoint::iter() {
        if point.retry() == Retry::Allowed {
            assert_eq!(point.outcome(), Outcome::NotRun, "{point}");
        }
    }
}
