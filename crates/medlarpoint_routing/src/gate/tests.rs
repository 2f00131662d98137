//! Tests of [`super`].

use std::time::Duration;

use medlarpoint_model::{Class, Name, Policy};

use super::{Entry, Gate, LATE_PATIENCE, Refusal, Settled, Ticket};
use crate::AttemptId;

const NOW: Duration = Duration::from_secs(100);

fn gate(slots: u32) -> Gate {
    let policy = Policy { ramp_ms: 0, queue_per_slot: 2, ..Policy::default() };
    Gate::new(slots, policy, Duration::ZERO)
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
        kind: kind(),
        useful_until: None,
        may_spill: false,
        since: NOW,
        deadline: NOW + Duration::from_millis(deadline_ms),
    }
}

#[test]
fn long_work_leaves_slots_to_short_work() {
    let mut gate = gate(4);
    let entries: Vec<Entry> =
        (0..3).map(|id| gate.arrive(NOW, ticket(id, Class::Long, 1_000)).0).collect();
    assert_eq!(entries, [Entry::Run, Entry::Run, Entry::Queued]);
    assert_eq!(gate.arrive(NOW, ticket(9, Class::Short, 1_000)).0, Entry::Run);
}

#[test]
fn waiting_long_work_is_not_starved() {
    let mut gate = gate(1);
    gate.arrive(NOW, ticket(1, Class::Short, 1_000));
    gate.arrive(NOW, ticket(2, Class::Short, 1_000));
    gate.arrive(NOW, ticket(3, Class::Long, 1_000));
    assert_eq!(gate.leave(NOW, Class::Short, &kind(), None), [Settled::Run(AttemptId(3))]);
}

#[test]
fn what_cannot_be_done_in_time_is_refused_at_once() {
    let mut gate = gate(1);
    gate.arrive(NOW, ticket(1, Class::Short, 1_000));
    gate.leave(NOW, Class::Short, &kind(), Some(Duration::from_millis(100)));
    gate.arrive(NOW, ticket(2, Class::Short, 1_000));
    let (entry, _) = gate.arrive(NOW, ticket(3, Class::Short, 150));
    assert_eq!(entry, Entry::Refused(Refusal::TooLate, Duration::from_millis(100)));
    assert_eq!(gate.arrive(NOW, ticket(4, Class::Short, 250)).0, Entry::Queued);
    let later = NOW + Duration::from_millis(200);
    let refused = gate.sweep(later);
    assert!(matches!(refused[..], [Settled::Refused(AttemptId(4), Refusal::TooLate, _)]));
}

#[test]
fn a_new_target_opens_slot_by_slot() {
    let policy = Policy { ramp_ms: 1_000, ..Policy::default() };
    let mut gate = Gate::new(10, policy, NOW);
    assert_eq!(gate.load(NOW).slots, 1);
    assert_eq!(gate.load(NOW + Duration::from_millis(500)).slots, 5);
    assert_eq!(gate.load(NOW + Duration::from_secs(1)).slots, 10);
    gate.set_slots(0, NOW + Duration::from_secs(2));
    let (entry, _) = gate.arrive(NOW + Duration::from_secs(2), ticket(1, Class::Short, 9_000));
    assert!(matches!(entry, Entry::Refused(Refusal::NoTarget, _)));
}

/// A target with one slot whose work takes 100 ms, and which is at work.
fn busy() -> Gate {
    let policy = Policy { ramp_ms: 0, queue_per_slot: 50, ..Policy::default() };
    let mut gate = Gate::new(1, policy, Duration::ZERO);
    gate.arrive(NOW, ticket(1, Class::Short, 9_000));
    gate.leave(NOW, Class::Short, &kind(), Some(Duration::from_millis(100)));
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
        for settled in gate.leave(now, Class::Short, &kind(), took) {
            let Settled::Run(id) = settled else {
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
    assert!(matches!(gate.arrive(NOW, spilled).0, Entry::Refused(Refusal::Busy, _)));
    let patient = Ticket { may_spill: true, ..aimed(3, 300) };
    assert_eq!(gate.arrive(NOW, patient).0, Entry::Queued);
    assert_eq!(gate.arrive(NOW, aimed(4, 200)).0, Entry::Queued);
}

#[test]
fn late_calls_are_refused_at_once_while_those_in_time_take_every_slot() {
    let mut gate = busy();
    assert_eq!(gate.arrive(NOW, aimed(2, 0)).0, Entry::Queued);
    let later = NOW + LATE_PATIENCE + Duration::from_millis(100);
    let (entry, _) = gate.arrive(later, aimed(3, 0));
    assert!(matches!(entry, Entry::Refused(Refusal::TooLate, _)));
    // More urgent calls do not wait for it.
    let urgent = Ticket { rank: 0, ..aimed(4, 0) };
    assert_eq!(gate.arrive(later, urgent).0, Entry::Queued);
    let settled = gate.leave(later, Class::Short, &kind(), Some(Duration::from_millis(100)));
    assert_eq!(settled, [Settled::Run(AttemptId(4))]);
}

#[test]
fn a_call_that_is_late_anywhere_is_not_passed_around() {
    let mut gate = busy();
    let spilled = Ticket { may_spill: true, ..aimed(2, 100) };
    assert_eq!(gate.arrive(NOW, spilled).0, Entry::Queued);
}
