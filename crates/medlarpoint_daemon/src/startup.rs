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
use crate::control::{Driver, ROLE_HOLDERS};
use crate::event::Event;
use crate::settings::Source;
use crate::state::{Shared, lock};
use crate::{peer, registry, store_reader};

/// Peers asked for their version before serving.
const PEERS_ASKED: usize = 3;
/// Peers tried until that many have answered.
const PEERS_TRIED: usize = 5;
/// Longest wait for members to answer.
const SYNC_TIMEOUT: Duration = Duration::from_millis(400);
/// First wait between tries.
const FIRST_WAIT: Duration = Duration::from_millis(200);
/// Longest wait between tries.
const MAX_WAIT: Duration = Duration::from_millis(1_500);
/// Time after which a daemon that knows peers asks the store again itself.
const ASK_AGAIN: Duration = Duration::from_secs(2);

/// What a round of catching up found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Found {
    /// Peers answered, and their versions are in force here.
    Peers,
    /// The store answered, and no peer is known to it.
    StoreOnly,
    /// Nothing answered.
    Nothing,
}

/// Catches up, then lets callers in. Storms of restarting daemons spread out
/// by full jitter.
pub(crate) async fn catch_up(driver: Arc<Driver>) {
    let shared = Arc::clone(driver.shared());
    let mut wait = FIRST_WAIT;
    let mut asked_at = None;
    loop {
        let found = if asks_store(&shared, asked_at) {
            asked_at = Some(shared.now());
            round(&driver).await
        } else {
            follow_peers(&driver).await
        };
        if is_enough(shared.settings.options.source, found, shared.version()) {
            driver.set_ready();
            return;
        }
        let reason = match found {
            Found::Nothing => "neither a peer nor the store can be reached".to_owned(),
            Found::Peers | Found::StoreOnly => "no configuration has been published".to_owned(),
        };
        let news = lock(&shared.control).not_ready_reason.replace(reason.clone());
        if news.as_ref() != Some(&reason) {
            shared.emit(&Event::Waiting { reason });
        }
        let pause = wait / 4 + jitter(wait);
        wait = (wait * 2).min(MAX_WAIT);
        let mut changes = shared.lifecycle.subscribe_changes();
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            // Perhaps a member has told of itself.
            _ = changes.changed() => tokio::time::sleep(jitter(FIRST_WAIT)).await,
            () = shared.lifecycle.wait_closed() => return,
        }
    }
}

/// Tells whether this daemon asks the store in this round. Once it knows peers,
/// it leaves that to the fleet's readers for a while.
fn asks_store(shared: &Shared, asked_at: Option<Duration>) -> bool {
    let Some(asked_at) = asked_at else {
        return true;
    };
    if shared.now().saturating_sub(asked_at) >= ASK_AGAIN {
        return true;
    }
    let control = lock(&shared.control);
    let me = &control.detector.local_record().vm;
    let table = control.detector.table();
    let knows_peers = table.live().any(|record| record.vm != *me);
    !knows_peers || readers(table.live(), ROLE_HOLDERS).contains(&me)
}

/// Takes what members know, and nothing from the store.
async fn follow_peers(driver: &Driver) -> Found {
    if ask_peers(driver, &[]).await { Found::Peers } else { Found::Nothing }
}

/// Tells whether callers can be served with what was found. Peers without a
/// version prove nothing: after a loss of the whole fleet all of them have
/// forgotten it, and only the store knows whether there is one.
fn is_enough(source: Source, found: Found, version: Version) -> bool {
    let has_version = version > Version::ZERO;
    match (source, found) {
        (Source::Commits, Found::Nothing) => false,
        (Source::Commits, Found::StoreOnly) => true,
        (Source::Commits, Found::Peers) | (Source::Operator, _) => has_version,
    }
}

async fn round(driver: &Driver) -> Found {
    let shared = driver.shared();
    let listed = registry::list(shared, Consistency::Latest).await;
    let mut addresses = shared.settings.options.seeds.clone();
    if let Ok(records) = &listed {
        addresses.extend(by_distance(shared, records));
    }
    let me = lock(&shared.control).detector.local_record().peer;
    addresses.retain(|address| *address != me);
    addresses.truncate(PEERS_TRIED);
    let reached = sync_with(shared, addresses).await;
    let asked = ask_peers(driver, &reached).await;
    if asked && shared.version() > Version::ZERO {
        return Found::Peers;
    }
    let read = store_reader::refresh(driver).await;
    if listed.is_ok() && read.is_ok() { Found::StoreOnly } else { Found::Nothing }
}

/// Orders the addresses of members: near ones first, at random among equals.
fn by_distance(shared: &Shared, records: &[Record]) -> Vec<SocketAddr> {
    let mut records: Vec<&Record> = records.iter().collect();
    records.shuffle(&mut rand::rng());
    records.sort_by_key(|record| shared.distance(record));
    records.into_iter().map(|record| record.peer).collect()
}

/// Exchanges tables with some members at once and returns those that answered
/// in time.
async fn sync_with(shared: &Arc<Shared>, addresses: Vec<SocketAddr>) -> Vec<SocketAddr> {
    let mut exchanges = JoinSet::new();
    for address in addresses {
        let shared = Arc::clone(shared);
        exchanges.spawn(async move {
            let met = peer::sync(&shared, address, Vec::new()).await;
            met.ok().map(|()| address)
        });
    }
    let mut reached = Vec::new();
    let deadline = tokio::time::Instant::now() + SYNC_TIMEOUT;
    while let Ok(Some(met)) = tokio::time::timeout_at(deadline, exchanges.join_next()).await {
        // A panic there was told by the runtime, and the member counts as silent.
        reached.extend(met.ok().flatten());
        if reached.len() >= PEERS_ASKED {
            break;
        }
    }
    // The others go on; what they bring is taken when it comes.
    exchanges.detach_all();
    reached
}

/// Pulls from a few members until none has anything newer.
async fn ask_peers(driver: &Driver, reached: &[SocketAddr]) -> bool {
    let shared = driver.shared();
    let peers: Vec<(SocketAddr, Distance, String)> = {
        let control = lock(&shared.control);
        let me = &control.detector.local_record().vm;
        let known = control.detector.table().live().filter(|record| record.vm != *me);
        let mut known: Vec<&Record> = known.collect();
        // Those that have just answered first; others may have told of themselves.
        known.sort_by_key(|record| (!reached.contains(&record.peer), shared.distance(record)));
        let peers = known.into_iter().take(PEERS_ASKED);
        peers.map(|r| (r.peer, shared.distance(r), r.vm.to_string())).collect()
    };
    let mut answered = 0;
    for (address, distance, vm) in peers {
        let Ok(update) = peer::pull(shared, address, distance, shared.tip()).await else {
            continue;
        };
        answered += usize::from(driver.apply_response(&vm, update));
        if answered == 1
            && let Ok(lines) = peer::history(shared, address).await
        {
            lock(&shared.control).history.merge(&lines);
        }
    }
    answered > 0
}

#[cfg(test)]
mod tests;
