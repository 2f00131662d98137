//! Tests of [`super`].

use std::time::Duration;

use medlarpoint_wire::Boot;

use super::{Freshness, StoreRead};

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn reading(boot: u64, seq: u64, age_ms: u64) -> StoreRead {
    StoreRead { origin: "vm-1".parse().unwrap(), boot: Boot(boot), seq, age: ms(age_ms) }
}

#[test]
fn the_latest_reading_counts_in_whatever_order_it_is_heard() {
    let mut freshness = Freshness::default();
    assert!(freshness.record_remote(ms(1_000), &reading(1, 5, 200)));
    assert!(!freshness.record_remote(ms(1_100), &reading(1, 4, 400)));
    assert_eq!(freshness.age(ms(1_100)), ms(300));
    freshness.record_local(ms(1_200));
    assert_eq!(freshness.age(ms(1_250)), ms(50));
}

#[test]
fn a_reading_that_comes_round_again_is_not_news() {
    let mut freshness = Freshness::default();
    assert!(freshness.record_remote(ms(1_000), &reading(1, 5, 0)));
    // Under way its age does not grow, so by the age alone it would look newer.
    assert!(!freshness.record_remote(ms(1_010), &reading(1, 5, 0)));
    assert_eq!(freshness.age(ms(1_010)), ms(10));
    // The origin restarts and counts anew.
    assert!(freshness.record_remote(ms(1_020), &reading(2, 1, 0)));
}
