//! Builds responses of the operators' API from the daemon's shared state.

use std::time::Duration;

use medlarpoint_api::{
    Action, Activation, DataCentreState, DataCentreStatus, History, HistoryEntry, Laggard,
    ResourceChange, Status, StoreStatus, TargetStatus,
};
use medlarpoint_membership::summaries;
use medlarpoint_model::{Change, DataCentre, Version};
use medlarpoint_wire::Readiness;

use crate::state::{Control, Shared, lock};

/// Returns the newest version that any data centre is known to have.
fn newest(control: &Control) -> Version {
    let summaries = control.detector.summaries().iter().map(|s| s.summary.version);
    summaries.fold(control.replica.current().version, Version::max)
}

/// Returns the status of this daemon and of the fleet's data centres.
pub(crate) fn status(shared: &Shared) -> Status {
    let control = lock(&shared.control);
    let options = &shared.settings.options;
    let newest = newest(&control);
    let now = shared.now();
    let max_age = control.detector.options().max_summary_age;
    let mut data_centres: Vec<DataCentreStatus> = control
        .detector
        .summaries()
        .iter()
        .map(|entry| data_centre_status(entry, newest, now, max_age))
        .collect();
    data_centres.sort_unstable_by(|a, b| a.data_centre.cmp(&b.data_centre));
    let down = control.store_down.clone();
    let tip = control.replica.tip();
    Status {
        change: *shared.lifecycle.subscribe_changes().borrow(),
        vm: options.vm.clone(),
        data_centre: options.data_centre.clone(),
        region: options.region.clone(),
        serving: shared.lifecycle.is_ready() && !shared.lifecycle.has_stopped_accepting(),
        waiting: control.not_ready_reason.clone(),
        version: tip.version,
        digest: tip.digest,
        newest,
        store: StoreStatus {
            available: down.is_none(),
            down_since_ms: down.as_ref().map(|(since, _)| *since),
            reason: down.map(|(_, reason)| reason),
        },
        data_centres,
        allocators: shared.quotas.allocators(),
        target: target(shared),
    }
}

/// Returns the status of a data centre. Its state is unknown if the summary is older
/// than `max_age`.
fn data_centre_status(
    entry: &summaries::Entry,
    newest: Version,
    now: Duration,
    max_age: Duration,
) -> DataCentreStatus {
    let summary = &entry.summary;
    let age = now.saturating_sub(entry.renewed_at);
    let state = match (age >= max_age, summary.version >= newest) {
        (true, _) => DataCentreState::Unknown,
        (false, true) => DataCentreState::InForce,
        (false, false) => DataCentreState::Converging,
    };
    let laggard = |laggard: &medlarpoint_wire::Laggard| Laggard {
        vm: laggard.vm.clone(),
        applied: laggard.applied,
    };
    DataCentreStatus {
        data_centre: summary.data_centre.clone(),
        state,
        version: summary.version,
        since_ms: summary.since_ms,
        live: summary.live,
        behind: summary.behind,
        laggards: summary.laggards.iter().map(laggard).collect(),
        heard_ms_ago: age.as_millis() as u64,
    }
}

/// Returns the status of this VM's target, if one is known.
fn target(shared: &Shared) -> Option<TargetStatus> {
    let load = {
        let now = shared.now();
        lock(&shared.intake).load(now)
    };
    let target = lock(&shared.target);
    let target = target.as_ref()?;
    Some(TargetStatus {
        service: target.service.clone(),
        slots: target.slots,
        usable: load.slots,
        running: load.running,
        queued: load.queued,
        draining: target.readiness == Readiness::Draining,
        down: target.down,
    })
}

/// Returns up to `limit` recent versions, newest first.
pub(crate) fn history(shared: &Shared, limit: usize) -> History {
    let control = lock(&shared.control);
    let data_centres: Vec<DataCentre> =
        control.detector.summaries().iter().map(|s| s.summary.data_centre.clone()).collect();
    let entries = control.history.entries().rev().take(limit);
    History { lines: entries.map(|entry| history_entry(entry, &data_centres)).collect() }
}

/// Returns a version's changes and when it came into force in each data centre.
fn history_entry(
    entry: &medlarpoint_config::history::Entry,
    data_centres: &[DataCentre],
) -> HistoryEntry {
    let delta = &entry.delta;
    let changed = |change: &Change| ResourceChange {
        action: match change {
            Change::Put(_) => Action::Put,
            Change::Delete(_) => Action::Delete,
        },
        key: change.key(),
    };
    let activation = |data_centre: &DataCentre| {
        let in_force = entry.in_force.get(data_centre);
        Activation {
            data_centre: data_centre.clone(),
            at_ms: in_force.map(|record| record.at_ms),
            with: in_force.map(|record| record.seen).filter(|version| *version != delta.version),
        }
    };
    let mut in_force: Vec<Activation> = data_centres.iter().map(activation).collect();
    in_force.sort_unstable_by(|a, b| a.data_centre.cmp(&b.data_centre));
    HistoryEntry {
        version: delta.version,
        author: delta.author.clone(),
        commit: delta.commit,
        at_ms: delta.at_ms,
        changes: delta.changes.iter().map(changed).collect(),
        in_force,
    }
}
