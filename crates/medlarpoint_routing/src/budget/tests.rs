//! Tests of [`super`].

use super::Budget;

#[test]
fn extra_attempts_stay_within_their_share() {
    let mut budget = Budget::default();
    while budget.spend() {}
    let mut extra = 0;
    for _ in 0..1_000 {
        budget.earn(5);
        extra += u32::from(budget.spend());
    }
    assert!((49..=50).contains(&extra), "{extra}");
}
