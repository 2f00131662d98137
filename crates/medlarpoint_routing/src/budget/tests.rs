//! Tests of [`super`].

use super::{Budget, BudgetLimits};

#[test]
fn extra_attempts_stay_within_their_share() {
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
fn the_parts_of_all_daemons_keep_within_the_slack_of_the_fleet() {
    for (slack, members) in [(60.0, 13), (64.0, 15), (196.0, 79), (180.0, 70)] {
        let part = BudgetLimits::per_daemon(slack, members);
        let sum = (part.max_retries + part.max_hedges) * members as f64;
        assert!(sum <= slack, "{members} daemons: {sum} of {slack}");
        assert!(part.max_retries >= 1.0);
    }
}

#[test]
fn a_lower_limit_takes_what_was_saved_beyond_it() {
    let mut budget = Budget::new(20.0);
    budget.set_limit(1.0);
    assert!(budget.withdraw());
    assert!(!budget.withdraw());
}
