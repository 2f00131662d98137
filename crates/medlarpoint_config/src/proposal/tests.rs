//! Tests of [`super`].

use medlarpoint_model::{Change, CommitId, KeyDigest, Resource, Snapshot, Version, Workspace};

use super::{Edit, Precondition, Proposal};

fn workspace(name: &str) -> Resource {
    let name = name.parse().unwrap();
    let keys = vec![KeyDigest::of(b"k")];
    Resource::Workspace(Workspace { name, keys, priority: None, quota: None })
}

fn delete(resource: &Resource) -> Change {
    Change::Delete(resource.key())
}

fn effective(base: &Snapshot, changes: &[Change]) -> Vec<Change> {
    let edit = |change: &Change| Edit { change: change.clone(), precondition: Precondition::Any };
    let proposal = Proposal {
        commit: CommitId(1),
        author: "a".to_owned(),
        at_ms: 0,
        since: Version::ZERO,
        resent: false,
        edits: changes.iter().map(edit).collect(),
    };
    proposal.effective(base)
}

/// Guards against a mesh that opens to all callers when its last workspace is deleted.
#[test]
fn deleting_the_last_workspace_keeps_callers_without_a_key_out() {
    let (a, b) = (workspace("a"), workspace("b"));
    let placeholder = Resource::Workspace(Workspace::placeholder());
    let base = Snapshot::empty().edit(&[Change::Put(a.clone()), Change::Put(b.clone())]);
    assert_eq!(effective(&base, &[delete(&a)]), [delete(&a)]);
    let changes = effective(&base, &[delete(&a), delete(&b)]);
    assert_eq!(changes, [delete(&a), delete(&b), Change::Put(placeholder.clone())]);
    let closed = base.edit(&changes);
    assert_eq!(closed.workspaces().count(), 1);
    // Deleting the placeholder opens the mesh on purpose.
    assert_eq!(effective(&closed, &[delete(&placeholder)]), [delete(&placeholder)]);
    assert_eq!(effective(&Snapshot::empty(), &[delete(&a)]), []);
}
