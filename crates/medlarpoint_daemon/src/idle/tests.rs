//! Tests of [`super`].

use std::time::{Duration, Instant};

use super::{IDLE_TIMEOUT, Retention, Stack};

fn burst(retention: Retention, now: Instant, connections: u32) -> Stack<u32> {
    let mut stack = Stack::new(retention);
    for connection in 0..connections {
        stack.push(now, connection, IDLE_TIMEOUT);
    }
    stack
}

fn len(stack: &Stack<u32>) -> usize {
    stack.entries.len()
}

/// A burst of 200 concurrent calls to one daemon, then one call at a time.
#[test]
fn connections_of_a_burst_are_closed_soon_after_it() {
    let start = Instant::now();
    let mut stack = burst(Retention::PEER, start, 200);
    assert!(len(&stack) <= 16);
    let mut now = start;
    for _ in 0..20 {
        now += Duration::from_millis(100);
        let connection = stack.take(now, IDLE_TIMEOUT, |_| true).expect("one is idle");
        stack.push(now, connection, IDLE_TIMEOUT);
        stack.evict(now, |_| false);
    }
    assert_eq!(len(&stack), 1);
}

#[test]
fn the_connection_used_last_is_kept_for_the_next_call() {
    let start = Instant::now();
    let mut stack = burst(Retention::PEER, start, 3);
    let later = start + IDLE_TIMEOUT / 2;
    stack.evict(later, |_| false);
    assert_eq!(stack.take(later, IDLE_TIMEOUT, |_| true), Some(2));
    assert!(stack.is_empty());
}

#[test]
fn connections_to_the_target_survive_a_pause() {
    let start = Instant::now();
    let mut stack = burst(Retention::TARGET, start, 10);
    stack.evict(start + IDLE_TIMEOUT / 2, |_| false);
    assert_eq!(len(&stack), 10);
    stack.evict(start + IDLE_TIMEOUT, |_| false);
    assert!(stack.is_empty());
}

#[test]
fn closed_connections_are_evicted_and_the_newest_open_one_is_kept() {
    let start = Instant::now();
    let mut stack = burst(Retention::PEER, start, 3);
    stack.evict(start + Duration::from_secs(5), |connection| *connection == 2);
    assert_eq!(stack.take(start + Duration::from_secs(5), IDLE_TIMEOUT, |_| true), Some(1));
}

#[test]
fn a_connection_is_not_reused_beyond_its_limit() {
    let start = Instant::now();
    let mut stack = Stack::new(Retention::TARGET);
    stack.push(start, 1, Duration::from_secs(1));
    assert_eq!(stack.take(start + Duration::from_secs(1), IDLE_TIMEOUT, |_| true), None);
}

#[test]
fn an_unsuitable_connection_is_passed_over_and_kept() {
    let start = Instant::now();
    let mut stack = burst(Retention::TARGET, start, 3);
    assert_eq!(stack.take(start, IDLE_TIMEOUT, |connection| *connection == 1), Some(1));
    assert_eq!(stack.take(start, IDLE_TIMEOUT, |connection| *connection == 1), None);
    assert_eq!(len(&stack), 2);
}
