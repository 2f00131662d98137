//! Tests of [`super`].

use std::time::Duration;

use medlarpoint_model::{Class, Name, Policy};

use super::{Admission, Decision, MAX_LATE_WAIT, Rejection, Scheduler, Ticket};
use crate::AttemptId;
use crate::link::Link;
use crate::request_link::RequestLink;

const NOW: Duration = Duration::from_secs(100);

fn scheduler(slots: u32) -> Scheduler {
    let policy = Policy { queue_per_slot: 2, ..Policy::default() };
    Scheduler::new(slots, policy)
}

fn route() -> Name {
    "k".parse().unwrap()
}

fn ticket(id: u128, class: Class, deadline_ms: u64) -> Ticket {
    Ticket {
        attempt: AttemptId(id),
        class,
        tenant: "t".parse().unwrap(),
        in_workspace: false,
        weight: 1,
        rank: 1,
        route: route(),
        body_bytes: 0,
        useful_until: None,
        may_spill: false,
        suspect: false,
        expected: None,
        arrived: NOW,
        deadline: NOW + Duration::from_millis(deadline_ms),
    }
}

#[test]
fn long_calls_leave_slots_to_short_calls() {
    let mut scheduler = scheduler(4);
    let admissions: Vec<Admission> =
        (0..3).map(|id| scheduler.arrive(NOW, ticket(id, Class::Long, 1_000)).0).collect();
    assert_eq!(admissions, [Admission::Run, Admission::Run, Admission::Queued]);
    assert_eq!(scheduler.arrive(NOW, ticket(9, Class::Short, 1_000)).0, Admission::Run);
}

#[test]
fn queued_long_calls_are_not_starved() {
    let mut scheduler = scheduler(1);
    scheduler.arrive(NOW, ticket(1, Class::Short, 1_000));
    scheduler.arrive(NOW, ticket(2, Class::Short, 1_000));
    scheduler.arrive(NOW, ticket(3, Class::Long, 1_000));
    assert_eq!(scheduler.release(NOW, Class::Short, &route(), None), [Decision::Run(AttemptId(3))]);
}

#[test]
fn a_call_that_cannot_meet_its_deadline_is_rejected_at_once() {
    let mut scheduler = scheduler(1);
    scheduler.arrive(NOW, ticket(1, Class::Short, 1_000));
    scheduler.release(NOW, Class::Short, &route(), Some(Duration::from_millis(100)));
    scheduler.arrive(NOW, ticket(2, Class::Short, 1_000));
    let (admission, _) = scheduler.arrive(NOW, ticket(3, Class::Short, 150));
    assert_eq!(admission, Admission::Rejected(Rejection::TooLate, Duration::from_millis(100)));
    assert_eq!(scheduler.arrive(NOW, ticket(4, Class::Short, 250)).0, Admission::Queued);
    let later = NOW + Duration::from_millis(200);
    let rejected = scheduler.sweep(later);
    assert!(matches!(rejected[..], [Decision::Rejected(AttemptId(4), Rejection::TooLate, _)]));
}

/// Guards against a fixed ramp: documents may still contain its length, which has no effect.
#[test]
fn all_slots_of_a_new_target_are_usable_at_once_without_a_pace() {
    let policy = Policy { ramp_ms: 1_000, ..Policy::default() };
    let mut scheduler = Scheduler::new(0, policy);
    scheduler.set_slots(10, NOW);
    assert_eq!(scheduler.load(NOW).slots, 10);
    let admissions = (0..10).map(|id| scheduler.arrive(NOW, ticket(id, Class::Short, 1_000)).0);
    assert!(admissions.into_iter().all(|admission| admission == Admission::Run));
    scheduler.on_target_started(NOW, false);
    assert_eq!(scheduler.load(NOW).slots, 10);
    scheduler.set_slots(0, NOW + Duration::from_secs(2));
    let (admission, _) =
        scheduler.arrive(NOW + Duration::from_secs(2), ticket(1, Class::Short, 9_000));
    assert!(matches!(admission, Admission::Rejected(Rejection::NoTarget, _)));
}

/// A scheduler with one slot, which is taken, and a service time of 100 ms.
fn busy_scheduler() -> Scheduler {
    let policy = Policy { queue_per_slot: 50, ..Policy::default() };
    let mut scheduler = Scheduler::new(1, policy);
    scheduler.arrive(NOW, ticket(1, Class::Short, 9_000));
    scheduler.release(NOW, Class::Short, &route(), Some(Duration::from_millis(100)));
    scheduler.arrive(NOW, ticket(1, Class::Short, 9_000));
    scheduler
}

fn due(id: u128, useful_ms: u64) -> Ticket {
    let useful_until = Some(NOW + Duration::from_millis(useful_ms));
    Ticket { useful_until, ..ticket(id, Class::Short, 9_000) }
}

#[test]
fn under_overload_the_calls_that_run_are_in_time() {
    let mut scheduler = busy_scheduler();
    // For one second, calls arrive at twice the rate that the target can serve.
    // The response to each is of full use for 400 ms.
    let step = Duration::from_millis(50);
    let (mut in_time, mut late) = (0, 0);
    for tick in 0..20_u64 {
        let now = NOW + step * tick as u32;
        let mut ticket = due(u128::from(tick) + 2, 0);
        ticket.useful_until = Some(now + Duration::from_millis(400));
        scheduler.arrive(now, ticket);
        if tick % 2 == 0 {
            continue;
        }
        let took = Some(Duration::from_millis(100));
        for decision in scheduler.release(now, Class::Short, &route(), took) {
            let Decision::Run(id) = decision else {
                continue;
            };
            let arrived = NOW + step * (id.0 as u32 - 2);
            let done = now + Duration::from_millis(100);
            if done <= arrived + Duration::from_millis(400) {
                in_time += 1;
            } else {
                late += 1;
            }
        }
    }
    assert_eq!((in_time, late), (10, 0));
}

#[test]
fn a_call_that_would_be_late_is_offered_to_other_targets_first() {
    let mut scheduler = busy_scheduler();
    let late = Ticket { may_spill: true, ..due(2, 200) };
    assert!(matches!(scheduler.arrive(NOW, late).0, Admission::Rejected(Rejection::Busy, _)));
    let in_time = Ticket { may_spill: true, ..due(3, 300) };
    assert_eq!(scheduler.arrive(NOW, in_time).0, Admission::Queued);
    assert_eq!(scheduler.arrive(NOW, due(4, 200)).0, Admission::Queued);
}

#[test]
fn late_calls_are_rejected_at_once_while_calls_in_time_take_every_slot() {
    let mut scheduler = busy_scheduler();
    assert_eq!(scheduler.arrive(NOW, due(2, 0)).0, Admission::Queued);
    let later = NOW + MAX_LATE_WAIT + Duration::from_millis(100);
    let (admission, _) = scheduler.arrive(later, due(3, 0));
    assert!(matches!(admission, Admission::Rejected(Rejection::TooLate, _)));
    // A call with a more urgent rank does not wait for the late one.
    let urgent = Ticket { rank: 0, ..due(4, 0) };
    assert_eq!(scheduler.arrive(later, urgent).0, Admission::Queued);
    let decisions =
        scheduler.release(later, Class::Short, &route(), Some(Duration::from_millis(100)));
    assert_eq!(decisions, [Decision::Run(AttemptId(4))]);
}

#[test]
fn a_call_that_would_be_late_at_any_target_is_queued() {
    let mut scheduler = busy_scheduler();
    let late = Ticket { may_spill: true, ..due(2, 100) };
    assert_eq!(scheduler.arrive(NOW, late).0, Admission::Queued);
}

fn pack() -> Name {
    "pack".parse().unwrap()
}

/// A scheduler with a link of 92 kilobytes per second and packs of 92 kilobytes.
fn behind_narrow_link() -> Scheduler {
    let mut scheduler = scheduler(9);
    scheduler.set_link(Link::for_responses(Some(0.8)));
    scheduler.link_mut().observe(&pack(), 92_000);
    scheduler
}

fn download(id: u128, useful_ms: u64) -> Ticket {
    Ticket { route: pack(), rank: 2, ..due(id, useful_ms) }
}

#[test]
fn small_responses_overtake_large_ones_that_wait_for_the_link() {
    let mut scheduler = behind_narrow_link();
    assert_eq!(scheduler.arrive(NOW, download(1, 5_000)).0, Admission::Run);
    assert_eq!(scheduler.arrive(NOW, download(2, 5_000)).0, Admission::Queued);
    assert_eq!(scheduler.arrive(NOW, due(3, 200)).0, Admission::Run);
    scheduler.link_mut().reserve(NOW, 92_000);
    scheduler.release(NOW, Class::Short, &pack(), Some(Duration::from_millis(150)));
    let soon = NOW + Duration::from_millis(400);
    assert_eq!(scheduler.sweep(soon), []);
    let free = NOW + Duration::from_millis(500);
    assert_eq!(scheduler.sweep(free), [Decision::Run(AttemptId(2))]);
}

#[test]
fn a_large_response_that_the_link_cannot_send_in_time_is_offered_to_other_targets() {
    let mut scheduler = behind_narrow_link();
    scheduler.arrive(NOW, download(1, 5_000));
    let newcomer = Ticket { may_spill: true, ..download(2, 1_500) };
    let (admission, _) = scheduler.arrive(NOW, newcomer);
    let Admission::Rejected(Rejection::Busy, after) = admission else {
        panic!("{admission:?}");
    };
    assert_eq!(after, Duration::from_secs(1));
}

#[test]
fn a_burst_of_large_responses_beyond_the_link_rate_is_served_in_part_and_in_time() {
    let mut scheduler = behind_narrow_link();
    let mut sent: Vec<Duration> = Vec::new();
    let mut rejected = 0;
    let mut running: Vec<(Duration, AttemptId)> = Vec::new();
    // For ten seconds, packs are requested at twice the rate of the link.
    for step in 0..2_000_u64 {
        let now = NOW + Duration::from_millis(step * 10);
        let mut decisions = scheduler.sweep(now);
        if step < 1_000 && step % 50 == 0 {
            let ticket = Ticket {
                arrived: now,
                deadline: now + Duration::from_secs(6),
                ..{
                    let mut ticket = download(u128::from(step), 0);
                    ticket.useful_until = Some(now + Duration::from_millis(2_500));
                    ticket
                }
            };
            match scheduler.arrive(now, ticket.clone()).0 {
                Admission::Run => decisions.push(Decision::Run(ticket.attempt)),
                Admission::Queued => {}
                Admission::Receive(_) => unreachable!("the call has no request body"),
                Admission::Rejected(..) => rejected += 1,
            }
        }
        let done: Vec<_> = running.extract_if(.., |(end, _)| *end <= now).collect();
        for (_, attempt) in done {
            let start = scheduler.link_mut().reserve(now, 92_000);
            let arrived = NOW + Duration::from_millis(attempt.0 as u64 * 10);
            sent.push((start + Duration::from_secs(1)).saturating_sub(arrived));
            decisions.extend(scheduler.release(now, Class::Short, &pack(), None));
        }
        for decision in decisions {
            match decision {
                Decision::Run(attempt) => running.push((now + Duration::from_millis(150), attempt)),
                Decision::Rejected(..) => rejected += 1,
            }
        }
    }
    assert_eq!(sent.len() + rejected, 20);
    let in_time = sent.iter().filter(|took| **took <= Duration::from_millis(2_500)).count();
    assert!(in_time >= 9, "{in_time} in time of {sent:?}");
    assert!(in_time + 2 >= sent.len(), "{in_time} in time of {sent:?}");
}

fn upload(id: u128, useful_ms: u64) -> Ticket {
    Ticket { body_bytes: 60_000, ..due(id, useful_ms) }
}

/// A scheduler of an idle target on a link of 10 Mbit/s, and a service time of 100 ms.
fn narrow_scheduler() -> Scheduler {
    let mut scheduler = scheduler(4);
    scheduler.set_request_link(RequestLink::new(Some(10.0)));
    scheduler.arrive(NOW, ticket(1, Class::Short, 9_000));
    scheduler.release(NOW, Class::Short, &route(), Some(Duration::from_millis(100)));
    scheduler
}

#[test]
fn uploads_that_would_be_late_are_rejected_before_they_are_received() {
    let mut scheduler = narrow_scheduler();
    let admitted = (0..100)
        .filter(|id| matches!(scheduler.arrive(NOW, upload(*id, 1_000)).0, Admission::Receive(_)));
    // Each body takes 56 ms on the link.
    let admitted = admitted.count();
    assert!((10..=16).contains(&admitted), "{admitted}");
    let other = Ticket { may_spill: true, ..upload(200, 1_000) };
    assert!(matches!(scheduler.arrive(NOW, other).0, Admission::Rejected(Rejection::Busy, _)));
}

#[test]
fn the_next_body_waits_for_those_that_take_longer_than_reserved() {
    let mut scheduler = narrow_scheduler();
    for id in 0..10 {
        scheduler.arrive(NOW, upload(id, 5_000));
    }
    // The reserved time is over, and no body is complete.
    let later = NOW + Duration::from_secs(1);
    let (admission, _) = scheduler.arrive(later, upload(20, 5_000));
    let Admission::Receive(start) = admission else {
        panic!("the upload is admitted");
    };
    assert!(start > later + Duration::from_millis(300));
    for _ in 0..11 {
        scheduler.request_link_mut().body_ended(60_000);
    }
    let much_later = NOW + Duration::from_secs(3);
    let (admission, _) = scheduler.arrive(much_later, upload(21, 5_000));
    assert_eq!(admission, Admission::Receive(much_later));
}

/// Sustained overload: calls in time take the only slot, and callers that were rejected
/// come back late, 50 times a second.
#[test]
fn late_calls_do_not_wait_in_vain_one_after_the_other() {
    let mut scheduler = busy_scheduler();
    let step = Duration::from_millis(20);
    let took = Some(Duration::from_millis(100));
    let (mut waited_in_vain, mut rejected_at_once) = (0, 0);
    for tick in 0..500_u32 {
        let now = NOW + step * tick;
        let late = Ticket {
            useful_until: Some(NOW),
            arrived: now,
            deadline: now + Duration::from_secs(2),
            ..due(u128::from(tick) + 1_000, 0)
        };
        if let Admission::Rejected(..) = scheduler.arrive(now, late).0 {
            rejected_at_once += 1;
        }
        if tick % 5 == 0 {
            let useful_until = Some(now + Duration::from_millis(400));
            let in_time =
                Ticket { useful_until, arrived: now, ..due(u128::from(tick) + 10_000, 0) };
            scheduler.arrive(now, in_time);
            scheduler.release(now, Class::Short, &route(), took);
        }
        waited_in_vain += scheduler.sweep(now).len();
    }
    assert!(waited_in_vain <= 60, "{waited_in_vain}");
    assert!(rejected_at_once >= 430, "{rejected_at_once}");
    // Calls in time stop, and late ones are served again.
    let now = NOW + step * 500;
    assert_eq!(scheduler.release(now, Class::Short, &route(), took).len(), 1);
    let deadline = now + Duration::from_secs(2);
    let late = Ticket { arrived: now, deadline, ..due(50_000, 0) };
    assert_eq!(scheduler.arrive(now, late).0, Admission::Queued);
}

/// Guards against calls that ran beside a fatal one being held responsible for the next
/// crash as well: while one suspect runs, others wait and innocent calls pass.
#[test]
fn one_suspect_runs_at_a_time() {
    let mut scheduler = scheduler(4);
    let suspect = |id| Ticket { suspect: true, ..ticket(id, Class::Short, 1_000) };
    assert_eq!(scheduler.arrive(NOW, suspect(1)).0, Admission::Run);
    assert_eq!(scheduler.arrive(NOW, suspect(2)).0, Admission::Queued);
    assert_eq!(scheduler.arrive(NOW, ticket(3, Class::Short, 1_000)).0, Admission::Run);
    assert!(scheduler.release(NOW, Class::Short, &route(), None).is_empty());
    scheduler.on_suspect_ended();
    assert_eq!(scheduler.release(NOW, Class::Short, &route(), None), [Decision::Run(AttemptId(2))]);
    assert_eq!(scheduler.arrive(NOW, suspect(4)).0, Admission::Queued);
}
