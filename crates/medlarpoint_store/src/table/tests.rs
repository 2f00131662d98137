//! Tests of [`super`].

use super::{Refusal, Table};
use crate::{Expected, Key, Revision};

#[test]
fn swap_checks_the_revision_and_leases_run_out() {
    let key: Key = "a/b".parse().unwrap();
    let mut table = Table::default();
    let first = table.swap(&key, Expected::Absent, "1".into(), Some(10), 0).unwrap();
    let again = table.swap(&key, Expected::Absent, "2".into(), None, 5);
    assert_eq!(again, Err(Refusal::Conflict(Some(first))));
    let stale = table.swap(&key, Expected::Revision(Revision(9)), "2".into(), None, 5);
    assert_eq!(stale, Err(Refusal::Conflict(Some(first))));
    assert!(table.get(&key, 10).is_none());
    assert!(table.swap(&key, Expected::Absent, "3".into(), None, 10).is_ok());
}
