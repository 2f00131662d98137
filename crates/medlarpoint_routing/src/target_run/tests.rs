//! Tests of [`super`]: which calls may have ended a process.

use super::*;

const NOW: Duration = Duration::from_secs(100);
const LATER: Duration = Duration::from_secs(110);

fn call(number: u128) -> RunningCall {
    RunningCall { fingerprint: Fingerprint(number), known: Suspicion::default() }
}

fn run_with(calls: &[u128]) -> TargetRun {
    let mut run = TargetRun::default();
    for number in calls {
        run.begin(AttemptId(*number), call(*number));
    }
    run
}

fn suspects(run: &mut TargetRun, now: Duration) -> Vec<u128> {
    let end = run.end(now, run.number()).unwrap();
    end.calls.into_iter().map(|call| call.fingerprint.0).collect()
}

#[test]
fn every_call_that_was_running_may_have_ended_the_process() {
    let mut run = run_with(&[1, 2, 3]);
    run.answer(NOW, AttemptId(2));
    assert_eq!(suspects(&mut run, NOW), [1, 3]);
}

#[test]
fn the_end_of_a_run_is_recorded_once_and_later_calls_belong_to_the_next_run() {
    let mut run = run_with(&[1]);
    assert!(run.end(NOW, 0).is_some());
    assert_eq!(run.end(NOW, 0), None);
    run.begin(AttemptId(2), call(2));
    run.answer(NOW, AttemptId(1));
    assert_eq!(suspects(&mut run, NOW), [2]);
}

#[test]
fn a_lost_response_is_no_cause_once_the_process_has_outlived_it() {
    let mut run = run_with(&[1, 2]);
    run.abandon(NOW, AttemptId(1));
    run.answer(NOW, AttemptId(2));
    assert_eq!(suspects(&mut run.clone(), NOW), [1]);
    assert!(suspects(&mut run, LATER).is_empty());
}

#[test]
fn a_process_that_goes_silent_is_traced_to_calls_that_have_timed_out() {
    let mut run = run_with(&[1, 2]);
    run.answer(NOW, AttemptId(2));
    run.abandon(NOW + SUSPECT_TIME, AttemptId(1));
    assert_eq!(suspects(&mut run, LATER), [1]);
}

#[test]
fn a_target_that_has_answered_no_call_since_it_was_replaced_is_marked() {
    let mut run = run_with(&[1, 2]);
    assert!(!run.clone().end(NOW, 0).unwrap().had_answered);
    run.answer(NOW, AttemptId(1));
    assert!(run.end(NOW, 0).unwrap().had_answered);
    assert!(run.end(NOW, 1).unwrap().had_answered, "it has only restarted");
    run.replace();
    assert!(!run.end(NOW, 3).unwrap().had_answered);
}

#[test]
fn a_call_that_the_target_rejected_is_no_cause() {
    let mut run = run_with(&[1, 2]);
    run.withdraw(AttemptId(1));
    assert_eq!(suspects(&mut run, NOW), [2]);
}

/// Guards against taking a full target for one that has ended.
#[test]
fn a_run_may_have_ended_only_while_no_call_runs_and_none_was_answered_since() {
    let call = RunningCall { fingerprint: Fingerprint(1), known: Suspicion::default() };
    let mut run = TargetRun::default();
    assert!(!run.may_have_ended());
    run.begin(AttemptId(1), call);
    run.begin(AttemptId(2), call);
    run.abandon(Duration::from_secs(1), AttemptId(1));
    assert!(!run.may_have_ended(), "the other call runs");
    run.abandon(Duration::from_secs(2), AttemptId(2));
    assert!(run.may_have_ended());
    run.begin(AttemptId(3), call);
    run.answer(Duration::from_secs(3), AttemptId(3));
    assert!(!run.may_have_ended(), "the process has answered since");
}
