//! Renders the table of failure points with their outcomes and retry rules.

use std::fmt::Write as _;

use medlarpoint_routing::FailurePoint;
use strum::IntoEnumIterator;

const HEADER: &str = "# Outcomes

Rendered from `medlarpoint_routing::FailurePoint` by `medlarpoint_dev generate-all`.

If a call fails, the response to the caller has the outcome in the header `medlarpoint-outcome` and
the point of failure in `medlarpoint-point`:

- `ran`: the target ran the call; the response, or the rest of it, is lost.
- `not-run`: no byte of the call was handed to a target, and none will be. `Retry-After` and
  `medlarpoint-retry-after-ms` say when to send it again.
- `unknown`: the call may have run, be running, or never have arrived. With an idempotency key it
  can be sent again; a call with the same key runs at most once.

Retries: `allowed` means that nothing ran, so a call of any route may be retried within the retry
budget. `if-repeatable` allows a retry on routes declared `repeatable`. `after-query` first queries
the inbound proxy on a new connection; an attempt that never reached the proxy is fenced there and
then counts as not run. `never` ends the call.

| point | outcome | retry | why | test in `medlarpoint_routing` |
|---|---|---|---|---|
";

/// Returns the test of `medlarpoint_routing` that covers a failure point.
fn test_name(point: FailurePoint) -> &'static str {
    match point {
        FailurePoint::NoTarget => "call::tests::without_a_target_the_call_ends_as_not_run",
        FailurePoint::Connect => "call::tests::a_refused_connection_is_retried_at_another_target",
        FailurePoint::Sent => "call::tests::a_lost_connection_leads_to_a_query_on_a_new_one",
        FailurePoint::Silent => "call::tests::a_restarted_proxy_leaves_the_outcome_unknown",
        FailurePoint::Busy => "call::tests::a_call_is_queued_after_all_targets_were_busy",
        FailurePoint::Fenced => "call::tests::an_attempt_that_never_arrived_is_sent_again",
        FailurePoint::TargetShed => {
            "call::tests::a_call_shed_by_a_target_is_retried_at_another_within_the_budget"
        }
        FailurePoint::TargetFailed => {
            "call::tests::a_failure_response_is_returned_if_no_retry_succeeds"
        }
        FailurePoint::TargetGarbled => "call::tests::a_malformed_response_is_never_forwarded",
        FailurePoint::HalfAnswer => {
            "call::tests::a_lost_response_ends_a_call_that_is_not_repeatable"
        }
        FailurePoint::Refused => "call::tests::a_rejected_attempt_is_retried_at_another_target",
        FailurePoint::Restarted => "intake::tests::an_attempt_for_an_earlier_boot_is_not_run",
        FailurePoint::TargetConnect => {
            "intake::tests::an_attempt_is_not_run_if_its_target_refuses_the_connection"
        }
        FailurePoint::TargetLost | FailurePoint::CallerBody => {
            "intake::tests::the_outcome_is_unknown_if_the_connection_to_the_target_is_lost"
        }
        FailurePoint::TargetCrashed => {
            "call::tests::a_call_under_which_a_second_target_crashed_is_not_sent_to_a_third"
        }
        FailurePoint::CrashBackoff => {
            "call::tests::a_call_that_crashed_targets_before_is_rejected_at_once"
        }
        FailurePoint::ClaimFailed => {
            "intake::tests::an_attempt_whose_claim_fails_is_not_handed_over"
        }
        FailurePoint::ClaimOrphaned => "call::tests::an_orphaned_claim_leaves_the_outcome_unknown",
        FailurePoint::Deadline => "call::tests::a_call_ends_at_its_deadline",
    }
}

pub(crate) fn render() -> String {
    let mut text = HEADER.to_owned();
    for point in FailurePoint::iter() {
        let _ = writeln!(
            text,
            "| {point} | {} | {} | {} | `{}` |",
            point.outcome(),
            point.retry(),
            point.reason(),
            test_name(point),
        );
    }
    text
}
