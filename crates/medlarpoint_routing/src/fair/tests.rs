//! Tests of [`super`].

use std::time::Duration;

use medlarpoint_model::Class;

use super::Queue;
use crate::{AttemptId, Ticket};

fn ticket(id: u128, tenant: &str, weight: u16) -> Ticket {
    Ticket {
        attempt: AttemptId(id),
        class: Class::Short,
        tenant: tenant.parse().unwrap(),
        in_workspace: false,
        weight,
        rank: 1,
        route: "k".parse().expect("a valid literal"),
        body_bytes: 0,
        useful_until: None,
        may_spill: false,
        suspect: false,
        expected: None,
        arrived: Duration::ZERO,
        deadline: Duration::MAX,
    }
}

#[test]
fn tenants_are_served_in_proportion_to_their_weights() {
    let mut queue = Queue::default();
    for id in 0..40 {
        queue.push(ticket(id, "busy", 1));
    }
    for id in 40..60 {
        queue.push(ticket(id, "chairs", 3));
    }
    let first: Vec<_> = (0..20).filter_map(|_| queue.pop(|_| true)).collect();
    let chairs = first.iter().filter(|t| t.tenant.as_str() == "chairs").count();
    assert_eq!(chairs, 15);
}

#[test]
fn a_tenant_with_few_tickets_displaces_the_newest_of_the_longest_flow() {
    let mut queue = Queue::default();
    for id in 0..8 {
        queue.push(ticket(id, "busy", 1));
    }
    let displaced = queue.displace(&"light".parse().unwrap(), 1).unwrap();
    assert_eq!(displaced.attempt, AttemptId(7));
    assert!(queue.displace(&"busy".parse().unwrap(), 1).is_none());
    assert_eq!(queue.len(), 7);
}
