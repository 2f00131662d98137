//! Tests of [`super`].

use super::{MemoryStore, Rejection};
use crate::{Expected, Key, Revision};

#[test]
fn put_checks_the_revision_and_expired_leases_remove_their_values() {
    let key: Key = "a/b".parse().unwrap();
    let mut store = MemoryStore::default();
    let lease = store.grant(10, 0);
    let first = store.put(&key, Expected::Absent, "1".into(), Some(lease)).unwrap();
    let second = store.put(&key, Expected::Absent, "2".into(), None);
    assert_eq!(second, Err(Rejection::Conflict(Some(first))));
    let stale = store.put(&key, Expected::Revision(Revision(9)), "2".into(), None);
    assert_eq!(stale, Err(Rejection::Conflict(Some(first))));
    assert!(!store.expire(9));
    assert!(store.get(&key).is_some());
    assert!(store.expire(10));
    assert!(store.get(&key).is_none());
    assert_eq!(
        store.put(&key, Expected::Absent, "3".into(), Some(lease)),
        Err(Rejection::LeaseNotFound)
    );
    assert!(store.put(&key, Expected::Absent, "3".into(), None).is_ok());
}

#[test]
fn a_renewed_lease_expires_one_ttl_after_its_renewal() {
    let mut store = MemoryStore::default();
    let lease = store.grant(10, 0);
    assert_eq!(store.renew(lease, 8), Ok(10));
    assert!(!store.expire(17));
    assert!(store.expire(18));
    assert_eq!(store.renew(lease, 18), Err(Rejection::LeaseNotFound));
}

#[test]
fn changes_after_a_revision_are_returned_until_they_are_compacted() {
    let (key, other): (Key, Key) = ("a/b".parse().unwrap(), "c".parse().unwrap());
    let mut store = MemoryStore::default();
    let start = store.list("").current.revision;
    store.put(&key, Expected::Any, "1".into(), None).unwrap();
    store.put(&other, Expected::Any, "2".into(), None).unwrap();
    store.delete(&key, Expected::Any).unwrap();
    let changes = store.changes("a/", start).unwrap();
    let values: Vec<bool> = changes.changes.iter().map(|change| change.item.is_some()).collect();
    assert_eq!(values, [true, false]);
    assert!(store.changes("a/", changes.current.revision).unwrap().changes.is_empty());
    store.compact();
    assert_eq!(store.changes("a/", start), Err(Rejection::Compacted));
    assert!(store.changes("a/", changes.current.revision).is_ok());
}
