//! Tests of [`super`].

use http::HeaderMap;

use super::{matches_service, strip_proxy_headers};
use crate::header;

/// Guards against handing a call to the wrong service: a VM may get a target of
/// another service while a call for the previous one is in transit.
#[test]
fn an_attempt_matches_only_a_target_of_its_service() {
    let (orders, archive) = ("orders".parse().unwrap(), "archive".parse().unwrap());
    let mut headers = HeaderMap::new();
    assert!(matches_service(&headers, &orders));
    header::set(&mut headers, header::SERVICE, "orders");
    assert!(matches_service(&headers, &orders));
    assert!(!matches_service(&headers, &archive));
}

/// Guards against targets that see what proxies tell each other, and pass it on with calls
/// of their own.
#[test]
fn the_target_does_not_get_the_expected_time_of_a_call() {
    let mut headers = HeaderMap::new();
    header::set(&mut headers, header::EXPECTED_MS, "94");
    strip_proxy_headers(&mut headers);
    assert!(!headers.contains_key(header::EXPECTED_MS));
}
