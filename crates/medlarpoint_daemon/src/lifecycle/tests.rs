//! Tests of [`super`].

use std::time::Duration;

use super::{Lifecycle, Shutdown};

const SHUTDOWN: Shutdown =
    Shutdown { accept_until: Duration::from_secs(2), respond_until: Duration::from_secs(5) };

#[test]
fn readiness_is_reported_between_start_and_graceful_shutdown() {
    let lifecycle = Lifecycle::default();
    assert!(!lifecycle.reports_ready());
    lifecycle.mark_ready();
    assert!(lifecycle.reports_ready());
    lifecycle.begin_shutdown(SHUTDOWN);
    assert!(
        lifecycle.is_ready() && !lifecycle.reports_ready() && !lifecycle.has_stopped_accepting()
    );
    lifecycle.stop_accepting();
    assert!(lifecycle.has_stopped_accepting());
}

#[test]
fn a_second_shutdown_request_has_no_effect() {
    let lifecycle = Lifecycle::default();
    lifecycle.begin_shutdown(SHUTDOWN);
    lifecycle.begin_shutdown(Shutdown { accept_until: Duration::from_secs(9), ..SHUTDOWN });
    assert_eq!(lifecycle.shutdown(), Some(SHUTDOWN));
}

#[test]
fn calls_and_connections_count_until_their_guards_are_dropped() {
    let lifecycle = Lifecycle::default();
    let (call, connection) = (lifecycle.track_call(), lifecycle.track_connection());
    assert_eq!((lifecycle.pending_calls(), lifecycle.has_open_connections()), (1, true));
    drop((call, connection));
    assert_eq!((lifecycle.pending_calls(), lifecycle.has_open_connections()), (0, false));
}

#[tokio::test]
async fn waiting_tasks_are_woken() {
    let lifecycle = Lifecycle::default();
    let changes = lifecycle.subscribe_changes();
    lifecycle.stop_accepting();
    lifecycle.wait_stopped_accepting().await;
    assert!(changes.has_changed().expect("alive"));
    lifecycle.close();
    lifecycle.wait_closed().await;
}
