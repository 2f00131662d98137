//! Responses to callers for which no target's response can be passed on.

use std::time::Duration;

use http::{HeaderMap, HeaderValue, Response, StatusCode};
use medlarpoint_platform::call;
use medlarpoint_routing::{CallResult, FailurePoint, Outcome};

use crate::body::Body;
use crate::header;

/// Returns the response to a call for which no target's response can be passed on.
/// `fractional` selects a retry delay in fractions of a second.
pub(crate) fn error_response(result: CallResult, fractional: bool) -> Response<Body> {
    let (status, outcome, point, retry_after) = match result {
        CallResult::NotRun { point, retry_after } => {
            (StatusCode::SERVICE_UNAVAILABLE, Outcome::NotRun, point, Some(retry_after))
        }
        CallResult::Ran | CallResult::Response(_) => {
            (StatusCode::BAD_GATEWAY, Outcome::Ran, FailurePoint::HalfAnswer, None)
        }
        CallResult::Unknown(FailurePoint::Deadline) => {
            (StatusCode::GATEWAY_TIMEOUT, Outcome::Unknown, FailurePoint::Deadline, None)
        }
        CallResult::Unknown(point) => (StatusCode::BAD_GATEWAY, Outcome::Unknown, point, None),
    };
    let text = format!("{outcome} at {point}: {}\n", point.reason());
    let mut response = Response::new(Body::full(text.into()));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    header::set(headers, header::OUTCOME, outcome.into());
    header::set(headers, header::POINT, point.into());
    if let Some(after) = retry_after {
        header::set(headers, header::RETRY_AFTER_MS, &after.as_millis().to_string());
        set_retry_after(headers, after, fractional);
    }
    response
}

/// Returns the id that a caller gave a call, for log lines; `-` if there is none.
pub(crate) fn call_id(id: Option<&HeaderValue>) -> String {
    id.and_then(|id| id.to_str().ok()).unwrap_or("-").to_owned()
}

/// Sets the `Retry-After` header, in fractions of a second or, unless
/// `fractional`, rounded up to full seconds, as RFC 9110 defines it.
pub(crate) fn set_retry_after(headers: &mut HeaderMap, after: Duration, fractional: bool) {
    if fractional {
        call::set_retry_after(headers, after);
        return;
    }
    let seconds = after.as_millis().div_ceil(1_000).max(1).to_string();
    header::set(headers, http::header::RETRY_AFTER, &seconds);
}
