//! Keeps the departures of this VM's target processes with peers and in the store, so that
//! what the daemon acknowledges outlives it.
//!
//! A departure is acknowledged once the store, or two peers, have it. A daemon that starts asks
//! both, and hands no calls over to its target before it has an answer.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use indexmap::IndexSet;
use medlarpoint_membership::Departed;
use medlarpoint_membership::departed::{Process, RETENTION, keepers};
use medlarpoint_membership::instance::Report;
use medlarpoint_model::Vm;
use medlarpoint_store::{Consistency, Error, Expected, InvalidKey, Key, Store};
use medlarpoint_wire::{Departure, Departures, Record, decode};
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::{Instant, timeout_at};

use crate::control::Driver;
use crate::event::Event;
use crate::state::{Shared, lock};
use crate::store_reader::record_store_result;
use crate::{peer, target};

/// Number of peers that are told of a departure, and asked after a start.
const KEEPERS: usize = 3;
/// Number of peers that suffice without the store.
const SUFFICIENT_PEERS: usize = 2;
/// Limit on the wait for others to keep a departure. The target waits one second for the
/// acknowledgement.
const KEEP_TIMEOUT: Duration = Duration::from_millis(800);
/// Limit on the wait for answers in one round of questions after a start.
const LEARN_TIMEOUT: Duration = Duration::from_millis(400);
/// Wait between rounds of questions.
const LEARN_INTERVAL: Duration = Duration::from_millis(250);
/// Rounds after which the store's answer suffices if no peer responds.
const ROUNDS_WITHOUT_PEERS: u32 = 2;
/// Limit on the processes whose departure is known to be kept by others.
const MAX_KEPT: usize = 16;

/// Error for a departure that neither the store nor enough peers have confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("neither the store nor {SUFFICIENT_PEERS} peers keep the departure: report it again")]
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

    /// Merges what another daemon or the store keeps, and returns all that is known of the VM.
    pub(crate) fn merge(&self, now: Duration, told: &Departures) -> Departures {
        let mut departed = lock(&self.departed);
        for departure in &told.processes {
            let age = Duration::from_millis(departure.age_ms);
            departed.record(now, &told.vm, process_of(departure), age);
        }
        let processes = departed.of(now, &told.vm).into_iter().map(departure_of).collect();
        Departures { vm: told.vm.clone(), processes }
    }

    fn is_kept(&self, process: &Process) -> bool {
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

fn departure_of((process, age): (Process, Duration)) -> Departure {
    let Process { instance, born_ms, last_seq } = process;
    Departure { instance, born_ms, last_seq, age_ms: age.as_millis() as u64 }
}

fn process_of(departure: &Departure) -> Process {
    let Departure { instance, born_ms, last_seq, age_ms: _ } = departure;
    Process { instance: Arc::clone(instance), born_ms: *born_ms, last_seq: *last_seq }
}

/// Returns the key below which the departures of a VM are stored.
fn prefix(vm: &Vm) -> Result<Key, InvalidKey> {
    format!("departed/{vm}").parse()
}

/// Returns the peers that keep the departures of this VM.
fn own_keepers(shared: &Shared) -> Vec<Record> {
    let control = lock(&shared.control);
    let live = control.detector.table().live();
    keepers(live, &shared.settings.options.vm, KEEPERS).into_iter().cloned().collect()
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
    let peers = own_keepers(shared);
    let sufficient = peers.len().clamp(1, SUFFICIENT_PEERS);
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
    let told = Departures { vm, processes: vec![departure_of((process.clone(), Duration::ZERO))] };
    for record in peers {
        let (shared, sender, told) = (Arc::clone(shared), sender.clone(), told.clone());
        tokio::spawn(async move {
            let distance = shared.distance(&record);
            if peer::departures(&shared, record.peer, distance, &told).await.is_ok() {
                // The receiver is dropped once enough have confirmed.
                let _ = sender.send(Keeper::Peer);
            }
        });
    }
    let (shared, born_ms) = (Arc::clone(shared), process.born_ms);
    tokio::spawn(async move {
        if write(&shared, &told, born_ms).await.is_ok() {
            // The receiver is dropped once enough have confirmed.
            let _ = sender.send(Keeper::Store);
        }
    });
    confirmations
}

/// Stores a departure for as long as late reports are expected.
async fn write(shared: &Shared, told: &Departures, born_ms: u64) -> Result<(), Error> {
    let unavailable = |error: &dyn std::fmt::Display| Error::Unavailable(error.to_string());
    let key = format!("departed/{}/{born_ms}", told.vm).parse::<Key>();
    let key = key.map_err(|error| unavailable(&error))?;
    let value = rmp_serde::to_vec_named(told).map_err(|error| unavailable(&error))?;
    let result = async {
        let lease = shared.store.grant(RETENTION).await?;
        shared.store.put(&key, Expected::Any, Bytes::from(value), Some(lease)).await
    };
    let result = result.await;
    record_store_result(shared, result.as_ref().err());
    result.map(drop)
}

/// Learns after a start which processes of this VM have left.
#[derive(Debug, Default)]
pub(crate) struct Learner {
    rounds: u32,
    store_answered: bool,
    /// Peers that have answered.
    answered: IndexSet<Vm>,
}

impl Learner {
    /// Asks until enough have answered or the daemon closes.
    pub(crate) async fn run(mut self, driver: &Arc<Driver>) {
        let shared = driver.shared();
        while !shared.departed.is_learned() {
            tokio::select! {
                () = tokio::time::sleep(LEARN_INTERVAL) => self.ask(driver).await,
                () = shared.lifecycle.wait_closed() => return,
            }
        }
    }

    /// Asks the store and the keepers of this VM's departures that have not answered yet. Once
    /// enough have, the target may get calls unless it has left.
    pub(crate) async fn ask(&mut self, driver: &Arc<Driver>) {
        let shared = driver.shared();
        if shared.departed.is_learned() {
            return;
        }
        let mut peers = own_keepers(shared);
        let others = peers.len();
        peers.retain(|record| !self.answered.contains(&record.vm));
        let deadline = Instant::now() + LEARN_TIMEOUT;
        let store = async {
            self.store_answered
                || timeout_at(deadline, read_store(shared)).await.is_ok_and(|read| read.is_ok())
        };
        let (store_answered, answered) = tokio::join!(store, ask_peers(shared, peers, deadline));
        self.store_answered = store_answered;
        self.answered.extend(answered);
        self.rounds += 1;
        if self.is_done(others) {
            self.finish(driver);
        }
    }

    /// Returns whether the answers suffice. `others` is the number of peers that may know.
    fn is_done(&self, others: usize) -> bool {
        let answered = self.answered.len();
        if self.store_answered {
            return answered > 0 || others == 0 || self.rounds >= ROUNDS_WITHOUT_PEERS;
        }
        answered >= others.clamp(1, SUFFICIENT_PEERS)
    }

    fn finish(&self, driver: &Arc<Driver>) {
        let shared = driver.shared();
        shared.departed.learned.store(true, Ordering::Release);
        let processes = {
            let now = shared.now();
            lock(&shared.departed.departed).of(now, &shared.settings.options.vm).len()
        };
        let (peers, store) = (self.answered.len(), self.store_answered);
        shared.emit(&Event::DeparturesLearned { peers, store, processes });
        target::on_departures_learned(driver);
    }
}

/// Reads the departures of this VM from the store.
async fn read_store(shared: &Shared) -> Result<(), Error> {
    let vm = &shared.settings.options.vm;
    let prefix = prefix(vm).map_err(|error| Error::Unavailable(error.to_string()))?;
    let listing = shared.store.list(&prefix, Consistency::Latest).await;
    record_store_result(shared, listing.as_ref().err());
    for (key, item) in listing?.items {
        match decode::<Departures>(&item.value) {
            // The prefix also begins the keys of VMs whose name is longer.
            Ok(told) if told.vm == *vm => {
                shared.departed.merge(shared.now(), &told);
            }
            Ok(_) => {}
            Err(error) => {
                let (key, reason) = (key.to_string(), error.to_string());
                shared.emit(&Event::BadEntry { key, reason });
            }
        }
    }
    Ok(())
}

/// Asks peers for the departures of this VM. Returns those that answered in time.
async fn ask_peers(shared: &Arc<Shared>, peers: Vec<Record>, deadline: Instant) -> Vec<Vm> {
    let mut questions = JoinSet::new();
    for record in peers {
        let shared = Arc::clone(shared);
        questions.spawn(async move {
            let told = Departures { vm: shared.settings.options.vm.clone(), processes: Vec::new() };
            let distance = shared.distance(&record);
            match peer::departures(&shared, record.peer, distance, &told).await {
                Ok(known) => {
                    shared.departed.merge(shared.now(), &known);
                    Some(record.vm)
                }
                // A daemon of an earlier release keeps none.
                Err(error) if error.is_unknown_path() => Some(record.vm),
                Err(_) => None,
            }
        });
    }
    let mut answered = Vec::new();
    while let Ok(Some(answer)) = timeout_at(deadline, questions.join_next()).await {
        // The runtime reports a panic in the task; the peer counts as not responsive.
        answered.extend(answer.ok().flatten());
    }
    answered
}
