//! Tests of [`super`].

use std::time::Duration;

use medlarpoint_model::Class;

use super::Ranked;
use crate::{AttemptId, Ticket};

fn ticket(id: u128, rank: u8) -> Ticket {
    let tenant = "t".parse().unwrap();
    let deadline = Duration::from_secs(1);
    Ticket { attempt: AttemptId(id), class: Class::Short, tenant, weight: 1, rank, deadline }
}

#[test]
fn urgent_ranks_go_first_and_each_in_its_order() {
    let mut queue = Ranked::default();
    for (id, rank) in [(1, 2), (2, 1), (3, 2), (4, 0)] {
        queue.push(ticket(id, rank));
    }
    assert_eq!((queue.len(), queue.len_up_to(1)), (4, 2));
    let order: Vec<u128> = std::iter::from_fn(|| queue.pop()).map(|t| t.attempt.0).collect();
    assert_eq!(order, [4, 2, 1, 3]);
}

#[test]
fn the_newest_of_the_least_urgent_gives_way() {
    let mut queue = Ranked::default();
    for (id, rank) in [(1, 1), (2, 2), (3, 2)] {
        queue.push(ticket(id, rank));
    }
    assert_eq!(queue.displace(&ticket(9, 1)).map(|t| t.attempt.0), Some(3));
    assert_eq!(queue.displace(&ticket(9, 3)), None);
    assert_eq!(queue.remove(AttemptId(2)).map(|t| t.rank), Some(2));
    assert_eq!(queue.len(), 1);
}
