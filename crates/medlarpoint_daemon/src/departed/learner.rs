//! Learns after a start which processes of this VM have left. Until then its target gets no
//! calls.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use indexmap::IndexSet;
use medlarpoint_membership::departed::{Basis, Inquiry};
use medlarpoint_model::Vm;
use medlarpoint_store::{Consistency, Error, InvalidKey, Key, Store};
use medlarpoint_wire::{Departures, Record, decode};
use tokio::task::JoinSet;
use tokio::time::{Instant, timeout, timeout_at};

use super::keepers_of;
use crate::control::Driver;
use crate::event::Event;
use crate::state::{Shared, lock};
use crate::store_reader::{self, record_store_result};
use crate::{peer, target, target_health};

/// Limit on the wait for answers in one round of questions.
const ROUND_TIMEOUT: Duration = Duration::from_millis(400);
/// Time before the start of the daemon within which a target counts as started with it. A
/// process that leaves does not end its life, and its daemon does not restart, within it.
const START_TOLERANCE: Duration = Duration::from_secs(1);
/// Limit on the questions to the target, which take one of its slots each.
const MAX_TARGET_QUESTIONS: u32 = 4;
/// Limit on the routes of a configuration that is read only for the health paths in it.
const MAX_ROUTES_READ_AGAIN: usize = 5_000;
/// Wait between rounds of questions.
const ROUND_INTERVAL: Duration = Duration::from_millis(250);

/// Asks the store and the keepers of this VM's departures.
#[derive(Debug)]
pub(crate) struct Learner {
    inquiry: Inquiry,
    /// Peers with which tables were exchanged because they are not known as keepers: one that
    /// has been running for longer knows the members that are.
    synced: IndexSet<Vm>,
    /// Number of times that the target was asked.
    target_questions: u32,
    /// Whether the document with the health paths was read: a configuration that was pulled
    /// from peers does not hold them.
    has_read_paths: bool,
}

impl Learner {
    /// Creates the learner of a daemon that started at `started`.
    pub(crate) fn new(started: Duration) -> Self {
        Self {
            inquiry: Inquiry::new(started),
            synced: IndexSet::new(),
            target_questions: 0,
            has_read_paths: false,
        }
    }

    /// Asks until enough have answered or the daemon closes.
    pub(crate) async fn run(mut self, driver: &Arc<Driver>) {
        let shared = driver.shared();
        loop {
            self.ask(driver).await;
            if shared.departed.is_learned() {
                return;
            }
            tokio::select! {
                () = tokio::time::sleep(ROUND_INTERVAL) => {}
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
        let sent_at = shared.now();
        let mut peers = keepers_of(shared, &shared.settings.options.vm);
        let known_keepers = peers.len();
        peers.retain(|record| !self.inquiry.has_answered(&record.vm));
        let deadline = Instant::now() + ROUND_TIMEOUT;
        let needs_store = self.inquiry.needs_store(sent_at);
        let store = async {
            if !needs_store {
                return None;
            }
            Some(timeout_at(deadline, read_store(shared)).await.is_ok_and(|read| read.is_ok()))
        };
        let (read, answers) =
            tokio::join!(store, ask_peers(shared, &peers, known_keepers, deadline));
        match read {
            Some(true) => self.inquiry.on_store_read(sent_at, shared.now()),
            Some(false) => self.inquiry.on_store_error(),
            None => {}
        }
        for (record, keepers) in answers {
            if keepers == 0 {
                self.sync_once(driver, &record);
            }
            self.inquiry.on_answer(record.vm, keepers);
        }
        if self.inquiry.basis(shared.now()).is_none() {
            self.ask_target(driver).await;
        }
        if let Some(basis) = self.inquiry.basis(shared.now()) {
            self.finish(driver, basis);
        }
    }

    /// Asks the process that has reported as the target whether it leaves.
    async fn ask_target(&mut self, driver: &Arc<Driver>) {
        let shared = driver.shared();
        if self.target_questions >= MAX_TARGET_QUESTIONS {
            return;
        }
        let needs_paths = shared.health_paths.load().is_empty() && !self.has_read_paths;
        if needs_paths && is_small(shared) && !has_target_started_with_daemon(shared) {
            self.has_read_paths = true;
            // Without the paths, the other answers have to suffice.
            let _ = timeout(ROUND_TIMEOUT, store_reader::refresh(driver)).await;
        }
        if has_target_started_with_daemon(shared) {
            self.inquiry.on_target_stays();
            return;
        }
        let Some(question) = target_health::Question::new(shared) else {
            return;
        };
        self.target_questions += 1;
        if timeout(ROUND_TIMEOUT, question.ask(shared)).await == Ok(true) {
            self.inquiry.on_target_stays();
        }
    }

    /// Exchanges tables with a peer that does not answer as a keeper.
    fn sync_once(&mut self, driver: &Arc<Driver>, record: &Record) {
        if !self.synced.insert(record.vm.clone()) {
            return;
        }
        let (shared, peer) = (Arc::clone(driver.shared()), record.peer);
        tokio::spawn(async move {
            if let Err(error) = peer::sync(&shared, peer, Vec::new()).await {
                shared.emit(&Event::SyncFailed { peer, reason: error.to_string() });
            }
        });
    }

    fn finish(&self, driver: &Arc<Driver>, basis: Basis) {
        let shared = driver.shared();
        shared.departed.learned.store(true, Ordering::Release);
        let now = shared.now();
        let processes = shared.departed.known(now, &shared.settings.options.vm).len();
        shared.emit(&Event::DeparturesLearned {
            peers: self.inquiry.answer_count(),
            store: self.inquiry.has_store_answer(),
            processes,
            basis,
            uptime_ms: now.as_millis() as u64,
        });
        target::on_departures_learned(driver);
    }
}

/// Returns whether the process that has reported as the target started with this daemon or
/// later. An earlier run of the daemon cannot have acknowledged that such a process leaves.
fn has_target_started_with_daemon(shared: &Shared) -> bool {
    let target = lock(&shared.target);
    let process = target.as_ref().and_then(|target| target.instance.as_ref());
    let born_ms = process.map(|process| process.report().born_ms);
    let limit_ms = shared.boot.saturating_sub(START_TOLERANCE.as_millis() as u64);
    born_ms.is_some_and(|born_ms| born_ms >= limit_ms)
}

/// Returns whether the configuration is small enough to be read only for its health paths.
fn is_small(shared: &Shared) -> bool {
    shared.in_force.load().snapshot.routes().count() <= MAX_ROUTES_READ_AGAIN
}

/// Returns the key below which the departures of a VM are stored.
fn prefix(vm: &Vm) -> Result<Key, InvalidKey> {
    format!("departed/{vm}").parse()
}

/// Reads the departures of this VM from the store.
async fn read_store(shared: &Shared) -> Result<(), Error> {
    let vm = &shared.settings.options.vm;
    let prefix = prefix(vm).map_err(|error| Error::Unavailable(error.to_string()))?;
    let listing = shared.store.list(&prefix, Consistency::Latest).await;
    record_store_result(shared, listing.as_ref().err());
    let listing = listing?;
    let era = listing.current.era.0;
    for (key, item) in listing.items {
        match decode::<Departures>(&item.value) {
            // The prefix also begins the keys of VMs whose name is longer.
            Ok(mut told) if told.vm == *vm => {
                told.processes.iter_mut().for_each(|process| process.stored_in = Some(era));
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

/// Asks peers for the departures of this VM. Returns those that answered in time, with the
/// number of keepers that each knows, or zero if it may not have been told.
async fn ask_peers(
    shared: &Arc<Shared>,
    peers: &[Record],
    known_keepers: usize,
    deadline: Instant,
) -> Vec<(Record, usize)> {
    let mut questions = JoinSet::new();
    for record in peers.iter().cloned() {
        let shared = Arc::clone(shared);
        questions.spawn(async move {
            let vm = shared.settings.options.vm.clone();
            let question = Departures { vm, processes: Vec::new(), keepers: 0 };
            let distance = shared.distance(&record);
            match peer::departures(&shared, record.peer, distance, &question).await {
                Ok(known) => {
                    shared.departed.merge(shared.now(), &known);
                    Some((record, known.keepers as usize))
                }
                // A daemon of an earlier release keeps none, and has confirmed none.
                Err(error) if error.is_unknown_path() => Some((record, known_keepers)),
                Err(_) => None,
            }
        });
    }
    let mut answers = Vec::new();
    while let Ok(Some(answer)) = timeout_at(deadline, questions.join_next()).await {
        // The runtime reports a panic in the task; the peer counts as not responsive.
        answers.extend(answer.ok().flatten());
    }
    answers
}
