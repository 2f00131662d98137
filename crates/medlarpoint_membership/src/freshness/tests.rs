//! Tests of [`super`].

use std::time::Duration;

use super::Freshness;

#[test]
fn the_latest_reading_counts_in_whatever_order_it_is_heard() {
    let ms = Duration::from_millis;
    let mut freshness = Freshness::default();
    assert!(freshness.confirmed(ms(1_000), ms(200)));
    assert!(!freshness.confirmed(ms(1_100), ms(400)));
    assert_eq!(freshness.age(ms(1_100)), ms(300));
    assert!(freshness.confirmed(ms(1_200), ms(0)));
    assert_eq!(freshness.age(ms(1_250)), ms(50));
}
