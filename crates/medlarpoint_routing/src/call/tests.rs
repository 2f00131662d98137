//! Tests of [`super`]: one for each failure point that the outbound side sees.

use std::net::SocketAddr;
use std::time::Duration;

use medlarpoint_model::Vm;

use super::{Action, AttemptResult, AttemptStatus, Call, CallResult, Constraints, Event, Selector};
use crate::{AttemptId, Claim, Destination, FailurePoint};

const START: Duration = Duration::from_secs(10);
const DEADLINE: Duration = Duration::from_secs(14);

/// Offers targets in order, with budgets that can be empty.
struct Chooser {
    vms: Vec<&'static str>,
    retries: u32,
    attempts: u128,
}

impl Chooser {
    fn new(vms: &[&'static str]) -> Self {
        Self { vms: vms.to_vec(), retries: 10, attempts: 0 }
    }

    fn choice(name: &str) -> Destination {
        let address = SocketAddr::from(([127, 0, 0, 1], 1));
        Destination { vm: Vm(name.parse().unwrap()), boot: 7, address }
    }
}

impl Selector for Chooser {
    fn pick(&mut self, _: Duration, exclude: &[Vm], busy: &[Vm]) -> Option<Destination> {
        let among = |name: &str, vms: &[Vm]| vms.iter().any(|vm| vm.as_str() == name);
        let free: Vec<&str> =
            self.vms.iter().copied().filter(|name| !among(name, exclude)).collect();
        let idle = free.iter().find(|name| !among(name, busy));
        idle.or(free.first()).map(|name| Self::choice(name))
    }

    fn locate(&mut self, _: Duration, vm: &Vm) -> Option<Destination> {
        self.vms.iter().find(|name| **name == vm.as_str()).map(|name| Self::choice(name))
    }

    fn spend_retry(&mut self) -> bool {
        let may = self.retries > 0;
        self.retries = self.retries.saturating_sub(1);
        may
    }

    fn spend_hedge(&mut self) -> bool {
        true
    }

    fn new_attempt_id(&mut self) -> AttemptId {
        self.attempts += 1;
        AttemptId(self.attempts)
    }
}

fn terms(repeatable: bool, keyed: bool) -> Constraints {
    Constraints {
        repeatable,
        keyed,
        max_target_attempts: 3,
        may_retry: true,
        deadline: DEADLINE,
        useful_until: None,
        min_attempt_time: Duration::ZERO,
        hedge_after: None,
        query_after: Duration::from_millis(500),
    }
}

fn start(terms: Constraints, chooser: &mut Chooser) -> Call {
    let (call, actions) = Call::start(START, terms, chooser);
    assert!(matches!(actions[..], [Action::Send(AttemptId(1), _)]), "{actions:?}");
    call
}

fn not_run(point: FailurePoint) -> AttemptResult {
    AttemptResult::NotRun { point, retry_after: Duration::from_millis(70) }
}

fn sent_to(actions: &[Action]) -> Option<&str> {
    match actions {
        [Action::Send(_, choice)] => Some(choice.vm.as_str()),
        _ => None,
    }
}

fn finished(actions: &[Action]) -> Option<CallResult> {
    match actions.last() {
        Some(Action::Finish(outcome)) => Some(*outcome),
        _ => None,
    }
}

#[test]
fn no_target_is_not_run() {
    let (_, actions) = Call::start(START, terms(false, false), &mut Chooser::new(&[]));
    let outcome = finished(&actions);
    assert!(matches!(outcome, Some(CallResult::NotRun { point: FailurePoint::NoTarget, .. })));
}

#[test]
fn a_refused_connection_is_tried_elsewhere() {
    let mut chooser = Chooser::new(&["a", "b"]);
    let mut call = start(terms(false, false), &mut chooser);
    let actions =
        call.handle(START, Event::Failed(AttemptId(1), FailurePoint::Connect), &mut chooser);
    assert_eq!(sent_to(&actions), Some("b"));
}

#[test]
fn a_refusal_is_tried_elsewhere() {
    let mut chooser = Chooser::new(&["a", "b"]);
    let mut call = start(terms(false, true), &mut chooser);
    let refused = Event::Responded(AttemptId(1), not_run(FailurePoint::Refused));
    assert_eq!(sent_to(&call.handle(START, refused, &mut chooser)), Some("b"));
    let refused = Event::Responded(AttemptId(2), not_run(FailurePoint::Refused));
    let retry_after = Duration::from_millis(70);
    let told = finished(&call.handle(START, refused, &mut chooser));
    assert_eq!(told, Some(CallResult::NotRun { point: FailurePoint::Refused, retry_after }));
}

#[test]
fn an_empty_budget_ends_the_call() {
    let mut chooser = Chooser::new(&["a", "b"]);
    chooser.retries = 0;
    let mut call = start(terms(true, false), &mut chooser);
    let refused = Event::Responded(AttemptId(1), not_run(FailurePoint::TargetShed));
    assert!(matches!(
        finished(&call.handle(START, refused, &mut chooser)),
        Some(CallResult::NotRun { point: FailurePoint::TargetShed, .. })
    ));
}

#[test]
fn a_refusal_before_any_target_was_reached_costs_no_budget() {
    let mut chooser = Chooser::new(&["a", "b"]);
    chooser.retries = 0;
    let mut call = start(terms(true, false), &mut chooser);
    let refused = Event::Responded(AttemptId(1), not_run(FailurePoint::Refused));
    assert_eq!(sent_to(&call.handle(START, refused, &mut chooser)), Some("b"));
}

#[test]
fn a_target_that_sheds_is_left_for_another_within_the_budget() {
    let mut chooser = Chooser::new(&["a", "b", "c"]);
    let mut call =
        start(Constraints { max_target_attempts: 2, ..terms(false, false) }, &mut chooser);
    let shed = |id| Event::Responded(AttemptId(id), not_run(FailurePoint::TargetShed));
    assert_eq!(sent_to(&call.handle(START, shed(1), &mut chooser)), Some("b"));
    assert_eq!(chooser.retries, 9);
    // Two targets were given the call, which is the most the route allows.
    let told = finished(&call.handle(START, shed(2), &mut chooser));
    assert!(matches!(told, Some(CallResult::NotRun { point: FailurePoint::TargetShed, .. })));
}

#[test]
fn a_busy_target_spills_to_others_and_then_the_call_waits() {
    let mut chooser = Chooser::new(&["a", "b", "c"]);
    let mut call = start(terms(false, false), &mut chooser);
    let vm = |name: &str| Vm(name.parse().unwrap());
    assert!(call.may_spill(&vm("a")));
    let busy = |id| Event::Responded(AttemptId(id), not_run(FailurePoint::Busy));
    assert_eq!(sent_to(&call.handle(START, busy(1), &mut chooser)), Some("b"));
    assert!(!call.may_spill(&vm("a")) && call.may_spill(&vm("b")));
    assert_eq!(sent_to(&call.handle(START, busy(2), &mut chooser)), Some("c"));
    assert!(!call.may_spill(&vm("c")));
    let refused = Event::Responded(AttemptId(3), not_run(FailurePoint::Refused));
    assert_eq!(sent_to(&call.handle(START, refused, &mut chooser)), Some("a"));
}

#[test]
fn a_late_call_that_is_refused_is_told_at_once() {
    for (waited_ms, elsewhere) in [(100, Some("b")), (700, None)] {
        let mut chooser = Chooser::new(&["a", "b"]);
        let useful_until = Some(START + Duration::from_millis(600));
        let mut call = start(Constraints { useful_until, ..terms(true, false) }, &mut chooser);
        let now = START + Duration::from_millis(waited_ms);
        let refused = Event::Responded(AttemptId(1), not_run(FailurePoint::Refused));
        assert_eq!(sent_to(&call.handle(now, refused, &mut chooser)), elsewhere);
    }
}

#[test]
fn too_little_time_for_another_attempt_ends_the_call_as_not_run() {
    let mut chooser = Chooser::new(&["a", "b"]);
    let least_time = Duration::from_millis(100);
    let mut call =
        start(Constraints { min_attempt_time: least_time, ..terms(true, false) }, &mut chooser);
    let late = DEADLINE.saturating_sub(Duration::from_millis(90));
    let refused = Event::Responded(AttemptId(1), not_run(FailurePoint::Refused));
    let told = finished(&call.handle(late, refused, &mut chooser));
    assert!(matches!(told, Some(CallResult::NotRun { point: FailurePoint::Refused, .. })));
}

#[test]
fn a_failure_is_told_if_nothing_better_comes() {
    let failed = |id| Event::Responded(AttemptId(id), AttemptResult::Failure);
    let mut chooser = Chooser::new(&["a", "b"]);
    let mut call = start(terms(false, false), &mut chooser);
    let told = finished(&call.handle(START, failed(1), &mut chooser));
    assert_eq!(told, Some(CallResult::Response(AttemptId(1))));
    let mut chooser = Chooser::new(&["a", "b"]);
    let mut call = start(terms(true, false), &mut chooser);
    assert_eq!(sent_to(&call.handle(START, failed(1), &mut chooser)), Some("b"));
    let refused = Event::Responded(AttemptId(2), not_run(FailurePoint::Refused));
    let told = finished(&call.handle(START, refused, &mut chooser));
    assert_eq!(told, Some(CallResult::Response(AttemptId(1))));
}

#[test]
fn a_garbled_answer_is_never_passed_on() {
    for (repeatable, told) in
        [(false, Some(CallResult::Unknown(FailurePoint::TargetGarbled))), (true, None)]
    {
        let mut chooser = Chooser::new(&["a", "b"]);
        let mut call = start(terms(repeatable, false), &mut chooser);
        let garbled =
            Event::Responded(AttemptId(1), AttemptResult::Unknown(FailurePoint::TargetGarbled));
        let actions = call.handle(START, garbled, &mut chooser);
        assert_eq!(finished(&actions), told);
        assert_eq!(sent_to(&actions), repeatable.then_some("b"));
    }
}

#[test]
fn only_one_layer_retries() {
    let mut chooser = Chooser::new(&["a", "b"]);
    let below = Constraints { may_retry: false, ..terms(true, false) };
    let mut call = start(below, &mut chooser);
    let refused = Event::Responded(AttemptId(1), not_run(FailurePoint::Refused));
    assert!(finished(&call.handle(START, refused, &mut chooser)).is_some());
}

#[test]
fn a_broken_connection_is_asked_after() {
    let mut chooser = Chooser::new(&["a", "b"]);
    let mut call = start(terms(false, false), &mut chooser);
    let actions = call.handle(START, Event::Failed(AttemptId(1), FailurePoint::Sent), &mut chooser);
    assert!(matches!(actions[..], [Action::Query(AttemptId(1), _)]));
    let finished_there = Event::StatusReceived(AttemptId(1), AttemptStatus::Finished);
    assert_eq!(finished(&call.handle(START, finished_there, &mut chooser)), Some(CallResult::Ran));
}

#[test]
fn an_attempt_never_seen_is_sent_again() {
    let mut chooser = Chooser::new(&["a", "b"]);
    let mut call = start(terms(false, false), &mut chooser);
    let later = START + Duration::from_millis(500);
    assert_eq!(call.next_wake(), later);
    let actions = call.handle(later, Event::Wake, &mut chooser);
    assert!(matches!(actions[..], [Action::Query(AttemptId(1), _)]));
    let unseen = Event::StatusReceived(AttemptId(1), AttemptStatus::Unseen);
    assert_eq!(sent_to(&call.handle(later, unseen, &mut chooser)), Some("b"));
}

#[test]
fn a_restarted_proxy_leaves_the_outcome_unknown() {
    let mut chooser = Chooser::new(&["a", "b"]);
    let mut call = start(terms(false, false), &mut chooser);
    call.handle(START, Event::Failed(AttemptId(1), FailurePoint::Sent), &mut chooser);
    let restarted = Event::StatusReceived(AttemptId(1), AttemptStatus::Restarted);
    let told = finished(&call.handle(START, restarted, &mut chooser));
    assert_eq!(told, Some(CallResult::Unknown(FailurePoint::Silent)));
}

#[test]
fn a_lost_answer_ends_a_call_that_may_not_be_repeated() {
    let mut chooser = Chooser::new(&["a", "b"]);
    let mut call = start(terms(false, false), &mut chooser);
    let ran = Event::Responded(AttemptId(1), AttemptResult::Ran);
    assert_eq!(finished(&call.handle(START, ran, &mut chooser)), Some(CallResult::Ran));
    let mut chooser = Chooser::new(&["a", "b"]);
    let mut call = start(terms(true, false), &mut chooser);
    let ran = Event::Responded(AttemptId(1), AttemptResult::Ran);
    assert_eq!(sent_to(&call.handle(START, ran, &mut chooser)), Some("b"));
}

#[test]
fn a_lost_target_is_tried_elsewhere_only_if_repeatable() {
    for (repeatable, elsewhere) in [(true, Some("b")), (false, None)] {
        let mut chooser = Chooser::new(&["a", "b"]);
        let mut call = start(terms(repeatable, false), &mut chooser);
        let lost = Event::Responded(AttemptId(1), AttemptResult::Unknown(FailurePoint::TargetLost));
        let actions = call.handle(START, lost, &mut chooser);
        assert_eq!(sent_to(&actions), elsewhere);
        assert_eq!(finished(&actions).is_some(), !repeatable);
    }
}

#[test]
fn an_orphaned_claim_is_unknown() {
    let mut chooser = Chooser::new(&["a", "b"]);
    let mut call = start(terms(false, true), &mut chooser);
    let claim = Claim { vm: Vm("b".parse().unwrap()), boot: 6 };
    let claimed = Event::Responded(AttemptId(1), AttemptResult::ClaimedBy(claim));
    let told = finished(&call.handle(START, claimed, &mut chooser));
    assert_eq!(told, Some(CallResult::Unknown(FailurePoint::ClaimOrphaned)));
}

#[test]
fn the_holder_of_a_claim_is_asked() {
    let mut chooser = Chooser::new(&["a", "b"]);
    let mut call = start(terms(false, true), &mut chooser);
    let claim = Claim { vm: Vm("b".parse().unwrap()), boot: 7 };
    let claimed = Event::Responded(AttemptId(1), AttemptResult::ClaimedBy(claim));
    assert_eq!(sent_to(&call.handle(START, claimed, &mut chooser)), Some("b"));
}

#[test]
fn a_resent_key_never_ends_as_not_run() {
    let mut chooser = Chooser::new(&["a"]);
    let mut call = start(terms(false, true), &mut chooser);
    call.handle(START, Event::Failed(AttemptId(1), FailurePoint::Sent), &mut chooser);
    let finished_there = Event::StatusReceived(AttemptId(1), AttemptStatus::Finished);
    assert_eq!(sent_to(&call.handle(START, finished_there, &mut chooser)), Some("a"));
    let restarted = Event::Responded(AttemptId(2), not_run(FailurePoint::Restarted));
    let told = finished(&call.handle(START, restarted, &mut chooser));
    assert_eq!(told, Some(CallResult::Unknown(FailurePoint::HalfAnswer)));
}

#[test]
fn the_deadline_answers_at_once() {
    let mut chooser = Chooser::new(&["a", "b"]);
    let mut call = start(terms(true, false), &mut chooser);
    let actions = call.handle(DEADLINE, Event::Wake, &mut chooser);
    assert!(matches!(
        actions[..],
        [Action::Cancel(AttemptId(1)), Action::Finish(CallResult::Unknown(FailurePoint::Deadline))]
    ));
    assert!(call.is_finished());
}

#[test]
fn a_hedge_goes_elsewhere_and_the_loser_is_cancelled() {
    let mut chooser = Chooser::new(&["a", "b"]);
    let hedged = Constraints { hedge_after: Some(Duration::from_millis(20)), ..terms(true, false) };
    let mut call = start(hedged, &mut chooser);
    let later = START + Duration::from_millis(20);
    assert_eq!(sent_to(&call.handle(later, Event::Wake, &mut chooser)), Some("b"));
    let answer = Event::Responded(AttemptId(2), AttemptResult::Response);
    let actions = call.handle(later, answer, &mut chooser);
    assert_eq!(
        actions,
        [Action::Cancel(AttemptId(1)), Action::Finish(CallResult::Response(AttemptId(2)))]
    );
}
