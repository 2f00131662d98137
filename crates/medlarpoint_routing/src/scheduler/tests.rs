//! Tests of [`super`].

use std::time::Duration;

use medlarpoint_model::{Class, Name, Policy};

use super::{Admission, Decision, LATE_PATIENCE, Rejection, Scheduler, Ticket};
use crate::AttemptId;
use crate::link::Link;

const NOW: Duration = Duration::from_secs(100);

fn gate(slots: u32) -> Scheduler {
    let policy = Policy { ramp_ms: 0, queue_per_slot: 2, ..Policy::default() };
    Scheduler::new(slots, policy, Duration::ZERO)
}

fn kind() -> Name {
    "k".parse().unwrap()
}

fn ticket(id: u128, class: Class, deadline_ms: u64) -> Ticket {
    Ticket {
        attempt: AttemptId(id),
        class,
        tenant: "t".parse().unwrap(),
        weight: 1,
        rank: 1,
        route: kind(),
        useful_until: None,
        may_spill: false,
        arrived: NOW,
        deadline: NOW + Duration::from_millis(deadline_ms),
    }
}

#[test]
fn long_work_leaves_slots_to_short_work() {
    let mut gate = gate(4);
    let entries: Vec<Admission> =
        (0..3).map(|id| gate.arrive(NOW, ticket(id, Class::Long, 1_000)).0).collect();
    assert_eq!(entries, [Admission::Run, Admission::Run, Admission::Queued]);
    assert_eq!(gate.arrive(NOW, ticket(9, Class::Short, 1_000)).0, Admission::Run);
}

#[test]
fn waiting_long_work_is_not_starved() {
    let mut gate = gate(1);
    gate.arrive(NOW, ticket(1, Class::Short, 1_000));
    gate.arrive(NOW, ticket(2, Class::Short, 1_000));
    gate.arrive(NOW, ticket(3, Class::Long, 1_000));
    assert_eq!(gate.release(NOW, Class::Short, &kind(), None), [Decision::Run(AttemptId(3))]);
}

#[test]
fn what_cannot_be_done_in_time_is_refused_at_once() {
    let mut gate = gate(1);
    gate.arrive(NOW, ticket(1, Class::Short, 1_000));
    gate.release(NOW, Class::Short, &kind(), Some(Duration::from_millis(100)));
    gate.arrive(NOW, ticket(2, Class::Short, 1_000));
    let (entry, _) = gate.arrive(NOW, ticket(3, Class::Short, 150));
    assert_eq!(entry, Admission::Rejected(Rejection::TooLate, Duration::from_millis(100)));
    assert_eq!(gate.arrive(NOW, ticket(4, Class::Short, 250)).0, Admission::Queued);
    let later = NOW + Duration::from_millis(200);
    let refused = gate.sweep(later);
    assert!(matches!(refused[..], [Decision::Rejected(AttemptId(4), Rejection::TooLate, _)]));
}

#[test]
fn a_new_target_opens_slot_by_slot() {
    let policy = Policy { ramp_ms: 1_000, ..Policy::default() };
    let mut gate = Scheduler::new(10, policy, NOW);
    assert_eq!(gate.load(NOW).slots, 1);
    assert_eq!(gate.load(NOW + Duration::from_millis(500)).slots, 5);
    assert_eq!(gate.load(NOW + Duration::from_secs(1)).slots, 10);
    gate.set_slots(0, NOW + Duration::from_secs(2));
    let (entry, _) = gate.arrive(NOW + Duration::from_secs(2), ticket(1, Class::Short, 9_000));
    assert!(matches!(entry, Admission::Rejected(Rejection::NoTarget, _)));
}

/// A target with one slot whose work takes 100 ms, and which is at work.
fn busy() -> Scheduler {
    let policy = Policy { ramp_ms: 0, queue_per_slot: 50, ..Policy::default() };
    let mut gate = Scheduler::new(1, policy, Duration::ZERO);
    gate.arrive(NOW, ticket(1, Class::Short, 9_000));
    gate.release(NOW, Class::Short, &kind(), Some(Duration::from_millis(100)));
    gate.arrive(NOW, ticket(1, Class::Short, 9_000));
    gate
}

fn aimed(id: u128, useful_ms: u64) -> Ticket {
    let useful_until = Some(NOW + Duration::from_millis(useful_ms));
    Ticket { useful_until, ..ticket(id, Class::Short, 9_000) }
}

#[test]
fn overload_makes_a_few_calls_late_and_not_all() {
    let mut gate = busy();
    // Twice what the target can do arrives for a second, each call of full use
    // for 400 ms.
    let step = Duration::from_millis(50);
    let (mut in_time, mut late) = (0, 0);
    for tick in 0..20_u64 {
        let now = NOW + step * tick as u32;
        let mut ticket = aimed(u128::from(tick) + 2, 0);
        ticket.useful_until = Some(now + Duration::from_millis(400));
        gate.arrive(now, ticket);
        if tick % 2 == 0 {
            continue;
        }
        let took = Some(Duration::from_millis(100));
        for settled in gate.release(now, Class::Short, &kind(), took) {
            let Decision::Run(id) = settled else {
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
    let mut gate = busy();
    let spilled = Ticket { may_spill: true, ..aimed(2, 200) };
    assert!(matches!(gate.arrive(NOW, spilled).0, Admission::Rejected(Rejection::Busy, _)));
    let patient = Ticket { may_spill: true, ..aimed(3, 300) };
    assert_eq!(gate.arrive(NOW, patient).0, Admission::Queued);
    assert_eq!(gate.arrive(NOW, aimed(4, 200)).0, Admission::Queued);
}

#[test]
fn late_calls_are_refused_at_once_while_those_in_time_take_every_slot() {
    let mut gate = busy();
    assert_eq!(gate.arrive(NOW, aimed(2, 0)).0, Admission::Queued);
    let later = NOW + LATE_PATIENCE + Duration::from_millis(100);
    let (entry, _) = gate.arrive(later, aimed(3, 0));
    assert!(matches!(entry, Admission::Rejected(Rejection::TooLate, _)));
    // More urgent calls do not wait for it.
    let urgent = Ticket { rank: 0, ..aimed(4, 0) };
    assert_eq!(gate.arrive(later, urgent).0, Admission::Queued);
    let settled = gate.release(later, Class::Short, &kind(), Some(Duration::from_millis(100)));
    assert_eq!(settled, [Decision::Run(AttemptId(4))]);
}

#[test]
fn a_call_that_is_late_anywhere_is_not_passed_around() {
    let mut gate = busy();
    let spilled = Ticket { may_spill: true, ..aimed(2, 100) };
    assert_eq!(gate.arrive(NOW, spilled).0, Admission::Queued);
}

fn pack() -> Name {
    "pack".parse().unwrap()
}

/// A gate whose link carries 92 kilobytes a second, and whose packs are of 92
/// kilobytes.
fn behind_narrow_link() -> Scheduler {
    let mut gate = gate(9);
    gate.set_link(Link::new(Some(0.8)));
    gate.link_mut().observe(&pack(), 92_000);
    gate
}

fn download(id: u128, useful_ms: u64) -> Ticket {
    Ticket { route: pack(), rank: 2, ..aimed(id, useful_ms) }
}

#[test]
fn short_answers_pass_large_ones_that_wait_for_the_link() {
    let mut gate = behind_narrow_link();
    assert_eq!(gate.arrive(NOW, download(1, 5_000)).0, Admission::Run);
    assert_eq!(gate.arrive(NOW, download(2, 5_000)).0, Admission::Queued);
    assert_eq!(gate.arrive(NOW, aimed(3, 200)).0, Admission::Run);
    gate.link_mut().reserve(NOW, 92_000);
    gate.release(NOW, Class::Short, &pack(), Some(Duration::from_millis(150)));
    let soon = NOW + Duration::from_millis(400);
    assert_eq!(gate.sweep(soon), []);
    let free = NOW + Duration::from_millis(500);
    assert_eq!(gate.sweep(free), [Decision::Run(AttemptId(2))]);
}

#[test]
fn a_large_answer_that_the_link_cannot_carry_in_time_is_offered_elsewhere() {
    let mut gate = behind_narrow_link();
    gate.arrive(NOW, download(1, 5_000));
    let newcomer = Ticket { may_spill: true, ..download(2, 1_500) };
    let (entry, _) = gate.arrive(NOW, newcomer);
    let Admission::Rejected(Rejection::Busy, after) = entry else {
        panic!("{entry:?}");
    };
    assert_eq!(after, Duration::from_secs(1));
}

#[test]
fn a_burst_of_large_answers_beyond_the_link_is_served_in_part_and_in_time() {
    let mut gate = behind_narrow_link();
    let mut sent: Vec<Duration> = Vec::new();
    let mut refused = 0;
    let mut running: Vec<(Duration, AttemptId)> = Vec::new();
    // Twice as many packs as the link carries, for ten seconds.
    for step in 0..2_000_u64 {
        let now = NOW + Duration::from_millis(step * 10);
        let mut settled = gate.sweep(now);
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
            match gate.arrive(now, ticket.clone()).0 {
                Admission::Run => settled.push(Decision::Run(ticket.attempt)),
                Admission::Queued => {}
                Admission::Rejected(..) => refused += 1,
            }
        }
        let done: Vec<_> = running.extract_if(.., |(end, _)| *end <= now).collect();
        for (_, attempt) in done {
            let start = gate.link_mut().reserve(now, 92_000);
            let arrived = NOW + Duration::from_millis(attempt.0 as u64 * 10);
            sent.push((start + Duration::from_secs(1)).saturating_sub(arrived));
            settled.extend(gate.release(now, Class::Short, &pack(), None));
        }
        for decision in settled {
            match decision {
                Decision::Run(attempt) => running.push((now + Duration::from_millis(150), attempt)),
                Decision::Rejected(..) => refused += 1,
            }
        }
    }
    assert_eq!(sent.len() + refused, 20);
    let in_time = sent.iter().filter(|took| **took <= Duration::from_millis(2_500)).count();
    assert!(in_time >= 9, "{in_time} in time of {sent:?}");
    assert!(in_time + 2 >= sent.len(), "{in_time} in time of {sent:?}");
}
