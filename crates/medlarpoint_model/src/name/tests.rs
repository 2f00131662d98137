//! Tests of [`super`].

use super::Name;

#[test]
fn accepts_only_lower_case_labels() {
    for good in ["a", "hire-desk", "s1", &"x".repeat(63)] {
        assert!(good.parse::<Name>().is_ok(), "{good}");
    }
    for bad in ["", "-a", "a-", "A", "a_b", "a.b", "é", &"x".repeat(64)] {
        assert!(bad.parse::<Name>().is_err(), "{bad}");
    }
}
