//! Tests of [`super`].

use super::{Document, Format};
use crate::{Change, Snapshot, validate};

fn diagnostics_of(text: &str) -> String {
    let document = match Document::parse(text, Format::Toml) {
        Ok(document) => document,
        Err(diagnostics) => return diagnostics.to_string(),
    };
    let changes: Vec<Change> = document.resources.into_iter().map(Change::Put).collect();
    let snapshot = Snapshot::empty().edit(&changes);
    validate(&snapshot).err().map(|diagnostics| diagnostics.to_string()).unwrap_or_default()
}

#[test]
fn each_diagnostic_names_its_field_and_a_remedy() {
    let service = "[[service]]\nname='desk'\n";
    let cases = [
        "[[route".to_owned(),
        "[[routes]]\nname='a'".to_owned(),
        "[[service]]\nnam='a'".to_owned(),
        "[[service]]\nname='A b'".to_owned(),
        format!("{service}{service}"),
        "[[route]]\nname='a'\nservice='none'".to_owned(),
        "[[service]]\nname='a'\npolicy='none'".to_owned(),
        format!("{service}[[route]]\nname='a'\nservice='desk'\ndeadline_ms=0"),
        format!("{service}[[route]]\nname='a'\nservice='desk'\nmatch.path_prefix='x'"),
        format!("{service}[[route]]\nname='a'\nservice='desk'\nclass='huge'"),
        format!(
            "{service}[[route]]\nname='a'\nservice='desk'\n[[route]]\nname='b'\nservice='desk'"
        ),
        "[[policy]]\nname='p'\nlong_share_percent=0\nretry_budget_percent=101".to_owned(),
    ];
    let found: Vec<String> = cases.iter().map(|text| diagnostics_of(text)).collect();
    assert!(found.iter().all(|text| !text.is_empty()));
    insta::assert_json_snapshot!(found);
}
