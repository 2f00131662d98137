//! Tests of [`super`].

use std::time::Duration;

use super::Breaker;

#[test]
fn an_answer_from_before_the_trip_does_not_close_the_breaker() {
    let mut breaker = Breaker::default();
    let early = breaker.sent(Duration::ZERO);
    for _ in 0..3 {
        let generation = breaker.sent(Duration::ZERO);
        breaker.ended(Duration::ZERO, generation, false);
    }
    assert!(!breaker.allows(Duration::ZERO));
    let later = Duration::from_secs(1);
    assert!(breaker.allows(later));
    let probe = breaker.sent(later);
    breaker.ended(later, early, true);
    breaker.ended(later, early, true);
    assert!(!breaker.allows(later), "half open, one request under way");
    breaker.ended(later, probe, true);
    let second = breaker.sent(later);
    breaker.ended(later, second, true);
    assert!(breaker.allows(later));
}
