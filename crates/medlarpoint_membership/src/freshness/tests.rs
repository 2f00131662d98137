//! Tests of [`super`].

use std::time::Duration;

use medlarpoint_wire::BootId;

use super::{Freshness, StoreRead};

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn read(boot: u64, seq: u64, age_ms: u64) -> StoreRead {
    StoreRead { origin: "vm-1".parse().unwrap(), boot: BootId(boot), seq, age: ms(age_ms) }
}

#[test]
fn the_latest_read_counts_in_any_order_of_arrival() {
    let mut freshness = Freshness::default();
    assert!(freshness.record_remote(ms(1_000), &read(1, 5, 200)));
    assert!(!freshness.record_remote(ms(1_100), &read(1, 4, 400)));
    assert_eq!(freshness.age(ms(1_100)), ms(300));
    freshness.record_local(ms(1_200));
    assert_eq!(freshness.age(ms(1_250)), ms(50));
}

#[test]
fn a_read_that_arrives_twice_is_not_new() {
    let mut freshness = Freshness::default();
    assert!(freshness.record_remote(ms(1_000), &read(1, 5, 0)));
    // The age does not increase in transit, so by its age alone the read would
    // look newer.
    assert!(!freshness.record_remote(ms(1_010), &read(1, 5, 0)));
    assert_eq!(freshness.age(ms(1_010)), ms(10));
    // The origin restarts and numbers its reads from one again.
    assert!(freshness.record_remote(ms(1_020), &read(2, 1, 0)));
}
