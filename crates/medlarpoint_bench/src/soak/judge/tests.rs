//! Tests of [`super`]: each promise, broken on purpose, is found.

use std::time::Duration;

use medlarpoint_model::Version;

use super::{Absence, Change, Evidence, Gap, Look, Violation, judge};
use crate::soak::caller::{End, Ended, Kind};

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn call(id: &str, kind: Kind, end: End) -> Ended {
    Ended { id: id.to_owned(), kind, vm: 0, sent: at(10), over: at(11), end, resent: false }
}

fn answered() -> End {
    End::Answered { own: true }
}

/// A good order, and a change that came into force.
fn good() -> Evidence {
    Evidence {
        calls: vec![call("a", Kind::Order, answered())],
        runs: [("a".to_owned(), 1)].into(),
        looks: (0..30).map(|s| Look { vm: 0, at: at(s), version: version(s >= 6) }).collect(),
        changes: vec![Change { at: at(5), version: Version(2) }],
        recovered: Some(at(1)),
        ..Evidence::default()
    }
}

fn version(new: bool) -> Version {
    Version(if new { 2 } else { 1 })
}

#[test]
fn a_good_run_breaks_nothing() {
    assert_eq!(judge(&good()), []);
}

#[test]
fn an_order_that_ran_twice_is_found() {
    let evidence = Evidence { runs: [("a".to_owned(), 2)].into(), ..good() };
    assert_eq!(judge(&evidence), [Violation::Doubled { id: "a".to_owned(), runs: 2 }]);
}

#[test]
fn a_false_not_run_is_found() {
    let evidence = Evidence { calls: vec![call("a", Kind::Order, End::NotRun)], ..good() };
    assert_eq!(judge(&evidence), [Violation::FalseNotRun { id: "a".to_owned() }]);
}

#[test]
fn an_answer_without_a_run_is_found() {
    let evidence = Evidence { runs: [].into(), ..good() };
    assert_eq!(judge(&evidence), [Violation::MadeUp { id: "a".to_owned() }]);
}

#[test]
fn an_answer_of_another_call_is_found() {
    let other = call("a", Kind::Lookup, End::Answered { own: false });
    let evidence = Evidence { calls: vec![other], ..good() };
    assert_eq!(judge(&evidence), [Violation::Foreign { id: "a".to_owned() }]);
}

#[test]
fn a_call_dropped_by_a_stopping_daemon_is_found() {
    let dropped = call("a", Kind::Lookup, End::Broken("reset".to_owned()));
    let mut evidence = Evidence { calls: vec![dropped], ..good() };
    let stop = Gap { vm: 0, absence: Absence::Stopped, from: at(11), until: at(13) };
    evidence.gaps.push(stop);
    assert!(matches!(judge(&evidence)[..], [Violation::Dropped { vm: 0, .. }]));
    // One that comes when the process is gone cannot be answered.
    evidence.calls[0].sent = at(12);
    assert_eq!(judge(&evidence), []);
}

#[test]
fn a_call_dropped_by_a_killed_daemon_is_excused() {
    let dropped = call("a", Kind::Lookup, End::Broken("reset".to_owned()));
    let mut evidence = Evidence { calls: vec![dropped], ..good() };
    evidence.gaps.push(Gap { vm: 0, absence: Absence::Process, from: at(11), until: at(13) });
    assert_eq!(judge(&evidence), []);
}

#[test]
fn a_version_that_falls_is_found() {
    let mut evidence = good();
    evidence.looks.push(Look { vm: 0, at: at(31), version: Version(1) });
    let fell = Violation::Fell { vm: 0, from: Version(2), to: Version(1) };
    assert_eq!(judge(&evidence), [fell]);
}

#[test]
fn a_change_that_comes_too_late_is_found() {
    let mut evidence = good();
    evidence.looks.iter_mut().for_each(|look| look.version = version(look.at > at(15)));
    assert_eq!(judge(&evidence), [Violation::Slow { vm: 0, version: Version(2) }]);
    evidence.gaps.push(Gap { vm: 0, absence: Absence::Process, from: at(7), until: at(8) });
    assert_eq!(judge(&evidence), []);
}

#[test]
fn a_daemon_that_does_not_stop_in_order_is_found() {
    let evidence = Evidence { bad_stops: vec![3], ..good() };
    assert_eq!(judge(&evidence), [Violation::BadStop { vm: 3 }]);
}

#[test]
fn a_fleet_that_does_not_recover_is_found() {
    for recovered in [None, Some(at(16))] {
        let evidence = Evidence { recovered, ..good() };
        assert_eq!(judge(&evidence), [Violation::NotRecovered]);
    }
}
