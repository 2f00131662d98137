//! Tests of [`super`].

use super::{Bounds, MAX_UNREAD_BYTES};

/// Guards against reading requests ahead without limit.
#[test]
fn requests_are_looked_for_up_to_the_limit() {
    let mut bounds = Bounds::new(3);
    for _ in 0..3 {
        assert!(bounds.may_frame());
        bounds.on_framed();
    }
    assert!(!bounds.may_frame());
    assert!(!bounds.may_read(0, false));
    bounds.on_taken();
    bounds.on_finished();
    assert!(bounds.may_frame());
}

/// Guards against a connection that is never read again after the process had too many
/// early calls.
#[test]
fn a_full_process_stops_read_ahead_until_the_next_response() {
    let mut bounds = Bounds::new(8);
    bounds.on_framed();
    bounds.on_framed();
    bounds.pause();
    assert!(!bounds.may_frame());
    bounds.on_finished();
    assert!(bounds.may_frame());
    bounds.pause();
    assert!(!bounds.may_frame());
    bounds.on_finished();
    assert!(bounds.may_frame(), "nothing is left that could finish");
}

/// Guards against a body that fills the memory before a target has room for it.
#[test]
fn a_body_is_read_ahead_only_behind_another_request() {
    let mut bounds = Bounds::new(8);
    bounds.on_framed();
    assert!(!bounds.may_read(0, true));
    bounds.on_framed();
    assert!(bounds.may_read(MAX_UNREAD_BYTES - 1, true));
    assert!(!bounds.may_read(MAX_UNREAD_BYTES, true));
    assert!(!bounds.may_read(MAX_UNREAD_BYTES, false));
}

/// Guards against ending a connection whose requests were all answered, and against missing
/// one whose request only the HTTP library has seen.
#[test]
fn requests_that_the_library_read_alone_count_as_unfinished() {
    let mut bounds = Bounds::new(8);
    bounds.on_taken();
    assert_eq!(bounds.unfinished(), 1);
    bounds.on_finished();
    assert_eq!(bounds.unfinished(), 0);
}
