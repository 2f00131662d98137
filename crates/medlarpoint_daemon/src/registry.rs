//! This daemon's entry in the store, where daemons find one another.
//!
//! The entry is bound to a lease, so that those of daemons that are gone
//! vanish. Membership, not the entry, tells who lives.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use medlarpoint_membership::{Role, rank};
use medlarpoint_store::{Consistency, Error, Expected, Key, LeaseId, Store};
use medlarpoint_wire::{LatencyBucket, Record};
use rand::seq::SliceRandom;

use crate::clock::jitter;
use crate::control::Driver;
use crate::state::{Shared, lock};
use crate::store_reader::record_store_result;
use crate::{event::Event, peer};

/// Time after which the entry of a daemon that is gone vanishes.
const TTL: Duration = Duration::from_secs(8);
/// Shortest time between renewals. An entry that was lost while the store was
/// away has to be back within two seconds of its return.
const MIN_PERIOD: Duration = Duration::from_millis(1_500);
/// Renewals that the whole fleet makes in a second, at the most.
const FLEET_RENEWALS_PER_S: f64 = 400.0;
/// Longest wait after a failed call.
const MAX_BACKOFF: Duration = Duration::from_millis(1_200);
/// Renewals between looks for members that membership does not know.
const LOOK_EVERY: u32 = 8;
/// Renewals of a young daemon after which it looks: the first shows those that
/// started at the same time, the other one makes up for a failure.
const YOUNG_LOOKS: [u32; 2] = [1, 4];
/// Unknown members joined in one look.
const MAX_JOINED: usize = 3;

fn prefix() -> Key {
    "daemons".parse().expect("a valid literal")
}

/// Keeps the entry until the daemon closes.
pub(crate) async fn run(driver: Arc<Driver>) {
    let shared = Arc::clone(driver.shared());
    let mut entry = Entry::default();
    let mut rounds = 0_u32;
    loop {
        let wait = tokio::select! {
            wait = entry.refresh(&driver) => wait,
            () = shared.lifecycle.wait_closed() => break,
        };
        rounds += 1;
        if entry.lease.is_some() && looks(&shared, rounds) {
            join_unknown(&shared).await;
        }
        tokio::select! {
            () = tokio::time::sleep(wait) => {}
            () = shared.lifecycle.wait_closed() => break,
        }
    }
}

/// The entry as far as this daemon knows.
#[derive(Debug, Default)]
struct Entry {
    lease: Option<LeaseId>,
    failures: u32,
}

impl Entry {
    /// Renews the lease, or makes the entry anew. Returns when to come back.
    async fn refresh(&mut self, driver: &Driver) -> Duration {
        let shared = driver.shared();
        let result = match self.lease {
            Some(lease) => shared.store.renew(lease).await,
            None => self.create(shared).await,
        };
        if result == Err(Error::LeaseNotFound) {
            self.lease = None;
            shared.emit(&Event::EntryLapsed {});
            return jitter(MIN_PERIOD / 10);
        }
        record_store_result(shared, result.as_ref().err());
        let proximity = result.is_ok().then(|| shared.store.round_trip()).flatten();
        set_proximity(driver, proximity.map(LatencyBucket::from));
        if result.is_ok() {
            self.failures = 0;
            return period(shared);
        }
        self.failures = (self.failures + 1).min(4);
        jitter(MAX_BACKOFF * self.failures / 4).max(MAX_BACKOFF / 8)
    }

    async fn create(&mut self, shared: &Shared) -> Result<(), Error> {
        let record = lock(&shared.control).detector.local_record().clone();
        let Ok(key) = format!("{}/{}", prefix(), record.vm).parse::<Key>() else {
            return Err(Error::Unavailable(format!("{} makes no key", record.vm)));
        };
        let value = rmp_serde::to_vec_named(&record)
            .map_err(|error| Error::Unavailable(error.to_string()))?;
        let lease = shared.store.grant(TTL).await?;
        shared.store.put(&key, Expected::Any, Bytes::from(value), Some(lease)).await?;
        self.lease = Some(lease);
        Ok(())
    }
}

/// Time between renewals; it grows with the fleet so that its rate is bounded.
fn period(shared: &Shared) -> Duration {
    let members = lock(&shared.control).detector.table().live().count();
    MIN_PERIOD.max(Duration::from_secs_f64(members as f64 / FLEET_RENEWALS_PER_S))
}

/// Tells others how far the store is, where that has changed.
fn set_proximity(driver: &Driver, store: Option<LatencyBucket>) {
    let known = lock(&driver.shared().control).detector.local_record().store_latency;
    if known != store {
        driver.update_record(|record| record.store_latency = store);
    }
}

/// A young daemon looks for itself; later one member of each data centre does.
fn looks(shared: &Shared, rounds: u32) -> bool {
    if YOUNG_LOOKS.contains(&rounds) {
        return true;
    }
    if !rounds.is_multiple_of(LOOK_EVERY) {
        return false;
    }
    let control = lock(&shared.control);
    let me = control.detector.local_record();
    let live = control.detector.table().live_in(&me.data_centre);
    rank(Role::Reader, &me.vm, live.map(|record| &record.vm)) == 0
}

/// Reads the entries of all daemons.
pub(crate) async fn list(shared: &Shared, age: Consistency) -> Result<Vec<Record>, Error> {
    let listed = shared.store.list(&prefix(), age).await;
    record_store_result(shared, listed.as_ref().err());
    let me = &shared.settings.options.vm;
    let mut records = Vec::new();
    for (key, item) in listed?.items {
        match rmp_serde::from_slice::<Record>(&item.value) {
            Ok(record) if record.vm != *me => records.push(record),
            Ok(_) => {}
            Err(error) => {
                let (key, reason) = (key.to_string(), error.to_string());
                shared.emit(&Event::BadEntry { key, reason });
            }
        }
    }
    Ok(records)
}

/// Exchanges tables with members that are listed but not known here: daemons
/// that started at the same time, or either side of a link that was cut.
async fn join_unknown(shared: &Shared) {
    // The next look tries again.
    let Ok(records) = list(shared, Consistency::MaybeStale).await else {
        return;
    };
    let mut unknown: Vec<SocketAddr> = {
        let control = lock(&shared.control);
        let known = |record: &&Record| control.detector.table().get(&record.vm).is_some();
        records.iter().filter(|record| !known(record)).map(|record| record.peer).collect()
    };
    unknown.shuffle(&mut rand::rng());
    for address in unknown.into_iter().take(MAX_JOINED) {
        if let Err(error) = peer::sync(shared, address, Vec::new()).await {
            shared.emit(&Event::SyncFailed { peer: address, reason: error.to_string() });
        }
    }
}
