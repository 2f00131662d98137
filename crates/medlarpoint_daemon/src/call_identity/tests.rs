//! Tests of [`super`].

use bytes::Bytes;
use http::Request;

use super::*;

fn parts(uri: &str, headers: &[(&'static str, &str)]) -> request::Parts {
    let mut request = Request::builder().uri(uri);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    request.body(()).unwrap().into_parts().0
}

const NO_BODY: BodyIdentity<'static> = BodyIdentity::Bytes(&[]);

#[test]
fn a_call_is_the_same_at_its_next_arrival() {
    let first = parts("/a?x=1", &[("host", "a.example"), ("x-request-id", "1")]);
    let later = [("host", "a.example"), ("x-request-id", "2"), ("medlarpoint-deadline-ms", "9")];
    let fingerprint = of_call(&first, NO_BODY);
    assert_eq!(of_call(&parts("/a?x=1", &later), NO_BODY), fingerprint);
    assert_eq!(of_call(&parts("http://a.example/a?x=1", &[]), NO_BODY), fingerprint);
}

#[test]
fn calls_of_other_callers_and_with_other_paths_differ() {
    let calls = [
        parts("/a", &[("host", "a.example")]),
        parts("/a", &[("host", "b.example")]),
        parts("/b", &[("host", "a.example")]),
        parts("/a", &[("host", "a.example"), ("authorization", "Token x")]),
        parts("/a", &[("host", "a.example"), ("medlarpoint-tenant", "x")]),
    ];
    let fingerprints: Vec<Fingerprint> = calls.iter().map(|call| of_call(call, NO_BODY)).collect();
    for (index, fingerprint) in fingerprints.iter().enumerate() {
        assert!(!fingerprints[index + 1..].contains(fingerprint), "{:?}", calls[index]);
    }
}

/// Guards against a call that crashes targets and counts as another one with each key, or at
/// a daemon that gets the workspace and not the key.
#[test]
fn calls_of_a_workspace_are_the_same_whatever_else_identifies_their_caller() {
    let workspace = ("medlarpoint-workspace", "x");
    let named = of_call(&parts("/a", &[workspace]), NO_BODY);
    let credentials = [workspace, ("authorization", "Token k"), ("medlarpoint-tenant", "y")];
    assert_eq!(of_call(&parts("/a", &credentials), NO_BODY), named);
    let other = of_call(&parts("/a", &[("medlarpoint-workspace", "y")]), NO_BODY);
    assert_ne!(other, named);
}

/// An outbound proxy that has not read the body names no fingerprint.
#[test]
fn an_attempt_has_the_fingerprint_that_its_sender_names_or_that_of_its_body() {
    let body = || Body::full(Bytes::from_static(b"body"));
    let unnamed = parts("/a", &[("host", "a.example")]);
    let own = of_call(&unnamed, BodyIdentity::Bytes(b"body"));
    assert_eq!(of_attempt(&unnamed, &body()), own);
    let named = parts("/a", &[("medlarpoint-fingerprint", "2a")]);
    assert_eq!(of_attempt(&named, &body()), Fingerprint(42));
}
