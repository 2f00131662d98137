//! Tests of route matching and of traffic splits.

use http::{HeaderMap, Method};
use medlarpoint_model::{Change, Document, Format, Snapshot};

use super::RouteTable;

const DOCUMENT: &str = r#"
    [[service]]
    name = "s"
    [[route]]
    name = "all"
    service = "s"
    [[route]]
    name = "api"
    service = "s"
    match.path_prefix = "/api/"
    [[route]]
    name = "api-post"
    service = "s"
    match = { path_prefix = "/api/", methods = ["POST"] }
    [[route]]
    name = "host"
    service = "s"
    match = { host = "Desk.example", path_prefix = "/x" }
    [[route]]
    name = "paid"
    service = "s"
    match = { path_prefix = "/api", headers = { x-kind = "paid" } }
    [[route]]
    name = "orders"
    service = "s"
    match = { host = "orders.example", path_prefix = "/orders/" }
    [[route]]
    name = "drafts"
    service = "s"
    repeatable = true
    match = { host = "orders.example", path_prefix = "/orders/drafts/" }
"#;

fn find(host: &str, method: &Method, path: &str, kind: Option<&str>) -> String {
    let document = Document::parse(DOCUMENT, Format::Toml).unwrap();
    let changes: Vec<Change> = document.resources.into_iter().map(Change::Put).collect();
    let table = RouteTable::compile(&Snapshot::empty().edit(&changes));
    let mut headers = HeaderMap::new();
    if let Some(kind) = kind {
        headers.insert("x-kind", kind.parse().unwrap());
    }
    let resolved = table.find(Some(host), method, path, &headers);
    resolved.map(|resolved| resolved.route.name.to_string()).unwrap_or_default()
}

#[test]
fn the_most_specific_route_wins() {
    assert_eq!(find("a", &Method::GET, "/", None), "all");
    assert_eq!(find("a", &Method::GET, "/apis", None), "all");
    assert_eq!(find("a", &Method::GET, "/api/", None), "api");
    assert_eq!(find("a", &Method::GET, "/api", None), "all");
    assert_eq!(find("a", &Method::GET, "/api", Some("paid")), "paid");
    assert_eq!(find("a", &Method::POST, "/api/b", None), "api-post");
    assert_eq!(find("a", &Method::GET, "/api/b", Some("paid")), "api");
    assert_eq!(find("desk.EXAMPLE:80", &Method::GET, "/x/y", None), "host");
    assert_eq!(find("desk.example", &Method::GET, "/y", None), "all");
}

/// Guards against a call that may not be repeated being taken by the repeatable route of a
/// longer prefix, which does not begin its path.
#[test]
fn a_path_without_the_final_slash_belongs_to_the_shorter_prefix() {
    let orders = |path| find("Orders.example:8080", &Method::POST, path, None);
    assert_eq!(orders("/orders/drafts"), "orders");
    assert_eq!(orders("/orders/drafts%2F1"), "orders");
    assert_eq!(orders("/orders/drafts/"), "drafts");
    assert_eq!(orders("/orders/drafts/1"), "drafts");
    assert_eq!(orders("/orders"), "all");
}

#[test]
fn a_split_follows_its_weights() {
    let document = r#"
        [[service]]
        name = "a"
        [[service]]
        name = "b"
        [[route]]
        name = "split"
        service = "a"
        split = [{ service = "a", weight = 90 }, { service = "b", weight = 10 }]
    "#;
    let document = Document::parse(document, Format::Toml).unwrap();
    let changes: Vec<Change> = document.resources.into_iter().map(Change::Put).collect();
    let table = RouteTable::compile(&Snapshot::empty().edit(&changes));
    let resolved = table.find(None, &Method::GET, "/", &HeaderMap::new()).unwrap();
    let selected =
        (0..1_000).filter(|n| resolved.select_service(f64::from(*n) / 1e3).as_str() == "b").count();
    assert_eq!(selected, 100);
}
