//! Tests of the state changes of a breaker.

use std::time::Duration;

use super::Breaker;

#[test]
fn a_response_from_before_the_trip_does_not_close_the_breaker() {
    let mut breaker = Breaker::default();
    let early = breaker.on_sent(Duration::ZERO);
    for _ in 0..3 {
        let generation = breaker.on_sent(Duration::ZERO);
        breaker.on_outcome(Duration::ZERO, generation, false);
    }
    assert!(!breaker.allows(Duration::ZERO));
    let later = Duration::from_secs(1);
    assert!(breaker.allows(later));
    let probe = breaker.on_sent(later);
    breaker.on_outcome(later, early, true);
    breaker.on_outcome(later, early, true);
    assert!(!breaker.allows(later), "half open with one request in flight");
    breaker.on_outcome(later, probe, true);
    let second = breaker.on_sent(later);
    breaker.on_outcome(later, second, true);
    assert!(breaker.allows(later));
}
