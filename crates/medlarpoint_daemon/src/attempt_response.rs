//! Interprets the responses of inbound proxies to attempts.

use http::{HeaderMap, HeaderValue, Response, StatusCode};
use http_body::Body as _;
use medlarpoint_routing::{Claim, Outcome, Point, Report, Verdict};

use crate::body::Body;
use crate::header;

/// Returns whether a verdict counts as a failure of the target itself.
pub(crate) fn counts_against_target(verdict: &Verdict) -> bool {
    match verdict {
        Verdict::Failure | Verdict::Ran => true,
        Verdict::NotRun { point, .. } => *point == Point::TargetShed,
        Verdict::Unknown(point) => {
            matches!(point, Point::TargetGarbled | Point::TargetLost | Point::HalfAnswer)
        }
        Verdict::Answer | Verdict::ClaimedBy(_) => false,
    }
}

/// Returns the measurements that came with a response.
pub(crate) fn response_info(response: &Response<Body>) -> Report {
    let headers = response.headers();
    Report {
        load: header::load(headers),
        took: header::millis(headers, &header::TOOK_MS),
        bytes: response.body().size_hint().exact(),
        failed: false,
    }
}

/// Returns the verdict of an inbound proxy on an attempt. A response without an
/// outcome leaves open whether the call ran.
pub(crate) fn classify(status: StatusCode, headers: &HeaderMap) -> Verdict {
    let outcome = header::parse(headers, &header::OUTCOME).unwrap_or(Outcome::Unknown);
    let point: Option<Point> = headers.get(&header::POINT).and_then(parse_point);
    match outcome {
        Outcome::NotRun => Verdict::NotRun {
            point: point.unwrap_or(Point::Refused),
            retry_after: header::millis(headers, &header::RETRY_AFTER_MS).unwrap_or_default(),
        },
        Outcome::Ran if point.is_some() => Verdict::Ran,
        Outcome::Ran if status.is_server_error() => Verdict::Failure,
        Outcome::Ran => Verdict::Answer,
        Outcome::Unknown => {
            let vm = header::parse(headers, &header::CLAIM_VM);
            let boot = header::parse(headers, &header::CLAIM_BOOT);
            match (vm, boot) {
                (Some(vm), Some(boot)) => Verdict::ClaimedBy(Claim { vm, boot }),
                _ => Verdict::Unknown(point.unwrap_or(Point::Sent)),
            }
        }
    }
}

fn parse_point(value: &HeaderValue) -> Option<Point> {
    value.to_str().ok()?.parse().ok()
}
