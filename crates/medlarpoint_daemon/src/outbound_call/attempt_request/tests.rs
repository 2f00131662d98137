//! Tests of [`super`].

use http::HeaderMap;

use super::forwarded;
use crate::header;

/// Guards against a caller that states how long its calls usually take, and so raises or
/// cuts the usable slots of a target for all callers.
#[test]
fn a_caller_cannot_set_the_expected_time_of_its_calls() {
    let mut headers = HeaderMap::new();
    header::set(&mut headers, header::EXPECTED_MS, "1");
    header::set(&mut headers, header::TENANT, "board");
    let forwarded = forwarded(&headers);
    assert!(!forwarded.contains_key(header::EXPECTED_MS));
    assert!(forwarded.contains_key(header::TENANT));
}
