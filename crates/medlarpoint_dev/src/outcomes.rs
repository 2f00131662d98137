//! Renders the table of failure points and outcomes.

use std::fmt::Write as _;

use medlarpoint_routing::Point;
use strum::IntoEnumIterator;

const HEAD: &str = "# Outcomes

Rendered from `medlarpoint_routing::Point` by `medlarpoint_dev generate-all`.

A caller that gets no ordinary answer is told an outcome in `medlarpoint-outcome` and the point at
which the call failed in `medlarpoint-point`:

- `ran`: the target ran it; the answer, or the rest of it, is lost.
- `not-run`: no byte of it was handed to a target, and none will be. `Retry-After` and
  `medlarpoint-retry-after-ms` say when to come back.
- `unknown`: it may have run, be running, or never have arrived. With an idempotency key it can be
  sent again; the key runs at most once.

Retries: `allowed` means that nothing ran, so any route may be sent again, within the retry budget.
`if-repeatable` is for routes declared `repeatable`. `after-query` asks the inbound proxy on a new
connection first; an attempt that it never saw is fenced there and then counts as not run.
`never` ends the call.

| point | outcome | retry | why | test in `medlarpoint_routing` |
|---|---|---|---|---|
";

/// Returns the test that shows a row.
fn test(point: Point) -> &'static str {
    match point {
        Point::NoTarget => "call::tests::no_target_is_not_run",
        Point::Connect => "call::tests::a_refused_connection_is_tried_elsewhere",
        Point::Sent => "call::tests::a_broken_connection_is_asked_after",
        Point::Silent => "call::tests::a_restarted_proxy_leaves_the_outcome_unknown",
        Point::Busy => "call::tests::a_busy_target_spills_to_others_and_then_the_call_waits",
        Point::Fenced => "call::tests::an_attempt_never_seen_is_sent_again",
        Point::TargetShed => {
            "call::tests::a_target_that_sheds_is_left_for_another_within_the_budget"
        }
        Point::TargetFailed => "call::tests::a_failure_is_told_if_nothing_better_comes",
        Point::TargetGarbled => "call::tests::a_garbled_answer_is_never_passed_on",
        Point::HalfAnswer => "call::tests::a_lost_answer_ends_a_call_that_may_not_be_repeated",
        Point::Refused => "call::tests::a_refusal_is_tried_elsewhere",
        Point::Restarted => "intake::tests::an_attempt_for_an_earlier_run_is_not_run",
        Point::TargetConnect => "intake::tests::a_target_that_refuses_is_not_run",
        Point::TargetLost | Point::CallerBody => "intake::tests::a_lost_target_is_unknown",
        Point::ClaimFailed => "intake::tests::without_a_claim_nothing_is_handed_over",
        Point::ClaimOrphaned => "call::tests::an_orphaned_claim_is_unknown",
        Point::Deadline => "call::tests::the_deadline_answers_at_once",
    }
}

pub(crate) fn render() -> String {
    let mut text = HEAD.to_owned();
    for point in Point::iter() {
        let _ = writeln!(
            text,
            "| {point} | {} | {} | {} | `{}` |",
            point.outcome(),
            point.retry(),
            point.reason(),
            test(point),
        );
    }
    text
}
