//! Interprets the responses of inbound proxies to attempts.

use http::{HeaderMap, HeaderValue, Response, StatusCode};
use http_body::Body as _;
use medlarpoint_routing::{AttemptResult, Claim, FailurePoint, Outcome, ResponseInfo};

use crate::body::Body;
use crate::header;

/// Returns whether the result of an attempt counts as a failure of the target itself.
pub(crate) fn counts_against_target(result: &AttemptResult) -> bool {
    match result {
        AttemptResult::Failure | AttemptResult::Ran => true,
        AttemptResult::NotRun { point, .. } => *point == FailurePoint::TargetShed,
        AttemptResult::Unknown(point) => {
            matches!(
                point,
                FailurePoint::TargetGarbled
                    | FailurePoint::TargetLost
                    | FailurePoint::TargetCrashed
                    | FailurePoint::HalfAnswer
            )
        }
        AttemptResult::Response | AttemptResult::ClaimedBy(_) => false,
    }
}

/// Returns the measurements that came with a response.
pub(crate) fn response_info(response: &Response<Body>) -> ResponseInfo {
    let headers = response.headers();
    ResponseInfo {
        load: header::load(headers),
        service_time: header::millis(headers, &header::TOOK_MS),
        body_bytes: response.body().size_hint().exact(),
        failed: false,
    }
}

/// Returns the result of an attempt from the response of the inbound proxy. A
/// response without an outcome leaves open whether the call ran.
pub(crate) fn classify(status: StatusCode, headers: &HeaderMap) -> AttemptResult {
    let outcome = header::parse(headers, &header::OUTCOME).unwrap_or(Outcome::Unknown);
    let point: Option<FailurePoint> = headers.get(&header::POINT).and_then(parse_point);
    match outcome {
        Outcome::NotRun => AttemptResult::NotRun {
            point: point.unwrap_or(FailurePoint::Refused),
            retry_after: header::millis(headers, &header::RETRY_AFTER_MS).unwrap_or_default(),
        },
        Outcome::Ran if point.is_some() => AttemptResult::Ran,
        Outcome::Ran if status.is_server_error() => AttemptResult::Failure,
        Outcome::Ran => AttemptResult::Response,
        Outcome::Unknown => {
            let vm = header::parse(headers, &header::CLAIM_VM);
            let boot = header::parse(headers, &header::CLAIM_BOOT);
            match (vm, boot) {
                (Some(vm), Some(boot)) => AttemptResult::ClaimedBy(Claim { vm, boot }),
                _ => AttemptResult::Unknown(point.unwrap_or(FailurePoint::Sent)),
            }
        }
    }
}

fn parse_point(value: &HeaderValue) -> Option<FailurePoint> {
    value.to_str().ok()?.parse().ok()
}
