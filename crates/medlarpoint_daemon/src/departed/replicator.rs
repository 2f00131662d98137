//! Completes the copies of the departures that this daemon holds, until they expire.

use std::sync::Arc;
use std::time::Duration;

use medlarpoint_membership::departed::replication::Task;
use medlarpoint_wire::Departures;

use super::{departure_of, replicas_of, tell_peer, write};
use crate::control::Driver;
use crate::event::Event;
use crate::state::{Shared, lock};

/// Interval between checks. After an outage of the store, a departure that only peers keep is
/// stored within it.
const INTERVAL: Duration = Duration::from_millis(500);

/// Tells daemons that hold no copy, and stores what the store does not have, until the daemon
/// closes.
pub(crate) async fn run(driver: Arc<Driver>) {
    let shared = Arc::clone(driver.shared());
    loop {
        tokio::select! {
            () = tokio::time::sleep(INTERVAL) => {}
            () = shared.lifecycle.wait_closed() => return,
        }
        for task in tasks(&shared) {
            tokio::select! {
                () = perform(&shared, task) => {}
                () = shared.lifecycle.wait_closed() => return,
            }
        }
    }
}

/// Returns what this daemon has to do now.
fn tasks(shared: &Shared) -> Vec<Task> {
    let own_vm = &shared.settings.options.vm;
    let (now, era) = (shared.now(), shared.store.era().0);
    let vms = lock(&shared.departed.departed).vms(now);
    let tasks = |vm| {
        let replicas = replicas_of(shared, &vm);
        lock(&shared.departed.departed).tasks(now, own_vm, &vm, &replicas, era)
    };
    vms.into_iter().flat_map(tasks).collect()
}

/// Stores a departure and tells others of it, each if that is due.
async fn perform(shared: &Arc<Shared>, task: Task) {
    let Task { vm, process, age, stored_in, tell, store } = task;
    let told = Departures {
        vm: vm.clone(),
        processes: vec![departure_of(process.clone(), age, stored_in)],
        keepers: 0,
    };
    for record in tell {
        let (shared, told) = (Arc::clone(shared), told.clone());
        // A daemon that does not respond is told again in the next round.
        tokio::spawn(async move { tell_peer(&shared, &record, &told).await });
    }
    if store && write(shared, &vm, &process, age).await.is_ok() {
        let instance = process.instance.to_string();
        let age_ms = age.as_millis() as u64;
        metrics::counter!("medlarpoint_departures_total", "result" => "stored-later").increment(1);
        shared.emit(&Event::DepartureStored { instance, vm, age_ms });
    }
}
