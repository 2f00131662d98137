//! Finds peers and catches up before the daemon serves callers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use medlarpoint_config::Distance;
use medlarpoint_store::Error;
use rand::seq::SliceRandom;

use crate::clock::jitter;
use crate::control::Driver;
use crate::event::Event;
use crate::state::{Shared, lock};
use crate::{peer, reader};

/// Peers asked for their version before serving.
const PEERS_ASKED: usize = 3;
/// First wait between tries.
const FIRST_WAIT: Duration = Duration::from_millis(200);
/// Longest wait between tries.
const MAX_WAIT: Duration = Duration::from_secs(3);

/// Longest pause after another daemon changed the contacts first.
const CONFLICT_PAUSE: Duration = Duration::from_millis(50);

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
    loop {
        let found = round(&driver).await;
        if found != Found::Nothing {
            driver.set_ready();
            announce_contact(&shared).await;
            return;
        }
        let reason = "neither a peer nor the store can be reached".to_owned();
        lock(&shared.control).waiting = Some(reason.clone());
        shared.emit(&Event::Waiting { reason });
        let pause = jitter(wait);
        wait = (wait * 2).min(MAX_WAIT);
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = shared.wait_closed() => return,
        }
    }
}

/// A data centre that the store does not know yet gets its first contact at
/// once, so that the next daemon finds this one.
async fn announce_contact(shared: &Shared) {
    for _ in 0..5 {
        match reader::read_contacts(shared).await {
            Ok((contacts, _)) => {
                let place = &shared.settings.options.data_centre;
                if contacts.0.get(place).is_some_and(|known| known.len() >= 3) {
                    return;
                }
            }
            Err(_) => return,
        }
        match reader::renew_contacts(shared).await {
            Err(Error::Conflict { .. }) => {}
            _ => return,
        }
        tokio::time::sleep(jitter(CONFLICT_PAUSE)).await;
    }
}

async fn round(driver: &Driver) -> Found {
    let shared = driver.shared();
    let contacts = reader::read_contacts(shared).await;
    let mut addresses = shared.settings.options.seeds.clone();
    if let Ok((contacts, _)) = &contacts {
        let near = &shared.settings.options.data_centre;
        let mut known: Vec<SocketAddr> = contacts.0.get(near).cloned().unwrap_or_default();
        known.shuffle(&mut rand::rng());
        addresses.extend(known);
        addresses.extend(contacts.addresses(near));
    }
    let me = lock(&shared.control).detector.me().peer;
    let mut reached = 0;
    let mut asked: Vec<SocketAddr> = Vec::new();
    for address in addresses {
        if address == me || asked.contains(&address) || reached >= PEERS_ASKED {
            continue;
        }
        asked.push(address);
        if peer::sync(shared, address, Vec::new()).await.is_ok() {
            reached += 1;
        }
    }
    if reached > 0 && ask_peers(driver).await {
        return Found::Peers;
    }
    let read = reader::refresh(driver).await;
    if contacts.is_ok() && read.is_ok() { Found::StoreOnly } else { Found::Nothing }
}

/// Pulls from a few live peers until none has anything newer.
async fn ask_peers(driver: &Driver) -> bool {
    let shared = driver.shared();
    let peers: Vec<(SocketAddr, Distance, String)> = {
        let control = lock(&shared.control);
        let me = &control.detector.me().vm;
        let others = control.detector.table().live().filter(|record| record.vm != *me);
        let mut others: Vec<_> = others
            .map(|record| (record.peer, shared.distance(record), record.vm.to_string()))
            .collect();
        others.shuffle(&mut rand::rng());
        others.sort_by_key(|(_, distance, _)| *distance);
        others
    };
    let mut answered = 0;
    for (address, distance, vm) in peers.into_iter().take(PEERS_ASKED * 2) {
        if answered >= PEERS_ASKED {
            break;
        }
        let Ok(update) = peer::pull(shared, address, distance, shared.tip()).await else {
            continue;
        };
        answered += usize::from(driver.offer(&vm, update));
        if answered == 1
            && let Ok(lines) = peer::history(shared, address).await
        {
            lock(&shared.control).history.merge(&lines);
        }
    }
    answered > 0
}
