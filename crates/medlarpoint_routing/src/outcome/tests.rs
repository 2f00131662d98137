//! Tests of outcomes and retry rules.

use strum::IntoEnumIterator;

use super::{FailurePoint, Outcome, Retry};

#[test]
fn only_attempts_that_did_not_run_are_retried_without_a_query() {
    for point in FailurePoint::iter() {
        if point.retry() == Retry::Allowed {
            assert_eq!(point.outcome(), Outcome::NotRun, "{point}");
        }
    }
}
