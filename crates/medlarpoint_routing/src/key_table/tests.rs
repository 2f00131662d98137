//! Tests of [`super`].

use medlarpoint_model::{Change, KeyDigest, Name, Resource, Snapshot, Workspace};

use super::KeyTable;

fn workspace(name: &str, keys: &[&str]) -> Change {
    Change::Put(Resource::Workspace(Workspace {
        name: name.parse().unwrap(),
        keys: keys.iter().map(|key| KeyDigest::of(key.as_bytes())).collect(),
        priority: None,
        quota: None,
    }))
}

fn find<'a>(table: &'a KeyTable, key: &str) -> Option<&'a Name> {
    table.find(KeyDigest::of(key.as_bytes())).map(|workspace| &workspace.name)
}

#[test]
fn each_key_leads_to_its_workspace_and_a_removed_one_to_none() {
    let first = Snapshot::empty().edit(&[workspace("a", &["k1", "k2"]), workspace("b", &["k3"])]);
    let table = KeyTable::compile(&first);
    assert_eq!(find(&table, "k1"), find(&table, "k2"));
    assert_eq!(find(&table, "k3").map(Name::as_str), Some("b"));
    assert_eq!(find(&table, "k"), None);
    let table = KeyTable::compile(&first.edit(&[workspace("a", &["k2"])]));
    assert_eq!(find(&table, "k1"), None);
    assert_eq!(find(&table, "k2").map(Name::as_str), Some("a"));
}

/// A document that removes the last key must not switch identification off.
#[test]
fn a_version_whose_workspaces_have_no_keys_still_identifies_calls() {
    assert!(!KeyTable::compile(&Snapshot::empty()).has_workspaces());
    let without_keys = Snapshot::empty().edit(&[workspace("a", &[])]);
    assert!(KeyTable::compile(&without_keys).has_workspaces());
}
