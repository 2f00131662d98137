//! Tests of the budgets for extra attempts.

use super::{Budget, BudgetLimits};

#[test]
fn extra_attempts_stay_within_their_percentage() {
    let mut budget = Budget::default();
    while budget.withdraw() {}
    let mut extra = 0;
    for _ in 0..1_000 {
        budget.deposit(5);
        extra += u32::from(budget.withdraw());
    }
    assert!((49..=50).contains(&extra), "{extra}");
}

#[test]
fn the_limits_of_all_daemons_add_up_to_no_more_than_the_slack_of_the_fleet() {
    for (slack, members) in [(60.0, 13), (64.0, 15), (196.0, 79), (180.0, 70)] {
        let limits = BudgetLimits::per_daemon(slack, members);
        let sum = (limits.max_retries + limits.max_hedges) * members as f64;
        assert!(sum <= slack, "{members} daemons: {sum} of {slack}");
        assert!(limits.max_retries >= 1.0);
    }
}

#[test]
fn a_lower_limit_drops_the_tokens_beyond_it() {
    let mut budget = Budget::new(20.0);
    budget.set_limit(1.0);
    assert!(budget.withdraw());
    assert!(!budget.withdraw());
}
