//! Tests of [`super`].

use std::time::Duration;

use super::{Life, Stop};

const STOP: Stop = Stop { last_call: Duration::from_secs(2), last_answer: Duration::from_secs(5) };

#[test]
fn callers_come_between_the_start_and_a_planned_stop() {
    let life = Life::default();
    assert!(!life.takes_callers());
    life.serve();
    assert!(life.takes_callers());
    life.begin_stop(STOP);
    assert!(life.is_ready() && !life.takes_callers() && !life.is_stopping());
    life.end_calls();
    assert!(life.is_stopping());
}

#[test]
fn a_second_order_to_stop_changes_nothing() {
    let life = Life::default();
    life.begin_stop(STOP);
    life.begin_stop(Stop { last_call: Duration::from_secs(9), ..STOP });
    assert_eq!(life.stop_at(), Some(STOP));
}

#[test]
fn what_is_under_way_is_counted_until_it_is_dropped() {
    let life = Life::default();
    let (call, connection) = (life.call(), life.connection());
    assert_eq!((life.calls(), life.has_connections()), (1, true));
    drop((call, connection));
    assert_eq!((life.calls(), life.has_connections()), (0, false));
}

#[tokio::test]
async fn those_who_wait_are_told() {
    let life = Life::default();
    let changes = life.changes();
    life.end_calls();
    life.wait_stopping().await;
    assert!(changes.has_changed().expect("alive"));
    life.close();
    life.wait_closed().await;
}
