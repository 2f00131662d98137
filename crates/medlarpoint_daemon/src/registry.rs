//! Registers this daemon in the store, where daemons discover each other.
//!
//! A daemon that starts needs one other daemon to learn of all of them. Only a few
//! members of each data centre therefore keep an entry, so that the calls to the store
//! do not grow with the fleet. Each entry is bound to a lease, so that the entry of a
//! stopped daemon expires. Membership, not the registry, decides which daemons are alive.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use medlarpoint_membership::{Role, rank};
use medlarpoint_store::{Consistency, Error, Expected, Key, Lease, Store};
use medlarpoint_wire::{LatencyBucket, Record, decode};
use rand::seq::SliceRandom;

use crate::clock::jitter;
use crate::control::Driver;
use crate::state::{Shared, lock};
use crate::store_reader::record_store_result;
use crate::{event::Event, peer};

/// Time after which the entry of a stopped daemon expires.
const LEASE_TTL: Duration = Duration::from_secs(8);
/// Time between renewals. It is below two seconds because an entry lost during an outage
/// of the store must exist again within two seconds of its end.
const RENEWAL_PERIOD: Duration = Duration::from_millis(1_500);
/// Limit on the wait of a daemon that starts before it registers. Of many that start at
/// the same time, the later ones find the entries of the first.
const START_SPREAD: Duration = Duration::from_millis(400);
/// Limit on the wait after a failed store call.
const MAX_BACKOFF: Duration = Duration::from_millis(1_200);
/// Number of renewal periods between two searches for daemons that membership does not
/// know.
const PERIODS_PER_SEARCH: u32 = 8;
/// Periods after the start that begin with a search: the first one finds daemons that
/// started at the same time; the second one covers a failure of the first, and finds entries
/// that were written again after an outage of the store.
const STARTUP_SEARCHES: [u32; 2] = [1, 3];
/// Limit on the unknown members with which one search exchanges tables.
const MAX_JOINS_PER_SEARCH: usize = 3;

/// Returns the store key below which the entries of all daemons are stored.
fn prefix() -> Key {
    "daemons".parse().expect("a valid literal")
}

/// Maintains the entry until the daemon closes.
pub(crate) async fn run(driver: Arc<Driver>) {
    let shared = Arc::clone(driver.shared());
    let mut entry = Entry::default();
    let mut periods = 0_u32;
    let mut wait = jitter(START_SPREAD);
    loop {
        tokio::select! {
            () = tokio::time::sleep(wait) => {}
            () = shared.lifecycle.wait_closed() => break,
        }
        wait = tokio::select! {
            wait = entry.refresh(&driver) => wait,
            () = shared.lifecycle.wait_closed() => break,
        };
        periods += 1;
        if should_search(&shared, periods) {
            join_unknown(&shared).await;
        }
    }
}

/// Returns whether this daemon keeps an entry.
fn is_registrar(shared: &Shared) -> bool {
    let control = lock(&shared.control);
    let own_record = control.detector.local_record();
    let live = control.detector.table().live_in(&own_record.data_centre);
    medlarpoint_membership::is_registrar(&own_record.vm, live.map(|record| &record.vm))
}

/// Last known state of this daemon's entry.
#[derive(Debug, Default)]
struct Entry {
    lease: Option<Lease>,
    failures: u32,
}

impl Entry {
    /// Renews the lease or creates the entry, if this daemon is to keep one. Returns the
    /// wait until the next renewal.
    async fn refresh(&mut self, driver: &Driver) -> Duration {
        let shared = driver.shared();
        if !is_registrar(shared) {
            // The entry expires with its lease.
            self.lease = None;
            set_store_latency(driver, None);
            return RENEWAL_PERIOD;
        }
        let result = match self.lease {
            Some(lease) => shared.store.renew(lease).await,
            None => self.create(shared).await,
        };
        if result == Err(Error::LeaseNotFound) {
            self.lease = None;
            shared.emit(&Event::EntryLapsed {});
            return jitter(RENEWAL_PERIOD / 10);
        }
        record_store_result(shared, result.as_ref().err());
        let round_trip = result.is_ok().then(|| shared.store.round_trip()).flatten();
        set_store_latency(driver, round_trip.map(LatencyBucket::from));
        if result.is_ok() {
            self.failures = 0;
            return RENEWAL_PERIOD;
        }
        self.failures = (self.failures + 1).min(4);
        jitter(MAX_BACKOFF * self.failures / 4).max(MAX_BACKOFF / 8)
    }

    async fn create(&mut self, shared: &Shared) -> Result<(), Error> {
        let record = lock(&shared.control).detector.local_record().clone();
        let Ok(key) = format!("{}/{}", prefix(), record.vm).parse::<Key>() else {
            return Err(Error::Unavailable(format!(
                "VM name {} is not valid in a store key",
                record.vm
            )));
        };
        let value = rmp_serde::to_vec_named(&record)
            .map_err(|error| Error::Unavailable(error.to_string()))?;
        let lease = shared.store.grant(LEASE_TTL).await?;
        shared.store.put(&key, Expected::Any, Bytes::from(value), Some(lease)).await?;
        self.lease = Some(lease);
        Ok(())
    }
}

/// Announces the round-trip time to the store if it moved to another bucket.
fn set_store_latency(driver: &Driver, latency: Option<LatencyBucket>) {
    let announced = lock(&driver.shared().control).detector.local_record().store_latency;
    if announced != latency {
        driver.update_record(|record| record.store_latency = latency);
    }
}

/// Returns whether to search for unknown members in this period. Each daemon searches
/// after its start; later only one member of each data centre does.
fn should_search(shared: &Shared, periods: u32) -> bool {
    if STARTUP_SEARCHES.contains(&periods) {
        return true;
    }
    if !periods.is_multiple_of(PERIODS_PER_SEARCH) {
        return false;
    }
    let control = lock(&shared.control);
    let own_record = control.detector.local_record();
    let live = control.detector.table().live_in(&own_record.data_centre);
    rank(Role::Reader, &own_record.vm, live.map(|record| &record.vm)) == 0
}

/// Returns the entries of all other daemons. Entries that cannot be decoded are logged
/// and skipped.
pub(crate) async fn list(shared: &Shared, consistency: Consistency) -> Result<Vec<Record>, Error> {
    let sent_at = shared.now();
    let listing = shared.store.list(&prefix(), consistency).await;
    record_store_result(shared, listing.as_ref().err());
    let own_vm = &shared.settings.options.vm;
    let now = shared.now();
    if listing.is_err() {
        shared.quotas.record_listing(sent_at, now, None);
    }
    let mut records = Vec::new();
    for (key, item) in listing?.items {
        match decode::<Record>(&item.value) {
            Ok(record) if record.vm != *own_vm => records.push(record),
            Ok(_) => {}
            Err(error) => {
                let (key, reason) = (key.to_string(), error.to_string());
                shared.emit(&Event::BadEntry { key, reason });
            }
        }
    }
    let registered = records.iter().map(|record| record.vm.clone()).collect();
    shared.quotas.record_listing(sent_at, now, Some(registered));
    Ok(records)
}

/// Returns the consistency with which a search lists the entries. A stale read is cheaper, but
/// may be from before the entries were written again after an outage, which matters to a daemon
/// that knows no others.
fn search_consistency(shared: &Shared) -> Consistency {
    let control = lock(&shared.control);
    let own_vm = &control.detector.local_record().vm;
    if control.detector.table().live_others(own_vm).next().is_some() {
        Consistency::MaybeStale
    } else {
        Consistency::Latest
    }
}

/// Exchanges tables with registered daemons that membership does not know: daemons that
/// started at the same time, or that a network partition separated.
async fn join_unknown(shared: &Shared) {
    // The next search tries again.
    let Ok(records) = list(shared, search_consistency(shared)).await else {
        return;
    };
    let mut unknown: Vec<SocketAddr> = {
        let control = lock(&shared.control);
        let known = |record: &&Record| control.detector.table().get(&record.vm).is_some();
        records.iter().filter(|record| !known(record)).map(|record| record.peer).collect()
    };
    unknown.shuffle(&mut rand::rng());
    for address in unknown.into_iter().take(MAX_JOINS_PER_SEARCH) {
        if let Err(error) = peer::sync(shared, address, Vec::new()).await {
            shared.emit(&Event::SyncFailed { peer: address, reason: error.to_string() });
        }
    }
}
