//! Updates the picker and the budgets of each service from membership.

use std::sync::{Arc, Mutex, PoisonError};

use indexmap::IndexMap;
use medlarpoint_config::Distance;
use medlarpoint_model::Name;
use medlarpoint_routing::rollout::Target;
use medlarpoint_routing::{
    Budget, BudgetLimits, Destination, Endpoint, HedgeDelays, Locality, NetworkCosts, Picker,
    Strategy,
};
use medlarpoint_wire::{Readiness, Record, Status};

use crate::state::{Control, ServiceState, Shared, lock};

impl ServiceState {
    fn new(name: Name, strategy: Strategy, network_costs: NetworkCosts, seed: u64) -> Self {
        Self {
            name,
            picker: Mutex::new(Picker::new(strategy, network_costs, seed)),
            split: Mutex::default(),
            retries: Mutex::new(Budget::default()),
            hedges: Mutex::new(Budget::default()),
            hedge_delays: Mutex::new(HedgeDelays::default()),
        }
    }
}

/// Returns the service and the endpoint of a member whose target is ready.
fn endpoint(shared: &Shared, record: &Record) -> Option<(Name, Endpoint)> {
    let target = record.target.as_ref().filter(|target| target.readiness == Readiness::Ready)?;
    let destination =
        Destination { vm: record.vm.clone(), boot: record.boot.0, address: record.inbound };
    let locality = match shared.distance(record) {
        Distance::Near => Locality::Near,
        Distance::Region => Locality::Region,
        Distance::Remote => Locality::Remote,
    };
    Some((target.service.clone(), Endpoint { destination, locality, slots: target.slots }))
}

/// Returns the limits on this daemon's retry and hedge budgets: its share of what the
/// installation allows the fleet; `None` if no bounds are set. Members that are not
/// live count as well, since they may only be unreachable from here.
fn budget_limits(shared: &Shared, control: &Control) -> Option<BudgetLimits> {
    if shared.settings.options.bounds.is_empty() {
        return None;
    }
    let slack = shared.reloadable.load().bounds.retry_slack;
    Some(BudgetLimits::per_daemon(slack, control.detector.table().members().count()))
}

/// Divides the ready targets of a service by version if there is an order for the service.
fn assign_groups(shared: &Shared, control: &Control, state: &ServiceState) {
    let now = shared.now();
    let rollout = lock(&shared.rollouts).book.get(now, &state.name);
    let table = control.detector.table();
    let ready = table.live().filter_map(|record| {
        let target = record.target.as_ref().filter(|target| target.service == state.name)?;
        let is_ready = target.readiness == Readiness::Ready;
        let (version, order) = (target.version.as_deref(), target.order);
        is_ready.then_some(Target { vm: &record.vm, version, order })
    });
    let ready: Vec<Target<'_>> = ready.collect();
    let mut split = lock(&state.split);
    let is_plain = rollout.is_none() && ready.iter().all(|target| target.order.is_none());
    if is_plain && split.order().is_none() {
        return;
    }
    let version = rollout.as_ref().map(|rollout| &rollout.order.version);
    let is_old = |record: &Record| {
        let target = record.target.as_ref().filter(|target| target.service == state.name);
        target.is_some_and(|target| target.version.as_ref() != version)
            && record.status != Status::Left
    };
    let old_known = table.members().any(|member| is_old(&member.record));
    let start = rand::random();
    let groups = split.assign(now, rollout.as_ref(), &ready, old_known, start);
    lock(&state.picker).set_groups(groups);
}

/// Replaces the endpoints of each service by those of the live members, and updates
/// the limits on its budgets.
pub(crate) fn refresh(shared: &Shared, control: &Control) {
    let mut targets: IndexMap<Name, Vec<Endpoint>> = IndexMap::new();
    for record in control.detector.table().live() {
        if let Some((service, endpoint)) = endpoint(shared, record) {
            targets.entry(service).or_default().push(endpoint);
        }
    }
    let mut services = shared.services.write().unwrap_or_else(PoisonError::into_inner);
    let settings = &shared.settings;
    for name in targets.keys() {
        let seed = rand::random();
        services.entry(name.clone()).or_insert_with(|| {
            Arc::new(ServiceState::new(
                name.clone(),
                settings.strategy,
                settings.network_costs,
                seed,
            ))
        });
    }
    let limits = budget_limits(shared, control);
    for (name, state) in services.iter() {
        let endpoints = targets.swap_remove(name).unwrap_or_default();
        lock(&state.picker).update(endpoints);
        assign_groups(shared, control, state);
        if let Some(limits) = limits {
            lock(&state.retries).set_limit(limits.max_retries);
            lock(&state.hedges).set_limit(limits.max_hedges);
        }
    }
}
