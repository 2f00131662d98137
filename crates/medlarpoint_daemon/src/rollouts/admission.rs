//! Decides whether the target of this VM may get calls, as far as its version matters.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use indexmap::IndexMap;
use medlarpoint_model::Name;
use medlarpoint_routing::rollout::Phase;
use medlarpoint_wire::Record;

use super::{merge_fetched, order_reader};
use crate::control::Driver;
use crate::event::Event;
use crate::peer;
use crate::state::{Shared, TargetState, lock};

/// Limit on the time to ask the store whether there is an order.
const STORE_TIMEOUT: Duration = Duration::from_secs(1);
/// Number of peers that are asked if the store does not respond.
const PEERS_ASKED: usize = 2;
/// Wait before a peer is asked again for an order that it knows.
const FETCH_INTERVAL: Duration = Duration::from_millis(300);
/// Limit on the versions that are remembered as checked.
const MAX_CHECKS: usize = 64;

/// Whether a target may get calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Admission {
    pub(crate) may_serve: bool,
    /// Revision of the order for the version of the target, if this daemon knows one.
    pub(crate) order: Option<u64>,
}

/// Versions of which this daemon has asked whether there is an order, and other requests.
#[derive(Debug, Default)]
pub(crate) struct Checks {
    /// Whether the answer has arrived, by service and version.
    answered: IndexMap<(Name, Arc<str>), bool>,
    fetched_at: Option<Duration>,
}

/// Returns whether the target of this VM may get calls. If its version is not that of other
/// targets and no order for it is known, asks the store first, and publishes the target
/// again when the answer has arrived.
pub(crate) fn admit(driver: &Arc<Driver>, target: &TargetState) -> Admission {
    let serve = Admission { may_serve: true, order: None };
    let Some(version) = &target.version else {
        return serve;
    };
    let shared = driver.shared();
    let rollout = lock(&shared.rollouts).book.get(shared.now(), &target.service);
    let rollout = rollout.filter(|rollout| rollout.order.version == *version);
    if let Some(rollout) = rollout {
        let may_serve = rollout.phase != Phase::RolledBack;
        if !may_serve {
            let (service, version) = (target.service.clone(), version.to_string());
            shared.emit(&Event::TargetBarred { service, version });
        }
        return Admission { may_serve, order: Some(rollout.order.id.revision) };
    }
    let differs = {
        let control = lock(&shared.control);
        let own_vm = &control.detector.local_record().vm;
        let differs = |record: &Record| {
            let other = record.target.as_ref().filter(|other| other.service == target.service);
            record.vm != *own_vm
                && other.is_some_and(|other| other.version.as_ref() != Some(version))
        };
        control.detector.table().live().any(differs)
    };
    let id = (target.service.clone(), Arc::clone(version));
    let answered = {
        let mut rollouts = lock(&shared.rollouts);
        let answered = rollouts.checks.answered.get(&id).copied();
        if answered.is_none() && differs {
            if rollouts.checks.answered.len() >= MAX_CHECKS {
                rollouts.checks.answered.shift_remove_index(0);
            }
            rollouts.checks.answered.insert(id.clone(), false);
        }
        answered
    };
    match answered {
        Some(true) => serve,
        None if !differs => serve,
        Some(false) => Admission { may_serve: false, order: None },
        None => {
            let (service, version) = (target.service.clone(), version.to_string());
            shared.emit(&Event::TargetHeld { service, version });
            tokio::spawn(ask(Arc::clone(driver), id));
            Admission { may_serve: false, order: None }
        }
    }
}

/// Asks the store, or else peers, whether there is an order.
async fn ask(driver: Arc<Driver>, id: (Name, Arc<str>)) {
    let shared = Arc::clone(driver.shared());
    let read = tokio::time::timeout(STORE_TIMEOUT, order_reader::read(&driver, &id.0)).await;
    if !matches!(read, Ok(Ok(()))) {
        ask_peers(&shared).await;
    }
    lock(&shared.rollouts).checks.answered.insert(id, true);
    shared.target_changed.store(true, Ordering::Release);
}

async fn ask_peers(shared: &Shared) {
    let peers: Vec<Record> = {
        let control = lock(&shared.control);
        let own_vm = &control.detector.local_record().vm;
        let others = control.detector.table().live().filter(|record| record.vm != *own_vm);
        let mut others: Vec<Record> = others.cloned().collect();
        others.sort_by_key(|record| shared.distance(record));
        others.truncate(PEERS_ASKED);
        others
    };
    for record in peers {
        if let Ok(known) = peer::rollouts(shared, record.peer).await {
            merge_fetched(shared, &known);
        }
    }
}

/// Fetches the orders of targets whose daemons know one that this daemon does not know.
pub(super) fn fetch_unknown(driver: &Arc<Driver>) {
    let shared = driver.shared();
    let services: Vec<_> = {
        let services = shared.services.read().unwrap_or_else(std::sync::PoisonError::into_inner);
        services.values().cloned().collect()
    };
    let unknown = services.iter().find_map(|state| lock(&state.split).unknown_targets().pop());
    let Some(vm) = unknown else {
        return;
    };
    let now = shared.now();
    {
        let mut rollouts = lock(&shared.rollouts);
        let last = rollouts.checks.fetched_at;
        if last.is_some_and(|at| now.saturating_sub(at) < FETCH_INTERVAL) {
            return;
        }
        rollouts.checks.fetched_at = Some(now);
    }
    let control = lock(&shared.control);
    let Some(to) = control.detector.table().get(&vm).map(|member| member.record.peer) else {
        return;
    };
    let shared = Arc::clone(shared);
    tokio::spawn(async move {
        if let Ok(known) = peer::rollouts(&shared, to).await {
            merge_fetched(&shared, &known);
        }
    });
}
