//! Compares a document with the resources in force.

use indexmap::IndexMap;
use medlarpoint_api::{Edit, Expect, Resources};
use medlarpoint_model::{Change, Document, Entry, Key, Resource};

/// Relation of a resource of a document to the version in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "lowercase")]
pub(crate) enum Relation {
    /// The resource does not exist yet.
    Create,
    /// The resource exists with another content.
    Replace,
    /// The resource exists with the same content.
    Same,
}

/// A declared resource with the resource that it would replace.
#[derive(Clone, Debug)]
pub(crate) struct Difference {
    pub(crate) relation: Relation,
    pub(crate) declared: Resource,
    pub(crate) current: Option<Entry>,
}

pub(crate) fn compare(document: &Document, resources: &Resources) -> Vec<Difference> {
    let in_force: IndexMap<Key, &Entry> =
        resources.entries.iter().map(|entry| (entry.resource.key(), entry)).collect();
    let difference = |declared: &Resource| {
        let entry = in_force.get(&declared.key()).copied();
        let relation = match entry {
            None => Relation::Create,
            Some(entry) if entry.resource == *declared => Relation::Same,
            Some(_) => Relation::Replace,
        };
        Difference { relation, declared: declared.clone(), current: entry.cloned() }
    };
    document.resources.iter().map(difference).collect()
}

/// Builds the edits for the differences. Without `force`, an edit fails if the
/// resource has changed since the comparison.
pub(crate) fn edits(differences: &[Difference], force: bool) -> Vec<Edit> {
    let changed = differences.iter().filter(|d| d.relation != Relation::Same);
    let edit = |difference: &Difference| Edit {
        change: Change::Put(difference.declared.clone()),
        expect: match &difference.current {
            _ if force => Expect::Any,
            None => Expect::Absent,
            Some(entry) => Expect::Changed(entry.changed),
        },
    };
    changed.map(edit).collect()
}
