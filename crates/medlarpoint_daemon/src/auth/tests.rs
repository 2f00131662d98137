//! Tests of [`super`].

use std::net::{IpAddr, Ipv4Addr};

use http::{HeaderMap, HeaderValue};

use super::{Rejected, check_write};

const TOKEN: &str = "a token of enough bytes";
const LOCAL: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);
const REMOTE: IpAddr = IpAddr::V4(Ipv4Addr::new(10, 0, 0, 1));

fn authorization(text: &str) -> HeaderMap {
    let value = HeaderValue::from_str(text).expect("a header");
    [(http::header::AUTHORIZATION, value)].into_iter().collect()
}

#[test]
fn without_a_configured_token_only_this_machine_may_write() {
    assert_eq!(check_write(None, LOCAL, &HeaderMap::new()), Ok(()));
    assert_eq!(check_write(None, REMOTE, &HeaderMap::new()), Err(Rejected::Remote));
}

#[test]
fn a_configured_token_is_required_of_every_sender() {
    let good = authorization(&format!("Bearer {TOKEN}"));
    for sender in [LOCAL, REMOTE] {
        assert_eq!(check_write(Some(TOKEN), sender, &good), Ok(()));
        assert_eq!(check_write(Some(TOKEN), sender, &HeaderMap::new()), Err(Rejected::Token));
    }
}

#[test]
fn a_similar_token_or_another_scheme_is_rejected() {
    let wrong = ["Bearer ", "Bearer a token of enough byte", "Bearer a token of enough bytes!"];
    for text in wrong.into_iter().map(str::to_owned).chain([format!("Basic {TOKEN}")]) {
        assert_eq!(
            check_write(Some(TOKEN), LOCAL, &authorization(&text)),
            Err(Rejected::Token),
            "{text}"
        );
    }
}
