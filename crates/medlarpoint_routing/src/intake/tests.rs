//! Tests of [`super`]: what the inbound side says at each failure point.

use std::time::Duration;

use medlarpoint_model::{Class, Idempotency, Policy, Vm};

use super::{Action, Claimed, Ended, Intake, Reply};
use crate::{AttemptId, Claim, Head, IdempotencyKey, Known, Point};

const NOW: Duration = Duration::from_secs(100);
const BOOT: u64 = 7;
const KEY: IdempotencyKey = IdempotencyKey(5);

fn intake() -> Intake<&'static str> {
    let policy = Policy { ramp_ms: 0, queue_per_slot: 2, ..Policy::default() };
    let mut intake = Intake::new(vm("me"), BOOT, policy, Duration::ZERO);
    intake.gate_mut().set_slots(1, NOW);
    intake
}

fn vm(name: &str) -> Vm {
    Vm(name.parse().unwrap())
}

fn head(attempt: u128, key: Option<IdempotencyKey>) -> Head {
    Head {
        attempt: AttemptId(attempt),
        boot: BOOT,
        class: Class::Short,
        tenant: "t".parse().unwrap(),
        weight: 1,
        rank: 1,
        kind: "k".parse().expect("a valid literal"),
        useful_until: None,
        may_spill: false,
        deadline: NOW + Duration::from_secs(4),
        key,
        once: Idempotency::Store,
    }
}

fn point(actions: &[Action<&'static str>]) -> Option<Point> {
    match actions.last() {
        Some(Action::Reply { reply: Reply::NotRun { point, .. }, .. }) => Some(*point),
        _ => None,
    }
}

/// Lets a keyed attempt run.
fn run_keyed(intake: &mut Intake<&'static str>, attempt: u128) {
    let actions = intake.arrive(NOW, head(attempt, Some(KEY)));
    assert_eq!(actions, [Action::Claim { attempt: AttemptId(attempt), key: KEY }]);
    let actions = intake.claimed(NOW, AttemptId(attempt), Claimed::Mine);
    assert_eq!(actions, [Action::HandOver { attempt: AttemptId(attempt) }]);
}

#[test]
fn an_attempt_for_an_earlier_run_is_not_run() {
    let mut intake = intake();
    let actions = intake.arrive(NOW, Head { boot: BOOT - 1, ..head(1, None) });
    assert_eq!(point(&actions), Some(Point::Restarted));
}

#[test]
fn a_target_that_refuses_is_not_run() {
    let mut intake = intake();
    intake.arrive(NOW, head(1, None));
    let actions = intake.ended(NOW, AttemptId(1), Ended::NotHanded);
    assert_eq!(point(&actions), Some(Point::TargetConnect));
}

#[test]
fn a_lost_target_is_unknown() {
    let mut intake = intake();
    run_keyed(&mut intake, 1);
    let reply = Reply::Unknown(Point::TargetLost);
    let actions = intake.ended(NOW, AttemptId(1), Ended::Broken);
    assert_eq!(actions, [Action::Reply { attempt: AttemptId(1), reply: reply.clone() }]);
    let actions = intake.arrive(NOW, head(2, Some(KEY)));
    assert_eq!(actions, [Action::Reply { attempt: AttemptId(2), reply }]);
}

#[test]
fn without_a_claim_nothing_is_handed_over() {
    let mut intake = intake();
    intake.arrive(NOW, head(1, Some(KEY)));
    let actions = intake.claimed(NOW, AttemptId(1), Claimed::Failed);
    assert_eq!(point(&actions), Some(Point::ClaimFailed));
    assert_eq!(intake.unfinished(), 0);
}

#[test]
fn a_claim_of_another_is_pointed_to() {
    let mut intake = intake();
    intake.arrive(NOW, head(1, Some(KEY)));
    let claim = Claim { vm: vm("other"), boot: 3 };
    let actions = intake.claimed(NOW, AttemptId(1), Claimed::Theirs(claim.clone()));
    let reply = Reply::ClaimedBy(claim);
    assert_eq!(actions, [Action::Reply { attempt: AttemptId(1), reply }]);
}

#[test]
fn a_claim_of_this_run_that_is_not_remembered_is_unknown() {
    let mut intake = intake();
    intake.arrive(NOW, head(1, Some(KEY)));
    let claim = Claim { vm: vm("me"), boot: BOOT };
    let actions = intake.claimed(NOW, AttemptId(1), Claimed::Theirs(claim));
    let reply = Reply::Unknown(Point::ClaimOrphaned);
    assert_eq!(actions, [Action::Reply { attempt: AttemptId(1), reply }]);
}

#[test]
fn a_resent_key_waits_for_the_first_and_gets_its_answer() {
    let mut intake = intake();
    run_keyed(&mut intake, 1);
    assert_eq!(intake.arrive(NOW, head(2, Some(KEY))), []);
    let actions = intake.ended(NOW, AttemptId(1), Ended::Answered(Some("booked")));
    let reply = Reply::Replay("booked");
    assert_eq!(actions, [Action::Reply { attempt: AttemptId(2), reply: reply.clone() }]);
    let actions = intake.arrive(NOW, head(3, Some(KEY)));
    assert_eq!(actions, [Action::Reply { attempt: AttemptId(3), reply }]);
}

#[test]
fn an_attempt_asked_after_before_it_comes_does_not_run() {
    let mut intake = intake();
    let age = Duration::from_millis(500);
    assert_eq!(intake.query(NOW, AttemptId(1), BOOT, age), Known::Unseen);
    let actions = intake.arrive(NOW, head(1, None));
    assert_eq!(point(&actions), Some(Point::Refused));
}

#[test]
fn an_attempt_that_ended_is_not_called_unseen() {
    let mut intake = intake();
    intake.arrive(NOW, head(1, None));
    let age = Duration::from_millis(500);
    assert_eq!(intake.query(NOW, AttemptId(1), BOOT, age), Known::Running);
    intake.ended(NOW, AttemptId(1), Ended::Answered(None));
    assert_eq!(intake.query(NOW, AttemptId(1), BOOT, age), Known::Finished);
    let later = NOW + Duration::from_secs(60);
    intake.sweep(later);
    let old = Duration::from_secs(60);
    assert_eq!(intake.query(later, AttemptId(1), BOOT, old), Known::Forgotten);
}

#[test]
fn a_draining_target_takes_nothing_new_but_finishes() {
    let mut intake = intake();
    intake.arrive(NOW, head(1, None));
    intake.set_draining(true);
    assert_eq!(point(&intake.arrive(NOW, head(2, None))), Some(Point::Refused));
    assert_eq!(intake.unfinished(), 1);
    intake.ended(NOW, AttemptId(1), Ended::Answered(None));
    assert_eq!(intake.unfinished(), 0);
}

#[test]
fn a_cancelled_call_leaves_the_queue_and_a_running_one_is_aborted() {
    let mut intake = intake();
    intake.arrive(NOW, head(1, None));
    intake.arrive(NOW, head(2, None));
    assert_eq!(intake.cancel(NOW, AttemptId(2)), []);
    let abort = Action::Abort { attempt: AttemptId(1) };
    assert_eq!(intake.cancel(NOW, AttemptId(1)), [abort]);
    assert_eq!(intake.load(NOW).queued, 0);
}
