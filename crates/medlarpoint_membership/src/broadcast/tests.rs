//! Tests of [`super`].

use std::collections::HashMap;

use medlarpoint_model::Vm;

use super::{FANOUT, children};

#[test]
fn every_member_is_reached_once_within_three_hops() {
    for size in [1, 2, 13, 79, 1_100] {
        let members: Vec<Vm> = (0..size).map(|n| format!("vm-{n}").parse().unwrap()).collect();
        let origin = &members[size / 2];
        let mut depth: HashMap<&Vm, usize> = HashMap::from([(origin, 0)]);
        let mut pending = vec![origin];
        while let Some(vm) = pending.pop() {
            let next_hops = children(origin, vm, members.iter());
            assert!(next_hops.len() <= FANOUT);
            for other in next_hops {
                assert!(depth.insert(other, depth[vm] + 1).is_none(), "{other} is reached twice");
                pending.push(other);
            }
        }
        assert_eq!(depth.len(), size);
        assert!(depth.values().all(|depth| *depth <= 3));
    }
}

#[test]
fn a_member_missing_from_the_table_forwards_nothing() {
    let members: Vec<Vm> = (0..40).map(|n| format!("vm-{n}").parse().unwrap()).collect();
    let unknown = "other".parse().unwrap();
    assert!(children(&members[0], &unknown, members.iter()).is_empty());
}
