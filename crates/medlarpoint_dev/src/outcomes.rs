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

| point | outcome | retry | why |
|---|---|---|---|
";

pub(crate) fn render() -> String {
    let mut text = HEAD.to_owned();
    for point in Point::iter() {
        let _ = writeln!(
            text,
            "| {point} | {} | {} | {} |",
            point.outcome(),
            point.retry(),
            point.reason(),
        );
    }
    text
}
