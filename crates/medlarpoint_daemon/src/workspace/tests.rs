//! Tests of [`super`].

use http::HeaderValue;
use medlarpoint_model::{Change, KeyDigest, Resource, Snapshot};

use super::*;

const HEADERS: [(&str, &str); 4] = [
    ("authorization", "Token y5rcp"),
    ("medlarpoint-workspace", "forged"),
    ("medlarpoint-tenant", "forged"),
    ("accept", "*/*"),
];

fn headers(pairs: &[(&'static str, &'static str)]) -> HeaderMap {
    pairs.iter().map(|(name, value)| (name.parse().unwrap(), value.parse().unwrap())).collect()
}

fn keys() -> KeyTable {
    let workspace = Workspace {
        name: "hule930".parse().unwrap(),
        keys: vec![KeyDigest::of(b"y5rcp")],
        priority: None,
        quota: None,
    };
    let change = Change::Put(Resource::Workspace(workspace));
    KeyTable::compile(&Snapshot::empty().edit(&[change]))
}

#[test]
fn a_known_key_names_the_workspace_and_leaves_the_headers() {
    let mut headers = headers(&HEADERS);
    let workspace = identify(&keys(), &mut headers).workspace().unwrap();
    assert_eq!(workspace.name.as_str(), "hule930");
    let left: Vec<&str> = headers.keys().map(http::HeaderName::as_str).collect();
    assert_eq!(left, ["accept"]);
}

#[test]
fn unknown_and_malformed_keys_are_removed_too_and_a_missing_one_is_told_apart() {
    for credentials in ["Token other", "Basic y5rcp"] {
        let mut headers = headers(&[("authorization", credentials)]);
        assert_eq!(identify(&keys(), &mut headers), Caller::Unknown);
        assert!(headers.is_empty());
    }
    assert_eq!(identify(&keys(), &mut headers(&[("accept", "*/*")])), Caller::Missing);
}

/// Deployments without workspaces send credentials of their own, which their targets check.
#[test]
fn without_workspaces_credentials_pass_but_no_caller_names_a_workspace() {
    let mut headers = headers(&HEADERS);
    assert_eq!(identify(&KeyTable::default(), &mut headers), Caller::Unnamed);
    set_for_target(&mut headers, false);
    assert_eq!(headers["authorization"], "Token y5rcp");
    assert_eq!(headers["medlarpoint-tenant"], "forged");
    assert!(!headers.contains_key("medlarpoint-workspace"));
}

#[test]
fn the_target_gets_the_workspace_under_another_name_than_the_inbound_proxy() {
    let mut headers = HeaderMap::new();
    headers.insert(header::WORKSPACE, HeaderValue::from_static("hule930"));
    set_for_target(&mut headers, true);
    assert!(!headers.contains_key("medlarpoint-workspace"));
    assert!(headers.values().any(|value| value == "hule930"));
}
