//! Tests of [`super`].

use http::HeaderMap;

use super::is_for;
use crate::header;

#[test]
fn a_call_for_another_service_is_not_for_the_target_that_took_its_place() {
    let (orders, archive) = ("orders".parse().unwrap(), "archive".parse().unwrap());
    let mut headers = HeaderMap::new();
    assert!(is_for(&headers, &orders));
    header::set(&mut headers, header::SERVICE, "orders");
    assert!(is_for(&headers, &orders));
    assert!(!is_for(&headers, &archive));
}
