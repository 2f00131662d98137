//! Tests of [`super`].

use std::time::Duration;

use medlarpoint_model::Class;

use super::Fair;
use crate::{AttemptId, Ticket};

fn ticket(id: u128, tenant: &str, weight: u16) -> Ticket {
    Ticket {
        attempt: AttemptId(id),
        class: Class::Short,
        tenant: tenant.parse().unwrap(),
        weight,
        rank: 1,
        route: "k".parse().expect("a valid literal"),
        useful_until: None,
        may_spill: false,
        arrived: Duration::ZERO,
        deadline: Duration::MAX,
    }
}

#[test]
fn turns_follow_the_weights() {
    let mut fair = Fair::default();
    for id in 0..40 {
        fair.push(ticket(id, "busy", 1));
    }
    for id in 40..60 {
        fair.push(ticket(id, "chairs", 3));
    }
    let first: Vec<_> = (0..20).filter_map(|_| fair.pop(|_| true)).collect();
    let chairs = first.iter().filter(|t| t.tenant.as_str() == "chairs").count();
    assert_eq!(chairs, 15);
}

#[test]
fn a_light_tenant_displaces_the_heaviest() {
    let mut fair = Fair::default();
    for id in 0..8 {
        fair.push(ticket(id, "busy", 1));
    }
    let displaced = fair.displace(&"light".parse().unwrap(), 1).unwrap();
    assert_eq!(displaced.attempt, AttemptId(7));
    assert!(fair.displace(&"busy".parse().unwrap(), 1).is_none());
    assert_eq!(fair.len(), 7);
}
