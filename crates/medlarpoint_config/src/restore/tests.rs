//! Tests of [`super`]: commits can still be found by their ids after the store
//! was restored from a backup.

use std::sync::Arc;

use medlarpoint_model::{Change, CommitId, Policy, Resource, Version};
use medlarpoint_store::{Error, MemoryStore};

use super::Restore;
use crate::commit::{Action, Outcome, Rejection, Response, Transaction};
use crate::{Edit, Head, Precondition, Proposal, Replica, head_key};

fn proposal(id: u128, resent: bool) -> Proposal {
    let name = format!("p{id}").parse().unwrap();
    let policy = Resource::Policy(Policy { name, ..Policy::default() });
    Proposal {
        commit: CommitId(id),
        author: "operator".to_owned(),
        at_ms: 0,
        since: Version::ZERO,
        resent,
        edits: vec![Edit { change: Change::Put(policy), precondition: Precondition::Absent }],
    }
}

fn perform(table: &mut MemoryStore, action: &Action) -> Response {
    match action {
        Action::Get(key) => Response::Get(Ok(table.get(key))),
        Action::Put { key, expected, value } => {
            let result = table.put(key, *expected, value.clone(), None);
            Response::Put(result.map_err(Error::from))
        }
        Action::Done(_) => panic!("the transaction has ended"),
    }
}

fn commit(table: &mut MemoryStore, replica: &Replica, proposal: Proposal) -> Outcome {
    let (mut transaction, mut action) = Transaction::new(proposal, Arc::clone(replica.current()));
    loop {
        if let Action::Done(outcome) = action {
            return outcome;
        }
        let response = perform(table, &action);
        action = transaction.step(response);
    }
}

fn restore(table: &mut MemoryStore, replica: &Replica) {
    let (mut restore, first) = Restore::new(replica);
    let mut next = Some(first);
    while let Some(action) = next {
        let response = perform(table, &action);
        next = restore.step(response);
    }
}

fn apply_head(table: &MemoryStore, replica: &mut Replica) {
    let item = table.get(&head_key()).unwrap();
    replica.apply_head(&Head::decode(&item.value).unwrap()).unwrap();
}

/// Commits two versions, restores the store to the first and writes the second
/// back.
fn restore_backup(lose_deltas: bool) -> (MemoryStore, Replica) {
    let mut table = MemoryStore::default();
    let mut replica = Replica::default();
    commit(&mut table, &replica, proposal(1, false));
    let backup = table.clone();
    commit(&mut table, &replica, proposal(2, false));
    apply_head(&table, &mut replica);
    if lose_deltas {
        let mut other = Replica::default();
        let pull = medlarpoint_wire::PullRequest { have: other.tip() };
        let snapshot = Arc::clone(replica.current());
        assert!(matches!(replica.respond(&pull), medlarpoint_wire::PullResponse::Deltas(_)));
        other.apply(medlarpoint_wire::PullResponse::Checkpoint(snapshot)).unwrap();
        replica = other;
    }
    table.restore(backup);
    restore(&mut table, &replica);
    (table, replica)
}

#[test]
fn a_commit_is_found_by_its_id_after_the_store_was_restored() {
    let (mut table, replica) = restore_backup(false);
    let outcome = commit(&mut table, &replica, proposal(2, true));
    let Outcome::Committed { delta, .. } = outcome else {
        panic!("{outcome:?}");
    };
    assert_eq!(delta.version, Version(2));
}

#[test]
fn the_outcome_is_unknown_if_the_delta_of_a_commit_was_lost() {
    let (mut table, replica) = restore_backup(true);
    let outcome = commit(&mut table, &replica, proposal(2, true));
    assert_eq!(outcome, Outcome::Unknown(CommitId(2)));
}

#[test]
fn a_commit_on_an_older_head_is_rejected() {
    let mut table = MemoryStore::default();
    let mut replica = Replica::default();
    commit(&mut table, &replica, proposal(1, false));
    apply_head(&table, &mut replica);
    let outcome = commit(&mut MemoryStore::default(), &replica, proposal(2, false));
    assert!(matches!(outcome, Outcome::Rejected(Rejection::StoreBehind { .. })));
}
