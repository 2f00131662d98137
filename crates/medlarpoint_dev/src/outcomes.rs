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
the inbound proxy on a new connection; an attempt that the proxy never saw is fenced there and then
counts as not run. `never` ends the call.

| point | outcome | retry | why | test in `medlarpoint_routing` |
|---|---|---|---|---|
";

/// Returns the test of `medlarpoint_routing` that covers a failure point.
fn test_name(point: FailurePoint) -> &'static str {
    match point {
        FailurePoint::NoTarget => "call::tests::no_target_is_not_run",
        FailurePoint::Connect => "call::tests::a_refused_connection_is_tried_elsewhere",
        FailurePoint::Sent => "call::tests::a_broken_connection_is_asked_after",
        FailurePoint::Silent => "call::tests::a_restarted_proxy_leaves_the_outcome_unknown",
        FailurePoint::Busy => "call::tests::a_busy_target_spills_to_others_and_then_the_call_waits",
        FailurePoint::Fenced => "call::tests::an_attempt_never_seen_is_sent_again",
        FailurePoint::TargetShed => {
            "call::tests::a_target_that_sheds_is_left_for_another_within_the_budget"
        }
        FailurePoint::TargetFailed => "call::tests::a_failure_is_told_if_nothing_better_comes",
        FailurePoint::TargetGarbled => "call::tests::a_garbled_answer_is_never_passed_on",
        FailurePoint::HalfAnswer => {
            "call::tests::a_lost_answer_ends_a_call_that_may_not_be_repeated"
        }
        FailurePoint::Refused => "call::tests::a_refusal_is_tried_elsewhere",
        FailurePoint::Restarted => "intake::tests::an_attempt_for_an_earlier_run_is_not_run",
        FailurePoint::TargetConnect => "intake::tests::a_target_that_refuses_is_not_run",
        FailurePoint::TargetLost | FailurePoint::CallerBody => {
            "intake::tests::a_lost_target_is_unknown"
        }
        FailurePoint::ClaimFailed => "intake::tests::without_a_claim_nothing_is_handed_over",
        FailurePoint::ClaimOrphaned => "call::tests::an_orphaned_claim_is_unknown",
        FailurePoint::Deadline => "call::tests::the_deadline_answers_at_once",
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
