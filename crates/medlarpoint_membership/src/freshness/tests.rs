//! Tests of [`super`].

use std::time::Duration;

use medlarpoint_model::Version;
use medlarpoint_wire::BootId;

use super::{Freshness, StoreRead};

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn read(boot: u64, seq: u64, age_ms: u64) -> StoreRead {
    read_of(Version::ZERO, boot, seq, age_ms)
}

fn read_of(version: Version, boot: u64, seq: u64, age_ms: u64) -> StoreRead {
    let origin = "vm-1".parse().unwrap();
    StoreRead { origin, boot: BootId(boot), seq, age: ms(age_ms), version }
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

/// Guards against CONFIG of issue 25: a daemon that heard of a read counted its version as
/// the newest, although the read had found a newer one.
#[test]
fn a_read_of_a_version_that_is_not_in_force_here_does_not_count_until_it_is() {
    let mut freshness = Freshness::default();
    freshness.set_version(Version(33));
    assert!(freshness.record_remote(ms(1_000), &read_of(Version(33), 1, 1, 0)));
    assert!(freshness.record_remote(ms(2_000), &read_of(Version(35), 1, 2, 0)));
    assert_eq!(freshness.age(ms(2_100)), ms(1_100));
    freshness.set_version(Version(34));
    assert_eq!(freshness.age(ms(2_200)), ms(1_200));
    freshness.set_version(Version(35));
    assert_eq!(freshness.age(ms(2_300)), ms(300));
}
