//! Tests of [`super`].

use std::time::Duration;

use medlarpoint_model::{Class, Policy};

use super::{Entry, Gate, Refusal, Settled, Ticket};
use crate::AttemptId;

const NOW: Duration = Duration::from_secs(100);

fn gate(slots: u32) -> Gate {
    let policy = Policy { ramp_ms: 0, queue_per_slot: 2, ..Policy::default() };
    Gate::new(slots, policy, Duration::ZERO)
}

fn ticket(id: u128, class: Class, deadline_ms: u64) -> Ticket {
    Ticket {
        attempt: AttemptId(id),
        class,
        tenant: "t".parse().unwrap(),
        weight: 1,
        rank: 1,
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
    assert_eq!(gate.leave(NOW, Class::Short, None), [Settled::Run(AttemptId(3))]);
}

#[test]
fn what_cannot_be_done_in_time_is_refused_at_once() {
    let mut gate = gate(1);
    gate.arrive(NOW, ticket(1, Class::Short, 1_000));
    gate.leave(NOW, Class::Short, Some(Duration::from_millis(100)));
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
