//! Tests of [`super`].

use std::time::Duration;

use medlarpoint_model::Class;

use super::{Priority, Queue};
use crate::{AttemptId, Ticket};

fn ticket(id: u128) -> Ticket {
    Ticket {
        attempt: AttemptId(id),
        class: Class::Short,
        tenant: "t".parse().unwrap(),
        in_workspace: false,
        weight: 1,
        rank: 1,
        route: "k".parse().unwrap(),
        body_bytes: 0,
        useful_until: None,
        may_spill: false,
        suspect: false,
        expected: None,
        arrived: Duration::ZERO,
        deadline: Duration::from_secs(1),
    }
}

fn in_time_at(rank: u8) -> Priority {
    Priority { rank, late: false }
}

#[test]
fn lower_ranks_go_first_and_each_rank_in_order_of_arrival() {
    let mut queue = Queue::default();
    for (id, rank) in [(1, 2), (2, 1), (3, 2), (4, 0)] {
        queue.push(in_time_at(rank), ticket(id));
    }
    assert_eq!((queue.len(), queue.ahead(in_time_at(1), &ticket(9), |_| true)), (4, 2));
    let next = || queue.pop(|_| true, |_| true).map(|ticket| ticket.attempt.0);
    let order: Vec<u128> = std::iter::from_fn(next).collect();
    assert_eq!(order, [4, 2, 1, 3]);
}

#[test]
fn calls_in_time_overtake_a_late_one() {
    let mut queue = Queue::default();
    for id in [1, 2, 3] {
        queue.push(in_time_at(1), ticket(id));
    }
    let in_time = |ticket: &Ticket| ticket.attempt.0 > 1;
    let order: Vec<u128> = std::iter::from_fn(|| queue.pop(|_| true, in_time))
        .map(|ticket| ticket.attempt.0)
        .collect();
    assert_eq!(order, [2, 3, 1]);
}

#[test]
fn the_newest_ticket_of_the_last_priority_is_displaced() {
    let mut queue = Queue::default();
    for (id, rank) in [(1, 1), (2, 2), (3, 2)] {
        queue.push(in_time_at(rank), ticket(id));
    }
    assert_eq!(queue.displace(in_time_at(1), &ticket(9)).map(|t| t.attempt.0), Some(3));
    assert_eq!(queue.displace(in_time_at(3), &ticket(9)), None);
    assert!(queue.remove(AttemptId(2)).is_some());
    assert_eq!(queue.len(), 1);
}

#[test]
fn a_call_with_an_earlier_due_date_overtakes_longer_ones() {
    let mut queue = Queue::default();
    let due = |id, ms| Ticket { useful_until: Some(Duration::from_millis(ms)), ..ticket(id) };
    for (id, ms) in [(1, 800), (2, 790), (3, 200)] {
        queue.push(in_time_at(1), due(id, ms));
    }
    assert_eq!(queue.ahead(in_time_at(1), &due(9, 300), |_| true), 1);
    let next = || queue.pop(|_| true, |_| true).map(|ticket| ticket.attempt.0);
    let order: Vec<u128> = std::iter::from_fn(next).collect();
    assert_eq!(order, [3, 2, 1]);
}

#[test]
fn late_calls_are_served_by_earliest_deadline() {
    let mut queue = Queue::default();
    let late = Priority { rank: 1, late: true };
    for (id, ms) in [(1, 2_000), (2, 500)] {
        let useful_until = Some(Duration::ZERO);
        let deadline = Duration::from_millis(ms);
        queue.push(late, Ticket { useful_until, deadline, ..ticket(id) });
    }
    assert_eq!(queue.pop(|_| true, |_| false).map(|ticket| ticket.attempt.0), Some(2));
}
