//! Finds peers and catches up before the daemon serves callers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use medlarpoint_config::Distance;
use medlarpoint_membership::readers;
use medlarpoint_model::Version;
use medlarpoint_store::Consistency;
use medlarpoint_wire::Record;
use rand::seq::SliceRandom;
use tokio::task::JoinSet;

use crate::clock::jitter;
use crate::control::Driver;
use crate::departed::learner::Learner;
use crate::event::Event;
use crate::settings::Source;
use crate::state::{Shared, lock};
use crate::{peer, registry, roles, rollouts, store_reader, suspects};

/// Number of peers from which a daemon pulls before it serves callers.
const PEERS_PULLED: usize = 3;
/// Limit on the peers with which one round exchanges tables.
const MAX_PEERS_CONTACTED: usize = 5;
/// Limit on the wait for members to respond to a table exchange.
const SYNC_TIMEOUT: Duration = Duration::from_millis(400);
/// Wait after the first round.
const MIN_BACKOFF: Duration = Duration::from_millis(200);
/// Limit on the wait between rounds.
const MAX_BACKOFF: Duration = Duration::from_millis(1_500);
/// Shortest time after which a daemon that knows peers queries the store again itself.
const MIN_STORE_RETRY_INTERVAL: Duration = Duration::from_secs(2);
/// Limit on the queries of all daemons that start and know peers, per second.
const FLEET_QUERIES_PER_S: f64 = 25.0;

/// Outcome of one round of catching up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    /// Peers responded, and the newest of their versions is in force here.
    Peers,
    /// The store responded, and no peer holds a version.
    StoreOnly,
    /// Neither a peer nor the store responded.
    Unreachable,
}

/// Catches up with the fleet, then marks the daemon as ready, and learns which processes of
/// its target have left. Full jitter between rounds spreads the load when many daemons restart
/// at the same time.
pub(crate) async fn catch_up(driver: Arc<Driver>) {
    let shared = Arc::clone(driver.shared());
    let mut wait = MIN_BACKOFF;
    let mut queried_at = None;
    let mut learner = Learner::new(shared.now());
    loop {
        let outcome = if should_query_store(&shared, queried_at) {
            let previous = queried_at.replace(shared.now());
            round(&driver, previous).await
        } else {
            peer_round(&driver).await
        };
        if may_serve(shared.settings.options.source, outcome, shared.version()) {
            // Callers need not wait for what is learned of the own target.
            driver.set_ready();
            learner.run(&driver).await;
            return;
        }
        learner.ask(&driver).await;
        let reason = match outcome {
            Outcome::Unreachable => "neither a peer nor the store can be reached".to_owned(),
            Outcome::Peers | Outcome::StoreOnly => "no configuration has been published".to_owned(),
        };
        let previous = lock(&shared.control).not_ready_reason.replace(reason.clone());
        if previous.as_ref() != Some(&reason) {
            shared.emit(&Event::Waiting { reason });
        }
        let backoff = wait / 4 + jitter(wait);
        wait = (wait * 2).min(MAX_BACKOFF);
        let mut changes = shared.lifecycle.subscribe_changes();
        tokio::select! {
            () = tokio::time::sleep(backoff) => {}
            // A member may have announced itself.
            _ = changes.changed() => tokio::time::sleep(jitter(MIN_BACKOFF)).await,
            () = shared.lifecycle.wait_closed() => return,
        }
    }
}

/// Returns the time after which a daemon that knows peers queries the store again. It
/// grows with the fleet so that the total rate is limited.
fn store_retry_interval(members: usize) -> Duration {
    MIN_STORE_RETRY_INTERVAL.max(Duration::from_secs_f64(members as f64 / FLEET_QUERIES_PER_S))
}

/// Returns whether this daemon queries the store in this round. Once it knows peers, it
/// leaves the store to the fleet's readers for [`store_retry_interval`].
fn should_query_store(shared: &Shared, queried_at: Option<Duration>) -> bool {
    let Some(queried_at) = queried_at else {
        return true;
    };
    let control = lock(&shared.control);
    let members = control.detector.table().live().count();
    if shared.now().saturating_sub(queried_at) >= store_retry_interval(members) {
        return true;
    }
    let own_vm = &control.detector.local_record().vm;
    let table = control.detector.table();
    let knows_peers = table.live_others(own_vm).next().is_some();
    !knows_peers || readers(table.live(), roles::HOLDERS).contains(&own_vm)
}

/// Runs a round that pulls from known members and does not query the store.
async fn peer_round(driver: &Driver) -> Outcome {
    if pull_from_peers(driver, &[]).await { Outcome::Peers } else { Outcome::Unreachable }
}

/// Returns whether callers can be served after a round. Peers without a version are not
/// sufficient: after a restart of all daemons no peer holds a version, and only the
/// store knows whether one exists.
fn may_serve(source: Source, outcome: Outcome, version: Version) -> bool {
    let has_version = version > Version::ZERO;
    match (source, outcome) {
        (Source::Commits, Outcome::Unreachable) => false,
        (Source::Commits, Outcome::StoreOnly) => true,
        (Source::Commits, Outcome::Peers) | (Source::Operator, _) => has_version,
    }
}

/// Runs a round that discovers peers in the store, and reads the configuration from the
/// store if the peers hold none. `previous` is the time of the round before it.
async fn round(driver: &Driver, previous: Option<Duration>) -> Outcome {
    let shared = driver.shared();
    let registered = registry::list(shared, consistency(previous)).await;
    let mut addresses = shared.settings.options.seeds.clone();
    if let Ok(records) = &registered {
        addresses.extend(by_distance(shared, records));
    }
    let own_address = lock(&shared.control).detector.local_record().peer;
    addresses.retain(|address| *address != own_address);
    addresses.truncate(MAX_PEERS_CONTACTED);
    let responsive = sync_with(shared, addresses).await;
    let pulled = pull_from_peers(driver, &responsive).await;
    if pulled && (shared.version() > Version::ZERO || is_recent(previous, shared.now())) {
        return Outcome::Peers;
    }
    let read = store_reader::refresh(driver).await;
    if registered.is_ok() && read.is_ok() { Outcome::StoreOnly } else { Outcome::Unreachable }
}

/// Returns the consistency with which a round lists the entries. Entries of a fleet that
/// is running are older than a stale read, which is cheaper; only if it led to no peers,
/// the newest entries are needed.
fn consistency(previous: Option<Duration>) -> Consistency {
    match previous {
        None => Consistency::MaybeStale,
        Some(_) => Consistency::Latest,
    }
}

/// Returns whether the round before was recent enough for its read of the configuration
/// to count, once peers respond.
fn is_recent(previous: Option<Duration>, now: Duration) -> bool {
    previous.is_some_and(|previous| now.saturating_sub(previous) < MIN_STORE_RETRY_INTERVAL)
}

/// Returns the peer addresses of members by distance, in random order among members at
/// the same distance.
fn by_distance(shared: &Shared, records: &[Record]) -> Vec<SocketAddr> {
    let mut records: Vec<&Record> = records.iter().collect();
    records.shuffle(&mut rand::rng());
    records.sort_by_key(|record| shared.distance(record));
    records.into_iter().map(|record| record.peer).collect()
}

/// Exchanges tables with several members concurrently. Returns the addresses of those
/// that responded within [`SYNC_TIMEOUT`].
async fn sync_with(shared: &Arc<Shared>, addresses: Vec<SocketAddr>) -> Vec<SocketAddr> {
    let mut exchanges = JoinSet::new();
    for address in addresses {
        let shared = Arc::clone(shared);
        exchanges.spawn(async move {
            let result = peer::sync(&shared, address, Vec::new()).await;
            result.ok().map(|()| address)
        });
    }
    let mut responsive = Vec::new();
    let deadline = tokio::time::Instant::now() + SYNC_TIMEOUT;
    while let Ok(Some(result)) = tokio::time::timeout_at(deadline, exchanges.join_next()).await {
        // The runtime reports a panic in the task; the member counts as not responsive.
        responsive.extend(result.ok().flatten());
        if responsive.len() >= PEERS_PULLED {
            break;
        }
    }
    // The other exchanges continue, and their results are merged when they arrive.
    exchanges.detach_all();
    responsive
}

/// Pulls the configuration from up to [`PEERS_PULLED`] members. Returns whether any of
/// them sent a response that was accepted.
async fn pull_from_peers(driver: &Driver, responsive: &[SocketAddr]) -> bool {
    let shared = driver.shared();
    let peers: Vec<(SocketAddr, Distance, String)> = {
        let control = lock(&shared.control);
        let own_vm = &control.detector.local_record().vm;
        let known = control.detector.table().live().filter(|record| record.vm != *own_vm);
        let mut known: Vec<&Record> = known.collect();
        // Members that have just responded come first. The others may have announced
        // themselves in the meantime.
        known.sort_by_key(|record| (!responsive.contains(&record.peer), shared.distance(record)));
        let peers = known.into_iter().take(PEERS_PULLED);
        peers.map(|r| (r.peer, shared.distance(r), r.vm.to_string())).collect()
    };
    let mut accepted = 0;
    for (address, distance, vm) in peers {
        let Ok(response) = peer::pull(shared, address, distance, shared.tip()).await else {
            continue;
        };
        accepted += usize::from(driver.apply_response(&vm, response));
        if accepted == 1
            && let Ok(entries) = peer::history(shared, address).await
        {
            lock(&shared.control).history.merge(&entries);
        }
        // Each peer is asked, since one may not have heard of the newest order yet.
        if let Ok(known) = peer::rollouts(shared, address).await {
            rollouts::merge_fetched(shared, &known);
        }
        if accepted == 1
            && let Ok(known) = peer::suspects(shared, address).await
        {
            suspects::merge(shared, &known);
        }
    }
    accepted > 0
}

#[cfg(test)]
mod tests;
