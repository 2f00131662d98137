//! Tests of [`super`].

use super::Name;

#[test]
fn accepts_only_lower_case_labels() {
    for valid in ["a", "hire-desk", "s1", &"x".repeat(63)] {
        assert!(valid.parse::<Name>().is_ok(), "{valid}");
    }
    for invalid in ["", "-a", "a-", "A", "a_b", "a.b", "é", &"x".repeat(64)] {
        assert!(invalid.parse::<Name>().is_err(), "{invalid}");
    }
}
