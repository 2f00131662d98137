//! Tests of [`super`].

use std::time::Duration;

use medlarpoint_model::Class;

use super::{Ranked, Turn};
use crate::{AttemptId, Ticket};

fn ticket(id: u128) -> Ticket {
    Ticket {
        attempt: AttemptId(id),
        class: Class::Short,
        tenant: "t".parse().unwrap(),
        weight: 1,
        rank: 1,
        route: "k".parse().unwrap(),
        useful_until: None,
        may_spill: false,
        arrived: Duration::ZERO,
        deadline: Duration::from_secs(1),
    }
}

fn early(rank: u8) -> Turn {
    Turn { rank, late: false }
}

#[test]
fn urgent_ranks_go_first_and_each_in_its_order() {
    let mut queue = Ranked::default();
    for (id, rank) in [(1, 2), (2, 1), (3, 2), (4, 0)] {
        queue.push(early(rank), ticket(id));
    }
    assert_eq!((queue.len(), queue.ahead(early(1), &ticket(9), |_| true)), (4, 2));
    let next = || queue.pop(|_| true, |_| true).map(|ticket| ticket.attempt.0);
    let order: Vec<u128> = std::iter::from_fn(next).collect();
    assert_eq!(order, [4, 2, 1, 3]);
}

#[test]
fn one_that_waited_too_long_lets_those_in_time_pass() {
    let mut queue = Ranked::default();
    for id in [1, 2, 3] {
        queue.push(early(1), ticket(id));
    }
    let in_time = |ticket: &Ticket| ticket.attempt.0 > 1;
    let order: Vec<u128> = std::iter::from_fn(|| queue.pop(|_| true, in_time))
        .map(|ticket| ticket.attempt.0)
        .collect();
    assert_eq!(order, [2, 3, 1]);
}

#[test]
fn the_newest_of_the_last_turn_gives_way() {
    let mut queue = Ranked::default();
    for (id, rank) in [(1, 1), (2, 2), (3, 2)] {
        queue.push(early(rank), ticket(id));
    }
    assert_eq!(queue.displace(early(1), &ticket(9)).map(|t| t.attempt.0), Some(3));
    assert_eq!(queue.displace(early(3), &ticket(9)), None);
    assert!(queue.remove(AttemptId(2)).is_some());
    assert_eq!(queue.len(), 1);
}

#[test]
fn a_short_call_that_running_work_waits_for_passes_longer_ones() {
    let mut queue = Ranked::default();
    let due = |id, ms| Ticket { useful_until: Some(Duration::from_millis(ms)), ..ticket(id) };
    for (id, ms) in [(1, 800), (2, 790), (3, 200)] {
        queue.push(early(1), due(id, ms));
    }
    assert_eq!(queue.ahead(early(1), &due(9, 300), |_| true), 1);
    let next = || queue.pop(|_| true, |_| true).map(|ticket| ticket.attempt.0);
    let order: Vec<u128> = std::iter::from_fn(next).collect();
    assert_eq!(order, [3, 2, 1]);
}

#[test]
fn late_calls_are_served_by_their_deadlines() {
    let mut queue = Ranked::default();
    let late = Turn { rank: 1, late: true };
    for (id, ms) in [(1, 2_000), (2, 500)] {
        let useful_until = Some(Duration::ZERO);
        let deadline = Duration::from_millis(ms);
        queue.push(late, Ticket { useful_until, deadline, ..ticket(id) });
    }
    assert_eq!(queue.pop(|_| true, |_| false).map(|ticket| ticket.attempt.0), Some(2));
}
