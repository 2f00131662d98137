//! Tests of [`super`].

use super::{Refusal, Table};
use crate::{Expected, Key, Revision};

#[test]
fn swap_checks_the_revision_and_leases_run_out() {
    let key: Key = "a/b".parse().unwrap();
    let mut table = Table::default();
    let lease = table.grant(10, 0);
    let first = table.swap(&key, Expected::Absent, "1".into(), Some(lease)).unwrap();
    let again = table.swap(&key, Expected::Absent, "2".into(), None);
    assert_eq!(again, Err(Refusal::Conflict(Some(first))));
    let stale = table.swap(&key, Expected::Revision(Revision(9)), "2".into(), None);
    assert_eq!(stale, Err(Refusal::Conflict(Some(first))));
    assert!(!table.expire(9));
    assert!(table.get(&key).is_some());
    assert!(table.expire(10));
    assert!(table.get(&key).is_none());
    assert_eq!(table.swap(&key, Expected::Absent, "3".into(), Some(lease)), Err(Refusal::NoLease));
    assert!(table.swap(&key, Expected::Absent, "3".into(), None).is_ok());
}

#[test]
fn a_renewed_lease_runs_from_its_renewal() {
    let mut table = Table::default();
    let lease = table.grant(10, 0);
    assert_eq!(table.renew(lease, 8), Ok(10));
    assert!(!table.expire(17));
    assert!(table.expire(18));
    assert_eq!(table.renew(lease, 18), Err(Refusal::NoLease));
}

#[test]
fn changes_are_seen_from_a_revision_until_they_are_forgotten() {
    let (key, other): (Key, Key) = ("a/b".parse().unwrap(), "c".parse().unwrap());
    let mut table = Table::default();
    let start = table.list("").current;
    table.swap(&key, Expected::Any, "1".into(), None).unwrap();
    table.swap(&other, Expected::Any, "2".into(), None).unwrap();
    table.delete(&key, Expected::Any).unwrap();
    let seen = table.changes("a/", start).unwrap();
    let values: Vec<bool> = seen.changes.iter().map(|change| change.item.is_some()).collect();
    assert_eq!(values, [true, false]);
    assert!(table.changes("a/", seen.current).unwrap().changes.is_empty());
    table.compact();
    assert_eq!(table.changes("a/", start), Err(Refusal::Forgotten));
    assert!(table.changes("a/", seen.current).is_ok());
}
