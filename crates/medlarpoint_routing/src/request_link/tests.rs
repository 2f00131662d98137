//! Tests of [`super`].

use std::time::Duration;

use super::{BODY_IN_TRANSFER_BYTES, RequestLink};

const NOW: Duration = Duration::from_secs(100);
const BODY_BYTES: usize = 60_000;

fn admit(link: &mut RequestLink, now: Duration) -> Duration {
    let start = link.next_start(now);
    link.admit(start, BODY_BYTES);
    start
}

#[test]
fn bodies_start_one_after_the_other() {
    let mut link = RequestLink::new(Some(10.0));
    let step = link.transfer_time(BODY_BYTES);
    for index in 0..10 {
        assert_eq!(admit(&mut link, NOW), NOW + step * index);
    }
}

#[test]
fn bodies_that_take_longer_than_reserved_delay_the_next() {
    let mut link = RequestLink::new(Some(10.0));
    for _ in 0..10 {
        admit(&mut link, NOW);
    }
    let later = NOW + Duration::from_secs(5);
    let waiting = link.transfer_time(10 * BODY_BYTES - BODY_IN_TRANSFER_BYTES);
    assert_eq!(link.next_start(later), later + waiting);
    for _ in 0..10 {
        link.body_ended(BODY_BYTES);
    }
    assert_eq!(link.next_start(later), later);
}

#[test]
fn a_link_without_a_rate_delays_nothing() {
    let mut link = RequestLink::new(None);
    assert!(!link.shapes(usize::MAX));
    for _ in 0..3 {
        assert_eq!(admit(&mut link, NOW), NOW);
    }
}
