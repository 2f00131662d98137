//! Compares a document with what is in force.

use indexmap::IndexMap;
use medlarpoint_api::{Edit, Expect, Resources};
use medlarpoint_model::{Change, Document, Entry, Key, Resource};

/// How a resource of a document relates to what is in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "lowercase")]
pub(crate) enum Relation {
    Create,
    Replace,
    Same,
}

/// A resource of a document with what it would replace.
#[derive(Clone, Debug)]
pub(crate) struct Difference {
    pub(crate) relation: Relation,
    pub(crate) wanted: Resource,
    pub(crate) present: Option<Entry>,
}

pub(crate) fn compare(document: &Document, resources: &Resources) -> Vec<Difference> {
    let present: IndexMap<Key, &Entry> =
        resources.entries.iter().map(|entry| (entry.resource.key(), entry)).collect();
    let difference = |wanted: &Resource| {
        let entry = present.get(&wanted.key()).copied();
        let relation = match entry {
            None => Relation::Create,
            Some(entry) if entry.resource == *wanted => Relation::Same,
            Some(_) => Relation::Replace,
        };
        Difference { relation, wanted: wanted.clone(), present: entry.cloned() }
    };
    document.resources.iter().map(difference).collect()
}

/// Turns differences into edits that fail if somebody else was faster.
pub(crate) fn edits(differences: &[Difference], force: bool) -> Vec<Edit> {
    let changed = differences.iter().filter(|d| d.relation != Relation::Same);
    let edit = |difference: &Difference| Edit {
        change: Change::Put(difference.wanted.clone()),
        expect: match &difference.present {
            _ if force => Expect::Any,
            None => Expect::Absent,
            Some(entry) => Expect::Changed(entry.changed),
        },
    };
    changed.map(edit).collect()
}
