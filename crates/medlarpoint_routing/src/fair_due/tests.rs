//! Tests of [`super`].

use std::time::Duration;

use medlarpoint_model::Class;

use super::Queue;
use crate::{AttemptId, Ticket};

fn ticket(id: u128, workspace: Option<&str>) -> Ticket {
    Ticket {
        attempt: AttemptId(id),
        class: Class::Short,
        tenant: workspace.unwrap_or("unnamed").parse().unwrap(),
        in_workspace: workspace.is_some(),
        weight: 1,
        rank: 1,
        route: "k".parse().unwrap(),
        expected: None,
        body_bytes: 0,
        useful_until: Some(Duration::MAX),
        may_spill: false,
        suspect: false,
        arrived: Duration::ZERO,
        deadline: Duration::MAX,
    }
}

fn due(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A queue with a backlog of 20 calls of the workspace `busy`, due at 0 to 19 ms, of which more
/// than its credit has been served.
fn backlog() -> Queue {
    let mut queue = Queue::default();
    for id in 100..120 {
        queue.push(due(0), ticket(id, Some("busy")));
    }
    assert_eq!(take(&mut queue, 30).len(), 20);
    for id in 0..20_u8 {
        queue.push(due(id.into()), ticket(id.into(), Some("busy")));
    }
    queue
}

fn take(queue: &mut Queue, count: usize) -> Vec<u128> {
    let next = || queue.pop(|_| true, |_| true).map(|ticket| ticket.attempt.0);
    std::iter::from_fn(next).take(count).collect()
}

/// Deployments without workspaces rely on the order by due date.
#[test]
fn without_workspaces_the_order_is_by_due_date_whatever_the_tenant() {
    let mut queue = Queue::default();
    for (id, tenant, ms) in [(1, "a", 30), (2, "b", 10), (3, "a", 20), (4, "b", 40)] {
        let tenant = tenant.parse().unwrap();
        queue.push(due(ms), Ticket { tenant, ..ticket(id, None) });
    }
    assert_eq!(queue.before(due(25), &ticket(9, None)).count(), 2);
    assert_eq!(queue.pop_last().map(|ticket| ticket.attempt.0), Some(4));
    assert_eq!(queue.displace(&ticket(9, None)), None);
    assert_eq!(take(&mut queue, 9), [2, 3, 1]);
}

/// Ordered by due date, the calls of the others would wait for the whole backlog.
#[test]
fn a_backlog_of_one_workspace_does_not_precede_the_calls_of_others() {
    let mut queue = backlog();
    assert_eq!(take(&mut queue, 5), [0, 1, 2, 3, 4]);
    for (index, workspace) in [Some("a"), Some("b"), None].into_iter().enumerate() {
        let ticket = ticket(50 + index as u128, workspace);
        assert_eq!(queue.before(due(100), &ticket).count(), index, "{workspace:?}");
        queue.push(due(100), ticket);
    }
    assert_eq!(queue.before(due(100), &ticket(60, Some("busy"))).count(), 18);
    assert_eq!(take(&mut queue, 4), [50, 51, 52, 5]);
}

/// A few calls at once of a workspace within its share must not wait for a flood either.
#[test]
fn a_workspace_may_catch_up_by_its_credit_and_no_more() {
    let mut queue = backlog();
    for id in 50..80 {
        queue.push(due(100), ticket(id, Some("a")));
    }
    let next = take(&mut queue, 30);
    let caught_up = next.iter().take_while(|id| **id >= 50).count();
    assert!((16..=18).contains(&caught_up), "{next:?}");
    let rest = &next[caught_up..];
    assert!(rest.iter().filter(|id| **id < 50).count() * 2 >= rest.len() - 1, "{next:?}");
}

#[test]
fn among_workspaces_within_their_share_the_earliest_due_date_goes_first() {
    let mut queue = Queue::default();
    for (id, workspace, ms) in [(1, "a", 30), (2, "b", 10), (3, "c", 20)] {
        queue.push(due(ms), ticket(id, Some(workspace)));
    }
    assert_eq!(take(&mut queue, 3), [2, 3, 1]);
}

#[test]
fn slots_are_divided_by_weight_and_half_go_to_calls_without_a_workspace() {
    let mut queue = Queue::default();
    for id in 0..500 {
        queue.push(due(1), Ticket { weight: 3, ..ticket(id, Some("large")) });
        queue.push(due(1), ticket(id + 500, Some("small")));
        queue.push(due(2), ticket(id + 1_000, None));
    }
    // All use up their credit first.
    take(&mut queue, 200);
    let taken = take(&mut queue, 80);
    let count = |from: u128| taken.iter().filter(|id| (from..from + 500).contains(*id)).count();
    let counts = [count(0), count(500), count(1_000)];
    assert!((28..=32).contains(&counts[0]), "{counts:?}");
    assert!((8..=12).contains(&counts[1]), "{counts:?}");
    assert!((38..=42).contains(&counts[2]), "{counts:?}");
}

/// Calls that are taken to be moved to the late ones must not cost their workspace its share.
#[test]
fn a_ticket_that_is_not_served_does_not_count_towards_the_share() {
    let mut queue = backlog();
    for id in 100..140 {
        queue.push(due(0), ticket(id, Some("a")));
        queue.pop(|ticket| ticket.attempt.0 == id, |_| false).unwrap();
    }
    queue.push(due(100), ticket(200, Some("a")));
    assert_eq!(take(&mut queue, 1), [200]);
}

#[test]
fn the_longest_flow_makes_room_for_a_workspace_within_its_share() {
    let mut queue = backlog();
    assert_eq!(queue.displace(&ticket(50, Some("a"))).map(|t| t.attempt.0), Some(19));
    assert_eq!(queue.displace(&ticket(50, Some("busy"))), None);
    assert_eq!(queue.len(), 19);
}

#[test]
fn tickets_are_removed_by_attempt_and_by_predicate() {
    let mut queue = backlog();
    assert!(queue.remove(AttemptId(3)).is_some());
    assert!(queue.remove(AttemptId(3)).is_none());
    assert_eq!(queue.extract(|ticket| ticket.attempt.0 < 10).len(), 9);
    assert_eq!((queue.len(), queue.iter().count()), (10, 10));
}
