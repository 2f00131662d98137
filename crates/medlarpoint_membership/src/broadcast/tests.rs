//! Tests of [`super`].

use std::collections::HashMap;

use medlarpoint_model::Vm;

use super::{FANOUT, children};

#[test]
fn every_member_is_told_once_in_few_steps() {
    for size in [1, 2, 13, 79, 1_100] {
        let members: Vec<Vm> = (0..size).map(|n| format!("vm-{n}").parse().unwrap()).collect();
        let origin = &members[size / 2];
        let mut depth: HashMap<&Vm, usize> = HashMap::from([(origin, 0)]);
        let mut told = vec![origin];
        while let Some(vm) = told.pop() {
            let onward = children(origin, vm, members.iter());
            assert!(onward.len() <= FANOUT);
            for other in onward {
                assert!(depth.insert(other, depth[vm] + 1).is_none(), "{other} is told twice");
                told.push(other);
            }
        }
        assert_eq!(depth.len(), size);
        assert!(depth.values().all(|depth| *depth <= 3));
    }
}

#[test]
fn a_stranger_passes_nothing_on() {
    let members: Vec<Vm> = (0..40).map(|n| format!("vm-{n}").parse().unwrap()).collect();
    let stranger = "other".parse().unwrap();
    assert!(children(&members[0], &stranger, members.iter()).is_empty());
}
