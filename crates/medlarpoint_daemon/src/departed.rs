//! Keeps the departures of this VM's target processes with peers and in the store, so that
//! what the daemon acknowledges outlives it.
//!
//! A departure is acknowledged once the store, or two peers, have it. [`replicator`] completes
//! the copies later. A daemon that starts asks both, see [`learner`].

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use indexmap::IndexSet;
use medlarpoint_membership::Departed;
use medlarpoint_membership::departed::replication::{KEEPERS, remaining, replicas};
use medlarpoint_membership::departed::{Process, SUFFICIENT_KEEPERS, keepers};
use medlarpoint_membership::instance::Report;
use medlarpoint_model::Vm;
use medlarpoint_store::{Error, Expected, Key, Store};
use medlarpoint_wire::{Departure, Departures, Record};
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout_at};

use crate::event::Event;
use crate::state::{Shared, lock};
use crate::store_reader::record_store_result;
use crate::{peer, target};

pub(crate) mod learner;
pub(crate) mod replicator;

/// Limit on the wait for others to keep a departure. The target waits one second for the
/// acknowledgement.
const KEEP_TIMEOUT: Duration = Duration::from_millis(800);
/// Time after which a daemon that has joined the fleet knows the departures that it keeps:
/// until then, their other holders notice that it has started, and tell it.
const KEEPER_SETTLE_TIME: Duration = Duration::from_secs(3);
/// Shortest lease of a departure, which is above the minimum of the store.
const MIN_LEASE_TTL: Duration = Duration::from_secs(2);
/// Limit on the processes whose departure is known to be kept by others.
const MAX_KEPT: usize = 16;

/// Error for a departure that neither the store nor enough peers have confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("neither the store nor {SUFFICIENT_KEEPERS} peers keep the departure: report it again")]
pub(crate) struct NotKept;

/// Departures that this daemon knows: those of its own target and those that it keeps for
/// peers.
#[derive(Debug, Default)]
pub(crate) struct Memory {
    departed: Mutex<Departed>,
    /// Processes of this VM whose departure others keep as well.
    ///
    /// Invariant: there are at most [`MAX_KEPT`].
    kept: Mutex<IndexSet<(Arc<str>, u64)>>,
    /// Whether the departures before the start of this daemon are known.
    learned: AtomicBool,
}

impl Memory {
    /// Returns whether the departures before the start of this daemon are known.
    pub(crate) fn is_learned(&self) -> bool {
        self.learned.load(Ordering::Acquire)
    }

    /// Returns whether a report is from a process of the target on `vm` that has left since.
    pub(crate) fn contains(&self, now: Duration, vm: &Vm, report: &Report) -> bool {
        lock(&self.departed).contains(now, vm, report)
    }

    /// Records the departure of a process of the target on `vm`.
    pub(crate) fn record(&self, now: Duration, vm: &Vm, process: Process) {
        lock(&self.departed).record(now, vm, process, Duration::ZERO);
    }

    /// Records that a process accepts work again, so that its next departure is a new one.
    pub(crate) fn on_return(&self, instance: &str, born_ms: u64) {
        lock(&self.kept).shift_remove(&(Arc::from(instance), born_ms));
    }

    /// Returns all that is known of the departures of a VM.
    fn known(&self, now: Duration, vm: &Vm) -> Vec<Departure> {
        let departed = lock(&self.departed);
        let departure = |(process, age): (Process, Duration)| {
            let stored_in = departed.stored_in(vm, &process);
            departure_of(process, age, stored_in)
        };
        departed.of(now, vm).into_iter().map(departure).collect()
    }

    /// Merges what another daemon or the store keeps. Returns the processes that were not known.
    fn merge(&self, now: Duration, told: &Departures) -> Vec<Process> {
        let mut departed = lock(&self.departed);
        let mut news = Vec::new();
        for departure in &told.processes {
            let age = Duration::from_millis(departure.age_ms);
            let process = process_of(departure);
            if departed.record(now, &told.vm, process.clone(), age) {
                news.push(process.clone());
            }
            if let Some(era) = departure.stored_in {
                departed.on_stored(&told.vm, &process, era);
            }
        }
        news
    }

    /// Records that daemons were told of departures.
    fn on_told(&self, told: &Departures, daemons: &[Record]) {
        let mut departed = lock(&self.departed);
        for departure in &told.processes {
            let knows_stored = departure.stored_in.is_some();
            departed.on_told(&told.vm, &process_of(departure), daemons, knows_stored);
        }
    }

    /// Returns whether others keep the departure of a process of this VM.
    pub(crate) fn is_kept(&self, process: &Process) -> bool {
        lock(&self.kept).contains(&(Arc::clone(&process.instance), process.born_ms))
    }

    fn on_kept(&self, process: &Process) {
        let mut kept = lock(&self.kept);
        if kept.len() >= MAX_KEPT {
            kept.shift_remove_index(0);
        }
        kept.insert((Arc::clone(&process.instance), process.born_ms));
    }
}

fn departure_of(process: Process, age: Duration, stored_in: Option<u64>) -> Departure {
    let Process { instance, born_ms, last_seq } = process;
    Departure { instance, born_ms, last_seq, age_ms: age.as_millis() as u64, stored_in }
}

fn process_of(departure: &Departure) -> Process {
    let Departure { instance, born_ms, last_seq, .. } = departure;
    Process { instance: Arc::clone(instance), born_ms: *born_ms, last_seq: *last_seq }
}

/// Returns the peers that keep the departures of a VM.
fn keepers_of(shared: &Shared, vm: &Vm) -> Vec<Record> {
    let control = lock(&shared.control);
    let live = control.detector.table().live();
    keepers(live, vm, KEEPERS).into_iter().cloned().collect()
}

/// Returns the daemons that are to hold the departures of a VM.
fn replicas_of(shared: &Shared, vm: &Vm) -> Vec<Record> {
    let control = lock(&shared.control);
    let live: Vec<&Record> = control.detector.table().live().collect();
    replicas(&live, vm)
}

/// Handles a message of another daemon: keeps the departures that it tells of, and returns what
/// is known of that VM. Takes the own target out of service if a keeper knows that its process
/// has left.
pub(crate) fn receive(shared: &Shared, told: &Departures) -> Departures {
    let now = shared.now();
    let own_vm = &shared.settings.options.vm;
    let news = shared.departed.merge(now, told);
    let replicas = replicas_of(shared, &told.vm);
    // The sender tells all replicas.
    shared.departed.on_told(told, &replicas);
    if !news.is_empty() && told.vm == *own_vm {
        target::drop_departed(shared);
    }
    let keepers: Vec<&Record> = replicas.iter().filter(|record| record.vm != told.vm).collect();
    let is_keeper = keepers.iter().any(|record| record.vm == *own_vm);
    let vouches = is_keeper && is_settled(shared, now);
    Departures {
        vm: told.vm.clone(),
        processes: shared.departed.known(now, &told.vm),
        keepers: if vouches { keepers.len() as u32 } else { 0 },
    }
}

/// Returns whether this daemon knows the departures that it keeps for others.
fn is_settled(shared: &Shared, now: Duration) -> bool {
    let control = lock(&shared.control);
    let mut others = control.detector.table().live_others(&shared.settings.options.vm);
    others.any(|member| now.saturating_sub(member.live_since) >= KEEPER_SETTLE_TIME)
}

/// A confirmation that a departure is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Keeper {
    Store,
    Peer,
}

/// Has others keep the departure of a process of this VM. Completes once the store or enough
/// peers have it; the others are told all the same.
pub(crate) async fn keep(shared: &Arc<Shared>, process: Process) -> Result<(), NotKept> {
    if shared.departed.is_kept(&process) {
        return Ok(());
    }
    let started = shared.now();
    let peers = keepers_of(shared, &shared.settings.options.vm);
    let sufficient = peers.len().clamp(1, SUFFICIENT_KEEPERS);
    let mut confirmations = tell(shared, &process, peers);
    let deadline = Instant::now() + KEEP_TIMEOUT;
    let (mut confirmed_peers, mut store) = (0, false);
    while !store && confirmed_peers < sufficient {
        match timeout_at(deadline, confirmations.recv()).await {
            Ok(Some(Keeper::Store)) => store = true,
            Ok(Some(Keeper::Peer)) => confirmed_peers += 1,
            // All have answered, or the time is over.
            Ok(None) | Err(_) => break,
        }
    }
    let instance = process.instance.to_string();
    let took_ms = shared.now().saturating_sub(started).as_millis() as u64;
    let peers = confirmed_peers;
    if !store && peers < sufficient {
        metrics::counter!("medlarpoint_departures_total", "result" => "not-kept").increment(1);
        shared.emit(&Event::DepartureNotKept { instance, peers, took_ms });
        return Err(NotKept);
    }
    shared.departed.on_kept(&process);
    metrics::counter!("medlarpoint_departures_total", "result" => "kept").increment(1);
    shared.emit(&Event::DepartureKept { instance, peers, store, took_ms });
    Ok(())
}

/// Tells the store and some peers of a departure. Returns a channel of their confirmations.
fn tell(
    shared: &Arc<Shared>,
    process: &Process,
    peers: Vec<Record>,
) -> mpsc::UnboundedReceiver<Keeper> {
    let (sender, confirmations) = mpsc::unbounded_channel();
    let vm = shared.settings.options.vm.clone();
    let departure = departure_of(process.clone(), Duration::ZERO, None);
    let told = Departures { vm, processes: vec![departure], keepers: 0 };
    for record in peers {
        let (shared, sender, told) = (Arc::clone(shared), sender.clone(), told.clone());
        tokio::spawn(async move {
            if tell_peer(&shared, &record, &told).await {
                // The receiver is dropped once enough have confirmed.
                let _ = sender.send(Keeper::Peer);
            }
        });
    }
    let (shared, process) = (Arc::clone(shared), process.clone());
    tokio::spawn(async move {
        if write(&shared, &told.vm, &process, Duration::ZERO).await.is_ok() {
            // The receiver is dropped once enough have confirmed.
            let _ = sender.send(Keeper::Store);
        }
    });
    confirmations
}

/// Tells a peer of departures. Returns whether it has confirmed.
async fn tell_peer(shared: &Shared, record: &Record, told: &Departures) -> bool {
    let distance = shared.distance(record);
    let confirmed = peer::departures(shared, record.peer, distance, told).await.is_ok();
    if confirmed {
        shared.departed.on_told(told, std::slice::from_ref(record));
    }
    confirmed
}

/// Stores a departure for as long as late reports are expected.
async fn write(shared: &Shared, vm: &Vm, process: &Process, age: Duration) -> Result<(), Error> {
    let unavailable = |error: &dyn std::fmt::Display| Error::Unavailable(error.to_string());
    let key = format!("departed/{vm}/{}", process.born_ms).parse::<Key>();
    let key = key.map_err(|error| unavailable(&error))?;
    let departure = departure_of(process.clone(), age, None);
    let told = Departures { vm: vm.clone(), processes: vec![departure], keepers: 0 };
    let value = rmp_serde::to_vec_named(&told).map_err(|error| unavailable(&error))?;
    let result = async {
        let lease = shared.store.grant(remaining(age).max(MIN_LEASE_TTL)).await?;
        shared.store.put(&key, Expected::Any, Bytes::from(value), Some(lease)).await?;
        Ok(lease.era)
    };
    let result = result.await;
    record_store_result(shared, result.as_ref().err());
    let era = result?;
    lock(&shared.departed.departed).on_stored(vm, process, era.0);
    Ok(())
}
