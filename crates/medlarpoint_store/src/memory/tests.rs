//! Tests of [`super`].

use super::{MemoryStore, Rejection};
use crate::{Expected, Key, Revision};

#[test]
fn swap_checks_the_revision_and_leases_run_out() {
    let key: Key = "a/b".parse().unwrap();
    let mut table = MemoryStore::default();
    let lease = table.grant(10, 0);
    let first = table.put(&key, Expected::Absent, "1".into(), Some(lease)).unwrap();
    let again = table.put(&key, Expected::Absent, "2".into(), None);
    assert_eq!(again, Err(Rejection::Conflict(Some(first))));
    let stale = table.put(&key, Expected::Revision(Revision(9)), "2".into(), None);
    assert_eq!(stale, Err(Rejection::Conflict(Some(first))));
    assert!(!table.expire(9));
    assert!(table.get(&key).is_some());
    assert!(table.expire(10));
    assert!(table.get(&key).is_none());
    assert_eq!(
        table.put(&key, Expected::Absent, "3".into(), Some(lease)),
        Err(Rejection::LeaseNotFound)
    );
    assert!(table.put(&key, Expected::Absent, "3".into(), None).is_ok());
}

#[test]
fn a_renewed_lease_runs_from_its_renewal() {
    let mut table = MemoryStore::default();
    let lease = table.grant(10, 0);
    assert_eq!(table.renew(lease, 8), Ok(10));
    assert!(!table.expire(17));
    assert!(table.expire(18));
    assert_eq!(table.renew(lease, 18), Err(Rejection::LeaseNotFound));
}

#[test]
fn changes_are_seen_from_a_revision_until_they_are_forgotten() {
    let (key, other): (Key, Key) = ("a/b".parse().unwrap(), "c".parse().unwrap());
    let mut table = MemoryStore::default();
    let start = table.list("").current;
    table.put(&key, Expected::Any, "1".into(), None).unwrap();
    table.put(&other, Expected::Any, "2".into(), None).unwrap();
    table.delete(&key, Expected::Any).unwrap();
    let seen = table.changes("a/", start).unwrap();
    let values: Vec<bool> = seen.changes.iter().map(|change| change.item.is_some()).collect();
    assert_eq!(values, [true, false]);
    assert!(table.changes("a/", seen.current).unwrap().changes.is_empty());
    table.compact();
    assert_eq!(table.changes("a/", start), Err(Rejection::Compacted));
    assert!(table.changes("a/", seen.current).is_ok());
}
