//! Tests of [`super`]: the reply of the inbound side at each point of failure.

use std::time::Duration;

use medlarpoint_model::{Class, Idempotency, Policy, Vm};

use super::{Action, ClaimResult, Completion, Intake, Reply};
use crate::{
    AttemptId, AttemptInfo, AttemptStatus, Claim, FailurePoint, IdempotencyKey, RequestLink,
};

const NOW: Duration = Duration::from_secs(100);
const BOOT: u64 = 7;
const KEY: IdempotencyKey = IdempotencyKey(5);

fn intake() -> Intake<&'static str> {
    let policy = Policy { queue_per_slot: 2, ..Policy::default() };
    let mut intake = Intake::new(vm("me"), BOOT, policy);
    intake.scheduler_mut().set_slots(1, NOW);
    intake
}

fn vm(name: &str) -> Vm {
    Vm(name.parse().unwrap())
}

fn info(attempt: u128, key: Option<IdempotencyKey>) -> AttemptInfo {
    AttemptInfo {
        attempt: AttemptId(attempt),
        boot: BOOT,
        class: Class::Short,
        tenant: "t".parse().unwrap(),
        in_workspace: false,
        weight: 1,
        body_bytes: 0,
        rank: 1,
        route: "k".parse().expect("a valid literal"),
        useful_until: None,
        may_spill: false,
        suspect: false,
        expected: None,
        deadline: NOW + Duration::from_secs(4),
        key,
        idempotency: Idempotency::Store,
    }
}

fn point(actions: &[Action<&'static str>]) -> Option<FailurePoint> {
    match actions.last() {
        Some(Action::Reply { reply: Reply::NotRun { point, .. }, .. }) => Some(*point),
        _ => None,
    }
}

/// Starts an attempt with a key, claim included.
fn run_keyed(intake: &mut Intake<&'static str>, attempt: u128) {
    let actions = intake.arrive(NOW, info(attempt, Some(KEY)));
    assert_eq!(actions, [Action::Claim { attempt: AttemptId(attempt), key: KEY }]);
    let actions = intake.claimed(NOW, AttemptId(attempt), ClaimResult::Acquired);
    assert_eq!(actions, [Action::HandOver { attempt: AttemptId(attempt) }]);
}

#[test]
fn an_attempt_for_an_earlier_boot_is_not_run() {
    let mut intake = intake();
    let actions = intake.arrive(NOW, AttemptInfo { boot: BOOT - 1, ..info(1, None) });
    assert_eq!(point(&actions), Some(FailurePoint::Restarted));
}

#[test]
fn an_attempt_is_not_run_if_its_target_refuses_the_connection() {
    let mut intake = intake();
    intake.arrive(NOW, info(1, None));
    let actions = intake.completed(NOW, AttemptId(1), Completion::NotRun);
    assert_eq!(point(&actions), Some(FailurePoint::TargetConnect));
}

#[test]
fn the_outcome_is_unknown_if_the_connection_to_the_target_is_lost() {
    let mut intake = intake();
    run_keyed(&mut intake, 1);
    let reply = Reply::Unknown(FailurePoint::TargetLost);
    let actions = intake.completed(NOW, AttemptId(1), Completion::Lost);
    assert_eq!(actions, [Action::Reply { attempt: AttemptId(1), reply: reply.clone() }]);
    let actions = intake.arrive(NOW, info(2, Some(KEY)));
    assert_eq!(actions, [Action::Reply { attempt: AttemptId(2), reply }]);
}

#[test]
fn an_attempt_whose_claim_fails_is_not_handed_over() {
    let mut intake = intake();
    intake.arrive(NOW, info(1, Some(KEY)));
    let actions = intake.claimed(NOW, AttemptId(1), ClaimResult::Failed);
    assert_eq!(point(&actions), Some(FailurePoint::ClaimFailed));
    assert_eq!(intake.unfinished(), 0);
}

#[test]
fn a_claim_held_by_another_vm_is_reported_with_its_holder() {
    let mut intake = intake();
    intake.arrive(NOW, info(1, Some(KEY)));
    let claim = Claim { vm: vm("other"), boot: 3 };
    let actions = intake.claimed(NOW, AttemptId(1), ClaimResult::HeldBy(claim.clone()));
    let reply = Reply::ClaimedBy(claim);
    assert_eq!(actions, [Action::Reply { attempt: AttemptId(1), reply }]);
}

#[test]
fn a_claim_held_by_this_run_without_a_known_outcome_is_unknown() {
    let mut intake = intake();
    intake.arrive(NOW, info(1, Some(KEY)));
    let claim = Claim { vm: vm("me"), boot: BOOT };
    let actions = intake.claimed(NOW, AttemptId(1), ClaimResult::HeldBy(claim));
    let reply = Reply::Unknown(FailurePoint::ClaimOrphaned);
    assert_eq!(actions, [Action::Reply { attempt: AttemptId(1), reply }]);
}

#[test]
fn a_repeated_key_waits_for_the_first_attempt_and_gets_its_response() {
    let mut intake = intake();
    run_keyed(&mut intake, 1);
    assert_eq!(intake.arrive(NOW, info(2, Some(KEY))), []);
    let actions = intake.completed(NOW, AttemptId(1), Completion::Responded(Some("booked")));
    let reply = Reply::Replay("booked");
    assert_eq!(actions, [Action::Reply { attempt: AttemptId(2), reply: reply.clone() }]);
    let actions = intake.arrive(NOW, info(3, Some(KEY)));
    assert_eq!(actions, [Action::Reply { attempt: AttemptId(3), reply }]);
}

#[test]
fn an_attempt_queried_before_it_arrives_does_not_run() {
    let mut intake = intake();
    let age = Duration::from_millis(500);
    assert_eq!(intake.query(NOW, AttemptId(1), BOOT, age), AttemptStatus::Unseen);
    let actions = intake.arrive(NOW, info(1, None));
    assert_eq!(point(&actions), Some(FailurePoint::Refused));
}

#[test]
fn an_attempt_that_finished_is_not_reported_as_unseen() {
    let mut intake = intake();
    intake.arrive(NOW, info(1, None));
    let age = Duration::from_millis(500);
    assert_eq!(intake.query(NOW, AttemptId(1), BOOT, age), AttemptStatus::Running);
    intake.completed(NOW, AttemptId(1), Completion::Responded(None));
    assert_eq!(intake.query(NOW, AttemptId(1), BOOT, age), AttemptStatus::Finished);
    let later = NOW + Duration::from_secs(60);
    intake.sweep(later);
    let old = Duration::from_secs(60);
    assert_eq!(intake.query(later, AttemptId(1), BOOT, old), AttemptStatus::Forgotten);
}

#[test]
fn a_draining_target_rejects_new_calls_and_finishes_running_ones() {
    let mut intake = intake();
    intake.arrive(NOW, info(1, None));
    intake.set_draining(true);
    assert_eq!(point(&intake.arrive(NOW, info(2, None))), Some(FailurePoint::Refused));
    assert_eq!(intake.unfinished(), 1);
    intake.completed(NOW, AttemptId(1), Completion::Responded(None));
    assert_eq!(intake.unfinished(), 0);
}

#[test]
fn a_cancelled_call_is_removed_from_the_queue_or_aborted_if_it_runs() {
    let mut intake = intake();
    intake.arrive(NOW, info(1, None));
    intake.arrive(NOW, info(2, None));
    assert_eq!(intake.cancel(NOW, AttemptId(2)), []);
    let abort = Action::Abort { attempt: AttemptId(1) };
    assert_eq!(intake.cancel(NOW, AttemptId(1)), [abort]);
    assert_eq!(intake.load(NOW).queued, 0);
}

/// An intake with a pace, whose target has started with a quarter of 16 slots.
fn paced_intake() -> Intake<&'static str> {
    let mut intake = intake();
    intake.scheduler_mut().set_slots(0, NOW);
    intake.scheduler_mut().set_target_pace(NOW, true);
    intake.scheduler_mut().set_slots(16, NOW);
    assert_eq!(intake.load(NOW).slots, 4);
    intake
}

/// Runs four calls that each take `took`, with an expected time of 100 ms.
fn run_four(intake: &mut Intake<&'static str>, took: Duration, suspect: bool) {
    let expected = Some(Duration::from_millis(100));
    for attempt in 1..=4 {
        intake.arrive(NOW, AttemptInfo { suspect, expected, ..info(attempt, None) });
        if suspect {
            intake.completed(NOW + took, AttemptId(attempt), Completion::Responded(None));
        }
    }
    for attempt in 1..=4 {
        intake.completed(NOW + took, AttemptId(attempt), Completion::Responded(None));
    }
}

#[test]
fn the_usable_slots_follow_from_the_answers() {
    for (took_ms, usable) in [(100, 8), (200, 5), (400, 2)] {
        let mut intake = paced_intake();
        let took = Duration::from_millis(took_ms);
        run_four(&mut intake, took, false);
        assert_eq!(intake.load(NOW + took).slots, usable, "{took_ms} ms");
    }
}

/// Guards against a call that may crash the target, and so ends late or not at all, and
/// takes the slots from other calls.
#[test]
fn suspects_do_not_change_the_usable_slots() {
    let mut intake = paced_intake();
    run_four(&mut intake, Duration::from_secs(2), true);
    assert_eq!(intake.load(NOW).slots, 4);
}

/// Guards against cuts by rejections that say nothing about the pace: of a target that
/// shuts down, and of one beyond the calls per second that it names.
#[test]
fn rejections_cut_the_usable_slots_unless_the_target_drains_or_names_a_limit() {
    let reject = |prepare: fn(&mut Intake<&'static str>)| {
        let mut intake = paced_intake();
        intake.arrive(NOW, info(1, None));
        prepare(&mut intake);
        let actions = intake.completed(NOW, AttemptId(1), Completion::Rejected);
        assert_eq!(point(&actions), Some(FailurePoint::TargetConnect));
        intake.set_draining(false);
        intake.scheduler_mut().on_target_response(NOW, None);
        intake.load(NOW).slots
    };
    assert_eq!(reject(|_| {}), 2);
    assert_eq!(reject(|intake| intake.set_draining(true)), 4);
    let name_limit = |intake: &mut Intake<&'static str>| {
        intake.scheduler_mut().on_target_response(NOW, Some(500.0));
    };
    assert_eq!(reject(name_limit), 4);
}

/// Guards against a slow caller that makes the target of its large response seem slow.
#[test]
fn the_time_for_which_a_response_is_sent_does_not_count() {
    let mut intake = paced_intake();
    let expected = Some(Duration::from_millis(100));
    let answered_at = NOW + Duration::from_millis(100);
    for attempt in 1..=4 {
        intake.arrive(NOW, AttemptInfo { expected, ..info(attempt, None) });
    }
    for attempt in 1..=4 {
        intake.answered(answered_at, AttemptId(attempt));
    }
    assert_eq!(intake.load(answered_at).slots, 8);
    let sent_at = NOW + Duration::from_secs(60);
    for attempt in 1..=4 {
        intake.completed(sent_at, AttemptId(attempt), Completion::Responded(None));
    }
    assert_eq!((intake.load(sent_at).slots, intake.unfinished()), (8, 0));
}

/// An intake on a narrow link, and the properties of a call with a large body.
fn narrow_intake() -> Intake<&'static str> {
    let mut intake = intake();
    intake.scheduler_mut().set_request_link(RequestLink::new(Some(10.0)));
    intake
}

fn upload(attempt: u128) -> AttemptInfo {
    AttemptInfo { body_bytes: 60_000, ..info(attempt, None) }
}

/// Returns the time at which an action starts to receive a body.
fn receive_start(actions: &[Action<&'static str>]) -> Option<Duration> {
    match actions {
        [Action::Receive { start, .. }] => Some(*start),
        _ => None,
    }
}

#[test]
fn a_call_with_a_large_body_runs_once_the_body_is_complete() {
    let mut intake = narrow_intake();
    let actions = intake.arrive(NOW, upload(1));
    assert_eq!(receive_start(&actions), Some(NOW));
    assert_eq!(intake.load(NOW).running, 0);
    assert_eq!(intake.query(NOW, AttemptId(1), BOOT, Duration::ZERO), AttemptStatus::Running);
    let actions = intake.body_received(NOW, AttemptId(1));
    assert_eq!(actions, [Action::HandOver { attempt: AttemptId(1) }]);
}

#[test]
fn large_bodies_are_received_one_after_the_other() {
    let mut intake = narrow_intake();
    intake.arrive(NOW, upload(1));
    let second = receive_start(&intake.arrive(NOW, upload(2))).expect("it is admitted");
    assert!(second > NOW + Duration::from_millis(48), "the first takes 48 ms on the link");
    let small = intake.arrive(NOW, info(3, None));
    assert_eq!(small, [Action::HandOver { attempt: AttemptId(3) }]);
}

#[test]
fn the_link_is_released_if_the_caller_leaves_before_its_body_is_received() {
    let mut intake = narrow_intake();
    intake.arrive(NOW, upload(1));
    let second = receive_start(&intake.arrive(NOW, upload(2)));
    assert_eq!(intake.cancel(NOW, AttemptId(2)).len(), 1);
    assert_eq!(receive_start(&intake.arrive(NOW, upload(3))), second);
    assert!(intake.body_received(NOW, AttemptId(2)).is_empty());
    assert_eq!(intake.unfinished(), 2);
}

#[test]
fn a_body_that_breaks_off_is_not_run() {
    let mut intake = narrow_intake();
    intake.arrive(NOW, upload(1));
    let actions = intake.body_lost(NOW, AttemptId(1));
    assert_eq!(point(&actions), Some(FailurePoint::Refused));
    assert_eq!(intake.unfinished(), 0);
}

#[test]
fn a_key_is_free_again_if_the_caller_leaves_before_its_body_is_received() {
    let mut intake = narrow_intake();
    intake.arrive(NOW, AttemptInfo { key: Some(KEY), ..upload(1) });
    intake.arrive(NOW, AttemptInfo { key: Some(KEY), ..upload(2) });
    let actions = intake.cancel(NOW, AttemptId(1));
    assert_eq!(actions.len(), 2, "both attempts are answered: {actions:?}");
    assert!(
        receive_start(&intake.arrive(NOW, AttemptInfo { key: Some(KEY), ..upload(3) })).is_some()
    );
}

#[test]
fn a_draining_target_rejects_bodies_that_are_being_received() {
    let mut intake = narrow_intake();
    intake.arrive(NOW, upload(1));
    intake.set_draining(true);
    assert_eq!(point(&intake.reject_queued(NOW)), Some(FailurePoint::Refused));
    assert!(intake.body_received(NOW, AttemptId(1)).is_empty());
}
