//! Tests of the outbound side of a call, one for each failure point it can see.

use std::net::SocketAddr;
use std::time::Duration;

use medlarpoint_model::Vm;

use super::{Action, AttemptResult, AttemptStatus, Call, CallResult, Constraints, Event, Selector};
use crate::{AttemptId, Claim, Destination, FailurePoint};

const START: Duration = Duration::from_secs(10);
const DEADLINE: Duration = Duration::from_secs(14);

/// Offers targets in order; the retry budget can be exhausted.
struct TestSelector {
    vms: Vec<&'static str>,
    retries: u32,
    attempts: u128,
    /// Time after which the call may run again after crashes.
    crash_backoff: Option<Duration>,
}

impl TestSelector {
    fn new(vms: &[&'static str]) -> Self {
        Self { vms: vms.to_vec(), retries: 10, attempts: 0, crash_backoff: None }
    }

    fn destination(name: &str) -> Destination {
        let address = SocketAddr::from(([127, 0, 0, 1], 1));
        Destination { vm: Vm(name.parse().unwrap()), boot: 7, address }
    }
}

impl Selector for TestSelector {
    fn pick(&mut self, _: Duration, exclude: &[Vm], busy: &[Vm]) -> Option<Destination> {
        let contains = |name: &str, vms: &[Vm]| vms.iter().any(|vm| vm.as_str() == name);
        let free: Vec<&str> =
            self.vms.iter().copied().filter(|name| !contains(name, exclude)).collect();
        let idle = free.iter().find(|name| !contains(name, busy));
        idle.or(free.first()).map(|name| Self::destination(name))
    }

    fn locate(&mut self, _: Duration, vm: &Vm) -> Option<Destination> {
        self.vms.iter().find(|name| **name == vm.as_str()).map(|name| Self::destination(name))
    }

    fn spend_retry(&mut self) -> bool {
        let available = self.retries > 0;
        self.retries = self.retries.saturating_sub(1);
        available
    }

    fn spend_hedge(&mut self) -> bool {
        true
    }

    fn crash_backoff(&mut self, _: Duration) -> Option<Duration> {
        self.crash_backoff
    }

    fn new_attempt_id(&mut self) -> AttemptId {
        self.attempts += 1;
        AttemptId(self.attempts)
    }
}

fn constraints(repeatable: bool, keyed: bool) -> Constraints {
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

fn start(constraints: Constraints, selector: &mut TestSelector) -> Call {
    let (call, actions) = Call::start(START, constraints, selector);
    assert!(matches!(actions[..], [Action::Send(AttemptId(1), _)]), "{actions:?}");
    call
}

fn not_run(point: FailurePoint) -> AttemptResult {
    AttemptResult::NotRun { point, retry_after: Duration::from_millis(70) }
}

fn sent_to(actions: &[Action]) -> Option<&str> {
    match actions {
        [Action::Send(_, destination)] => Some(destination.vm.as_str()),
        _ => None,
    }
}

fn final_result(actions: &[Action]) -> Option<CallResult> {
    match actions.last() {
        Some(Action::Finish(outcome)) => Some(*outcome),
        _ => None,
    }
}

#[test]
fn without_a_target_the_call_ends_as_not_run() {
    let (_, actions) = Call::start(START, constraints(false, false), &mut TestSelector::new(&[]));
    let outcome = final_result(&actions);
    assert!(matches!(outcome, Some(CallResult::NotRun { point: FailurePoint::NoTarget, .. })));
}

#[test]
fn a_refused_connection_is_retried_at_another_target() {
    let mut selector = TestSelector::new(&["a", "b"]);
    let mut call = start(constraints(false, false), &mut selector);
    let actions =
        call.handle(START, Event::Failed(AttemptId(1), FailurePoint::Connect), &mut selector);
    assert_eq!(sent_to(&actions), Some("b"));
}

#[test]
fn a_rejected_attempt_is_retried_at_another_target() {
    let mut selector = TestSelector::new(&["a", "b"]);
    let mut call = start(constraints(false, true), &mut selector);
    let rejected = Event::Responded(AttemptId(1), not_run(FailurePoint::Refused));
    assert_eq!(sent_to(&call.handle(START, rejected, &mut selector)), Some("b"));
    let rejected = Event::Responded(AttemptId(2), not_run(FailurePoint::Refused));
    let retry_after = Duration::from_millis(70);
    let result = final_result(&call.handle(START, rejected, &mut selector));
    assert_eq!(result, Some(CallResult::NotRun { point: FailurePoint::Refused, retry_after }));
}

#[test]
fn an_exhausted_retry_budget_ends_the_call() {
    let mut selector = TestSelector::new(&["a", "b"]);
    selector.retries = 0;
    let mut call = start(constraints(true, false), &mut selector);
    let rejected = Event::Responded(AttemptId(1), not_run(FailurePoint::TargetShed));
    assert!(matches!(
        final_result(&call.handle(START, rejected, &mut selector)),
        Some(CallResult::NotRun { point: FailurePoint::TargetShed, .. })
    ));
}

#[test]
fn a_rejection_that_reached_no_target_costs_no_budget() {
    let mut selector = TestSelector::new(&["a", "b"]);
    selector.retries = 0;
    let mut call = start(constraints(true, false), &mut selector);
    let rejected = Event::Responded(AttemptId(1), not_run(FailurePoint::Refused));
    assert_eq!(sent_to(&call.handle(START, rejected, &mut selector)), Some("b"));
}

#[test]
fn a_call_shed_by_a_target_is_retried_at_another_within_the_budget() {
    let mut selector = TestSelector::new(&["a", "b", "c"]);
    let mut call =
        start(Constraints { max_target_attempts: 2, ..constraints(false, false) }, &mut selector);
    let shed = |id| Event::Responded(AttemptId(id), not_run(FailurePoint::TargetShed));
    assert_eq!(sent_to(&call.handle(START, shed(1), &mut selector)), Some("b"));
    assert_eq!(selector.retries, 9);
    // Two attempts reached a target, which is the limit of this call.
    let result = final_result(&call.handle(START, shed(2), &mut selector));
    assert!(matches!(result, Some(CallResult::NotRun { point: FailurePoint::TargetShed, .. })));
}

#[test]
fn a_call_is_queued_after_all_targets_were_busy() {
    let mut selector = TestSelector::new(&["a", "b", "c"]);
    let mut call = start(constraints(false, false), &mut selector);
    let vm = |name: &str| Vm(name.parse().unwrap());
    assert!(call.may_spill(&vm("a")));
    let busy = |id| Event::Responded(AttemptId(id), not_run(FailurePoint::Busy));
    assert_eq!(sent_to(&call.handle(START, busy(1), &mut selector)), Some("b"));
    assert!(!call.may_spill(&vm("a")) && call.may_spill(&vm("b")));
    assert_eq!(sent_to(&call.handle(START, busy(2), &mut selector)), Some("c"));
    assert!(!call.may_spill(&vm("c")));
    let rejected = Event::Responded(AttemptId(3), not_run(FailurePoint::Refused));
    assert_eq!(sent_to(&call.handle(START, rejected, &mut selector)), Some("a"));
}

#[test]
fn a_late_call_that_is_rejected_ends_at_once() {
    for (waited_ms, elsewhere) in [(100, Some("b")), (700, None)] {
        let mut selector = TestSelector::new(&["a", "b"]);
        let useful_until = Some(START + Duration::from_millis(600));
        let mut call =
            start(Constraints { useful_until, ..constraints(true, false) }, &mut selector);
        let now = START + Duration::from_millis(waited_ms);
        let rejected = Event::Responded(AttemptId(1), not_run(FailurePoint::Refused));
        assert_eq!(sent_to(&call.handle(now, rejected, &mut selector)), elsewhere);
    }
}

#[test]
fn too_little_time_for_another_attempt_ends_the_call_as_not_run() {
    let mut selector = TestSelector::new(&["a", "b"]);
    let least_time = Duration::from_millis(100);
    let mut call = start(
        Constraints { min_attempt_time: least_time, ..constraints(true, false) },
        &mut selector,
    );
    let late = DEADLINE.saturating_sub(Duration::from_millis(90));
    let rejected = Event::Responded(AttemptId(1), not_run(FailurePoint::Refused));
    let result = final_result(&call.handle(late, rejected, &mut selector));
    assert!(matches!(result, Some(CallResult::NotRun { point: FailurePoint::Refused, .. })));
}

#[test]
fn a_failure_response_is_returned_if_no_retry_succeeds() {
    let failed = |id| Event::Responded(AttemptId(id), AttemptResult::Failure);
    let mut selector = TestSelector::new(&["a", "b"]);
    let mut call = start(constraints(false, false), &mut selector);
    let result = final_result(&call.handle(START, failed(1), &mut selector));
    assert_eq!(result, Some(CallResult::Response(AttemptId(1))));
    let mut selector = TestSelector::new(&["a", "b"]);
    let mut call = start(constraints(true, false), &mut selector);
    assert_eq!(sent_to(&call.handle(START, failed(1), &mut selector)), Some("b"));
    let rejected = Event::Responded(AttemptId(2), not_run(FailurePoint::Refused));
    let result = final_result(&call.handle(START, rejected, &mut selector));
    assert_eq!(result, Some(CallResult::Response(AttemptId(1))));
}

#[test]
fn a_malformed_response_is_never_forwarded() {
    for (repeatable, result) in
        [(false, Some(CallResult::Unknown(FailurePoint::TargetGarbled))), (true, None)]
    {
        let mut selector = TestSelector::new(&["a", "b"]);
        let mut call = start(constraints(repeatable, false), &mut selector);
        let garbled =
            Event::Responded(AttemptId(1), AttemptResult::Unknown(FailurePoint::TargetGarbled));
        let actions = call.handle(START, garbled, &mut selector);
        assert_eq!(final_result(&actions), result);
        assert_eq!(sent_to(&actions), repeatable.then_some("b"));
    }
}

#[test]
fn only_one_layer_retries() {
    let mut selector = TestSelector::new(&["a", "b"]);
    let lower_layer = Constraints { may_retry: false, ..constraints(true, false) };
    let mut call = start(lower_layer, &mut selector);
    let rejected = Event::Responded(AttemptId(1), not_run(FailurePoint::Refused));
    assert!(final_result(&call.handle(START, rejected, &mut selector)).is_some());
}

#[test]
fn a_lost_connection_leads_to_a_query_on_a_new_one() {
    let mut selector = TestSelector::new(&["a", "b"]);
    let mut call = start(constraints(false, false), &mut selector);
    let actions =
        call.handle(START, Event::Failed(AttemptId(1), FailurePoint::Sent), &mut selector);
    assert!(matches!(actions[..], [Action::Query(AttemptId(1), _)]));
    let ended_remotely = Event::StatusReceived(AttemptId(1), AttemptStatus::Finished);
    assert_eq!(
        final_result(&call.handle(START, ended_remotely, &mut selector)),
        Some(CallResult::Ran)
    );
}

#[test]
fn an_attempt_that_never_arrived_is_sent_again() {
    let mut selector = TestSelector::new(&["a", "b"]);
    let mut call = start(constraints(false, false), &mut selector);
    let later = START + Duration::from_millis(500);
    assert_eq!(call.next_wake(), later);
    let actions = call.handle(later, Event::Wake, &mut selector);
    assert!(matches!(actions[..], [Action::Query(AttemptId(1), _)]));
    let unseen = Event::StatusReceived(AttemptId(1), AttemptStatus::Unseen);
    assert_eq!(sent_to(&call.handle(later, unseen, &mut selector)), Some("b"));
}

#[test]
fn a_restarted_proxy_leaves_the_outcome_unknown() {
    let mut selector = TestSelector::new(&["a", "b"]);
    let mut call = start(constraints(false, false), &mut selector);
    call.handle(START, Event::Failed(AttemptId(1), FailurePoint::Sent), &mut selector);
    let restarted = Event::StatusReceived(AttemptId(1), AttemptStatus::Restarted);
    let result = final_result(&call.handle(START, restarted, &mut selector));
    assert_eq!(result, Some(CallResult::Unknown(FailurePoint::Silent)));
}

#[test]
fn a_lost_response_ends_a_call_that_is_not_repeatable() {
    let mut selector = TestSelector::new(&["a", "b"]);
    let mut call = start(constraints(false, false), &mut selector);
    let ran = Event::Responded(AttemptId(1), AttemptResult::Ran);
    assert_eq!(final_result(&call.handle(START, ran, &mut selector)), Some(CallResult::Ran));
    let mut selector = TestSelector::new(&["a", "b"]);
    let mut call = start(constraints(true, false), &mut selector);
    let ran = Event::Responded(AttemptId(1), AttemptResult::Ran);
    assert_eq!(sent_to(&call.handle(START, ran, &mut selector)), Some("b"));
}

#[test]
fn an_attempt_at_a_lost_target_is_retried_only_if_repeatable() {
    for (repeatable, elsewhere) in [(true, Some("b")), (false, None)] {
        let mut selector = TestSelector::new(&["a", "b"]);
        let mut call = start(constraints(repeatable, false), &mut selector);
        let lost = Event::Responded(AttemptId(1), AttemptResult::Unknown(FailurePoint::TargetLost));
        let actions = call.handle(START, lost, &mut selector);
        assert_eq!(sent_to(&actions), elsewhere);
        assert_eq!(final_result(&actions).is_some(), !repeatable);
    }
}

#[test]
fn an_orphaned_claim_leaves_the_outcome_unknown() {
    let mut selector = TestSelector::new(&["a", "b"]);
    let mut call = start(constraints(false, true), &mut selector);
    let claim = Claim { vm: Vm("b".parse().unwrap()), boot: 6 };
    let claimed = Event::Responded(AttemptId(1), AttemptResult::ClaimedBy(claim));
    let result = final_result(&call.handle(START, claimed, &mut selector));
    assert_eq!(result, Some(CallResult::Unknown(FailurePoint::ClaimOrphaned)));
}

#[test]
fn a_claimed_key_is_sent_to_the_holder_of_the_claim() {
    let mut selector = TestSelector::new(&["a", "b"]);
    let mut call = start(constraints(false, true), &mut selector);
    let claim = Claim { vm: Vm("b".parse().unwrap()), boot: 7 };
    let claimed = Event::Responded(AttemptId(1), AttemptResult::ClaimedBy(claim));
    assert_eq!(sent_to(&call.handle(START, claimed, &mut selector)), Some("b"));
}

#[test]
fn a_resent_key_never_ends_as_not_run() {
    let mut selector = TestSelector::new(&["a"]);
    let mut call = start(constraints(false, true), &mut selector);
    call.handle(START, Event::Failed(AttemptId(1), FailurePoint::Sent), &mut selector);
    let ended_remotely = Event::StatusReceived(AttemptId(1), AttemptStatus::Finished);
    assert_eq!(sent_to(&call.handle(START, ended_remotely, &mut selector)), Some("a"));
    let restarted = Event::Responded(AttemptId(2), not_run(FailurePoint::Restarted));
    let result = final_result(&call.handle(START, restarted, &mut selector));
    assert_eq!(result, Some(CallResult::Unknown(FailurePoint::HalfAnswer)));
}

#[test]
fn a_call_ends_at_its_deadline() {
    let mut selector = TestSelector::new(&["a", "b"]);
    let mut call = start(constraints(true, false), &mut selector);
    let actions = call.handle(DEADLINE, Event::Wake, &mut selector);
    assert!(matches!(
        actions[..],
        [Action::Cancel(AttemptId(1)), Action::Finish(CallResult::Unknown(FailurePoint::Deadline))]
    ));
    assert!(call.is_finished());
}

#[test]
fn a_hedge_goes_to_another_target_and_the_slower_attempt_is_cancelled() {
    let mut selector = TestSelector::new(&["a", "b"]);
    let hedged =
        Constraints { hedge_after: Some(Duration::from_millis(20)), ..constraints(true, false) };
    let mut call = start(hedged, &mut selector);
    let later = START + Duration::from_millis(20);
    assert_eq!(sent_to(&call.handle(later, Event::Wake, &mut selector)), Some("b"));
    let response = Event::Responded(AttemptId(2), AttemptResult::Response);
    let actions = call.handle(later, response, &mut selector);
    assert_eq!(
        actions,
        [Action::Cancel(AttemptId(1)), Action::Finish(CallResult::Response(AttemptId(2)))]
    );
}

#[test]
fn a_call_that_crashed_targets_before_is_rejected_at_once() {
    let mut selector = TestSelector::new(&["a", "b"]);
    let retry_after = Duration::from_secs(5);
    selector.crash_backoff = Some(retry_after);
    let (call, actions) = Call::start(START, constraints(true, false), &mut selector);
    let result = CallResult::NotRun { point: FailurePoint::CrashBackoff, retry_after };
    assert_eq!(actions, [Action::Finish(result)]);
    assert!(call.is_finished());
}

#[test]
fn a_call_under_which_a_second_target_crashed_is_not_sent_to_a_third() {
    let mut selector = TestSelector::new(&["a", "b", "c"]);
    let mut call = start(constraints(true, false), &mut selector);
    let crashed = AttemptResult::Unknown(FailurePoint::TargetCrashed);
    let event = Event::Responded(AttemptId(1), crashed.clone());
    let actions = call.handle(START, event, &mut selector);
    assert!(matches!(actions[..], [Action::Send(AttemptId(2), _)]), "{actions:?}");
    selector.crash_backoff = Some(Duration::from_secs(5));
    let actions = call.handle(START, Event::Responded(AttemptId(2), crashed), &mut selector);
    let result = CallResult::Unknown(FailurePoint::TargetCrashed);
    assert_eq!(actions, [Action::Finish(result)]);
}

#[test]
fn a_call_that_an_inbound_proxy_rejects_for_its_crashes_is_not_sent_elsewhere() {
    let mut selector = TestSelector::new(&["a", "b"]);
    let mut call = start(constraints(true, false), &mut selector);
    let (point, retry_after) = (FailurePoint::CrashBackoff, Duration::from_secs(50));
    let result = AttemptResult::NotRun { point, retry_after };
    let actions = call.handle(START, Event::Responded(AttemptId(1), result), &mut selector);
    assert_eq!(actions, [Action::Finish(CallResult::NotRun { point, retry_after })]);
}
