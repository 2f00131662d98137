//! Tests of [`super`]: the violation of each guarantee is reported.

use std::time::Duration;

use medlarpoint_model::Version;

use super::{Cause, Change, FatalRun, Observations, Outage, Sample, Violation, check};
use crate::soak::caller::{CallRecord, Operation, Outcome};

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn call(id: &str, operation: Operation, outcome: Outcome) -> CallRecord {
    CallRecord {
        id: id.to_owned(),
        operation,
        vm: 0,
        sent_at: at(10),
        ended_at: at(11),
        outcome,
        resent: false,
    }
}

fn responded() -> Outcome {
    Outcome::Responded { correct: true }
}

/// An order that ran once, and a change that came into force in time.
fn passing() -> Observations {
    Observations {
        calls: vec![call("a", Operation::Order, responded())],
        runs: [("a".to_owned(), 1)].into(),
        samples: (0..30).map(|s| Sample { vm: 0, at: at(s), version: version(s >= 6) }).collect(),
        changes: vec![Change { at: at(5), version: Version(2) }],
        recovery: Some(at(1)),
        ..Observations::default()
    }
}

fn version(new: bool) -> Version {
    Version(if new { 2 } else { 1 })
}

#[test]
fn a_run_without_faults_has_no_violations() {
    assert_eq!(check(&passing()), []);
}

#[test]
fn an_order_that_ran_twice_is_reported() {
    let observations = Observations { runs: [("a".to_owned(), 2)].into(), ..passing() };
    assert_eq!(check(&observations), [Violation::Doubled { id: "a".to_owned(), runs: 2 }]);
}

#[test]
fn a_not_run_outcome_of_a_call_that_ran_is_reported() {
    let observations =
        Observations { calls: vec![call("a", Operation::Order, Outcome::NotRun)], ..passing() };
    assert_eq!(check(&observations), [Violation::FalseNotRun { id: "a".to_owned() }]);
}

#[test]
fn a_response_without_an_execution_is_reported() {
    let observations = Observations { runs: [].into(), ..passing() };
    assert_eq!(check(&observations), [Violation::MadeUp { id: "a".to_owned() }]);
}

#[test]
fn a_response_to_another_call_is_reported() {
    let other = call("a", Operation::Lookup, Outcome::Responded { correct: false });
    let observations = Observations { calls: vec![other], ..passing() };
    assert_eq!(check(&observations), [Violation::Foreign { id: "a".to_owned() }]);
}

#[test]
fn a_call_lost_by_a_stopping_daemon_is_reported() {
    let lost = call("a", Operation::Lookup, Outcome::Failed("reset".to_owned()));
    let mut observations = Observations { calls: vec![lost], ..passing() };
    let outage = Outage { vm: 0, cause: Cause::Stopped, from: at(11), until: at(13) };
    observations.outages.push(outage);
    assert!(matches!(check(&observations)[..], [Violation::Dropped { vm: 0, .. }]));
    // A call sent after the process has ended cannot get a response.
    observations.calls[0].sent_at = at(12);
    assert_eq!(check(&observations), []);
}

#[test]
fn a_call_lost_by_a_killed_daemon_is_excused() {
    let lost = call("a", Operation::Lookup, Outcome::Failed("reset".to_owned()));
    let mut observations = Observations { calls: vec![lost], ..passing() };
    observations.outages.push(Outage { vm: 0, cause: Cause::Process, from: at(11), until: at(13) });
    assert_eq!(check(&observations), []);
}

#[test]
fn a_decreasing_version_is_reported() {
    let mut observations = passing();
    observations.samples.push(Sample { vm: 0, at: at(31), version: Version(1) });
    let expected = Violation::Fell { vm: 0, from: Version(2), to: Version(1) };
    assert_eq!(check(&observations), [expected]);
}

#[test]
fn a_late_change_is_reported_unless_the_daemon_was_down() {
    let mut observations = passing();
    observations.samples.iter_mut().for_each(|sample| sample.version = version(sample.at > at(15)));
    assert_eq!(check(&observations), [Violation::Slow { vm: 0, version: Version(2) }]);
    observations.outages.push(Outage { vm: 0, cause: Cause::Process, from: at(7), until: at(8) });
    assert_eq!(check(&observations), []);
}

#[test]
fn an_unclean_shutdown_is_reported() {
    let observations = Observations { unclean_stops: vec![3], ..passing() };
    assert_eq!(check(&observations), [Violation::BadStop { vm: 3 }]);
}

#[test]
fn a_fleet_that_does_not_recover_in_time_is_reported() {
    for recovery in [None, Some(at(16))] {
        let observations = Observations { recovery, ..passing() };
        assert_eq!(check(&observations), [Violation::NotRecovered]);
    }
}

/// Reports are read by tools, so the names in them must not follow renames here.
#[test]
fn serialized_names_of_violations_are_fixed() {
    let id = || "a".to_owned();
    let violations = [
        Violation::Doubled { id: id(), runs: 2 },
        Violation::FalseNotRun { id: id() },
        Violation::MadeUp { id: id() },
        Violation::Foreign { id: id() },
        Violation::Dropped { id: id(), vm: 0, sent_ms: 1, reason: id() },
        Violation::Fell { vm: 0, from: Version(2), to: Version(1) },
        Violation::Slow { vm: 0, version: Version(2) },
        Violation::BadStop { vm: 0 },
        Violation::NotRecovered,
    ];
    let expected = serde_json::json!([
        { "doubled": { "id": "a", "runs": 2 } },
        { "false-not-run": { "id": "a" } },
        { "made-up": { "id": "a" } },
        { "foreign": { "id": "a" } },
        { "dropped": { "id": "a", "vm": 0, "sent_ms": 1, "reason": "a" } },
        { "fell": { "vm": 0, "from": 2, "to": 1 } },
        { "slow": { "vm": 0, "version": 2 } },
        { "bad-stop": { "vm": 0 } },
        "not-recovered",
    ]);
    assert_eq!(serde_json::to_value(violations).expect("violations serialize"), expected);
}

fn fatal_runs(times: &[u64]) -> Observations {
    let run = |at: &u64| FatalRun { at: self::at(*at), caller: 0, target: 1 };
    Observations { fatal_runs: times.iter().map(run).collect(), ..passing() }
}

#[test]
fn a_call_that_goes_on_crashing_targets_is_reported() {
    assert_eq!(check(&fatal_runs(&[1, 2, 3, 5, 10, 11, 12])), []);
    let violation = Violation::CrashedAgain { runs: 4 };
    assert_eq!(check(&fatal_runs(&[1, 2, 3, 5, 10, 11, 12, 13])), [violation]);
}

#[test]
fn runs_at_a_disturbed_vm_and_before_a_loss_of_all_daemons_do_not_count() {
    let mut observations = fatal_runs(&[1, 2, 3, 10, 11, 12, 13]);
    let outage = |from, until, cause| Outage { vm: 1, cause, from: at(from), until: at(until) };
    observations.outages = vec![outage(8, 9, Cause::Target)];
    assert_eq!(check(&observations), []);
    let mut observations = fatal_runs(&[1, 2, 3, 10, 11, 12, 13]);
    observations.outages = vec![Outage { vm: 0, ..outage(9, 10, Cause::Process) }];
    assert_eq!(check(&observations), []);
}

#[test]
fn an_innocent_call_that_is_shut_out_is_reported() {
    let runs = [("a".to_owned(), 0)].into();
    let calls = vec![call("a", Operation::Lookup, Outcome::BackedOff)];
    let observations = Observations { calls, runs, ..passing() };
    assert_eq!(check(&observations), [Violation::ShutOut { id: "a".to_owned() }]);
    let calls = vec![call("a", Operation::FatalLookup, Outcome::BackedOff)];
    assert_eq!(check(&Observations { calls, ..observations }), []);
}
