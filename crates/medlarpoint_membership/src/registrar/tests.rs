//! Tests of [`super`].

use medlarpoint_model::Vm;

use super::{REGISTRARS, is_registrar};

fn data_centre(size: usize) -> Vec<Vm> {
    (0..size).map(|index| Vm(format!("vm-{index}").parse().unwrap())).collect()
}

fn registrars(members: &[Vm]) -> Vec<&Vm> {
    members.iter().filter(|vm| is_registrar(vm, members.iter())).collect()
}

/// The load of a large fleet on the store: 160 daemons per data centre.
#[test]
fn the_number_of_entries_does_not_grow_with_the_data_centre() {
    for size in [3, 37, 160] {
        assert_eq!(registrars(&data_centre(size)).len(), REGISTRARS);
    }
}

#[test]
fn a_daemon_that_knows_no_other_keeps_an_entry() {
    assert_eq!(registrars(&data_centre(1)).len(), 1);
}

#[test]
fn another_daemon_takes_over_from_one_that_is_lost() {
    let mut members = data_centre(37);
    let lost = registrars(&members)[0].clone();
    let kept: Vec<Vm> = registrars(&members)[1..].iter().map(|vm| (*vm).clone()).collect();
    members.retain(|vm| *vm != lost);
    let after = registrars(&members);
    assert_eq!(after.len(), REGISTRARS);
    assert!(kept.iter().all(|vm| after.contains(&vm)));
}
