//! Builds the answers of the operators' API from the shared tables.

use std::time::Duration;

use medlarpoint_api::{
    Action, Activation, DataCentreState, DataCentreStatus, History, HistoryEntry, Laggard,
    ResourceChange, Status, StoreStatus, TargetStatus,
};
use medlarpoint_membership::summaries;
use medlarpoint_model::{Change, DataCentre, Version};
use medlarpoint_wire::Readiness;

use crate::state::{Control, Shared, lock};

/// Newest version any data centre is known to have.
fn newest(control: &Control) -> Version {
    let summaries = control.detector.summaries().iter().map(|s| s.summary.version);
    summaries.fold(control.replica.current().version, Version::max)
}

/// Describes the fleet.
pub(crate) fn status(shared: &Shared) -> Status {
    let control = lock(&shared.control);
    let options = &shared.settings.options;
    let newest = newest(&control);
    let now = shared.now();
    let stale = control.detector.options().max_summary_age;
    let mut data_centres: Vec<DataCentreStatus> = control
        .detector
        .summaries()
        .iter()
        .map(|summed| place(summed, newest, now, stale))
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
        waiting: control.waiting.clone(),
        version: tip.version,
        digest: tip.digest,
        newest,
        store: StoreStatus {
            available: down.is_none(),
            down_since_ms: down.as_ref().map(|(since, _)| *since),
            reason: down.map(|(_, reason)| reason),
        },
        data_centres,
        target: target(shared),
    }
}

/// Describes a data centre; a summary older than `stale` no longer says what is
/// in force.
fn place(
    summed: &summaries::Entry,
    newest: Version,
    now: Duration,
    stale: Duration,
) -> DataCentreStatus {
    let summary = &summed.summary;
    let age = now.saturating_sub(summed.renewed_at);
    let state = match (age >= stale, summary.version >= newest) {
        (true, _) => DataCentreState::Unknown,
        (false, true) => DataCentreState::InForce,
        (false, false) => DataCentreState::Converging,
    };
    let laggard =
        |lag: &medlarpoint_wire::Laggard| Laggard { vm: lag.vm.clone(), applied: lag.applied };
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
        draining: target.stage == Readiness::Draining,
        down: target.down,
    })
}

/// Lists the recent versions, newest first.
pub(crate) fn history(shared: &Shared, limit: usize) -> History {
    let control = lock(&shared.control);
    let places: Vec<DataCentre> =
        control.detector.summaries().iter().map(|s| s.summary.data_centre.clone()).collect();
    let lines = control.history.entries().rev().take(limit);
    History { lines: lines.map(|known| line(known, &places)).collect() }
}

fn line(known: &medlarpoint_config::history::Entry, places: &[DataCentre]) -> HistoryEntry {
    let delta = &known.delta;
    let changed = |change: &Change| ResourceChange {
        action: match change {
            Change::Put(_) => Action::Put,
            Change::Delete(_) => Action::Delete,
        },
        key: change.key(),
    };
    let reached = |place: &DataCentre| {
        let in_force = known.in_force.get(place);
        Activation {
            data_centre: place.clone(),
            at_ms: in_force.map(|seen| seen.at_ms),
            with: in_force.map(|seen| seen.seen).filter(|seen| *seen != delta.version),
        }
    };
    let mut in_force: Vec<Activation> = places.iter().map(reached).collect();
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
