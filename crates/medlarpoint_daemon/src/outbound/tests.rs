//! Tests of [`super`].

use http::Request;
use medlarpoint_model::{Change, Document, Format, Snapshot};
use medlarpoint_routing::RouteTable;

use super::find_route;

const DOCUMENT: &str = r#"
    [[service]]
    name = "s"
    [[route]]
    name = "orders"
    service = "s"
    match = { host = "desk.example", path_prefix = "/orders/" }
    [[route]]
    name = "drafts"
    service = "s"
    repeatable = true
    match = { host = "desk.example", path_prefix = "/orders/drafts/" }
"#;

fn route_of(host: &str, target: &str) -> String {
    let document = Document::parse(DOCUMENT, Format::Toml).unwrap();
    let changes: Vec<Change> = document.resources.into_iter().map(Change::Put).collect();
    let table = RouteTable::compile(&Snapshot::empty().edit(&changes));
    let request = Request::builder().uri(target).header("host", host).body(()).unwrap();
    let found = find_route(&table, &request);
    found.map(|resolved| resolved.route.name.to_string()).unwrap_or_default()
}

/// Guards against a query, an encoded slash or the form of the target changing the route.
#[test]
fn the_route_of_a_call_depends_on_its_path_alone() {
    let cases = [
        ("/orders/drafts", "orders"),
        ("/orders/drafts?x=/", "orders"),
        ("/orders/drafts/?x", "drafts"),
        ("/orders/drafts%2F1", "orders"),
        ("/orders?/orders/", ""),
        ("/", ""),
    ];
    for (target, expected) in cases {
        assert_eq!(route_of("desk.example", target), expected, "{target}");
        assert_eq!(route_of("DESK.example:8080", target), expected, "{target} at a port");
        let absolute = format!("http://Desk.example:80{target}");
        assert_eq!(route_of("other.example", &absolute), expected, "{absolute}");
    }
}
