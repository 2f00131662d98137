//! Tests of [`super`].

use std::time::Duration;

use medlarpoint_model::Vm;

use super::{Departures, MAX_VMS, RETENTION};

const NOW: Duration = Duration::from_secs(10);

fn vm(number: usize) -> Vm {
    format!("vm-{number}").parse().unwrap()
}

#[test]
fn the_last_process_of_a_vm_that_said_so_is_leaving_for_a_while() {
    let mut departures = Departures::default();
    assert_eq!(departures.leaving(NOW, &vm(1)), None);
    departures.record(NOW, &vm(1), "a");
    departures.record(NOW, &vm(1), "b");
    assert_eq!(departures.leaving(NOW, &vm(1)).as_deref(), Some("b"));
    assert_eq!(departures.leaving(NOW, &vm(2)), None);
    assert_eq!(departures.leaving(NOW + RETENTION, &vm(1)), None);
}

#[test]
fn the_number_of_departures_is_limited() {
    let mut departures = Departures::default();
    for number in 0..=MAX_VMS {
        departures.record(NOW, &vm(number), "a");
    }
    assert_eq!(departures.leaving(NOW, &vm(0)), None);
    assert!(departures.leaving(NOW, &vm(MAX_VMS)).is_some());
}
