//! Moves services to new versions of their targets, by orders of the operator.
//!
//! The readers of the store broadcast an order, and the daemons repeat it with probes, as they
//! do with suspects. Each daemon splits its own calls and reports their results to the two
//! deciding daemons. These judge the new version, broadcast the phase, and write the state.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use medlarpoint_membership::{Role, ranked, readers};
use medlarpoint_model::{Name, Vm};
use medlarpoint_platform::rollout::State;
use medlarpoint_routing::ResolvedRoute;
use medlarpoint_routing::rollout::{
    Book, Choice, DaemonReport, Decision, FleetView, Observation, Phase, Review, Rollout,
};
use medlarpoint_routing::{AttemptResult, CallEvent};
use medlarpoint_wire::{self as wire, Body, BootId};

use crate::control::Driver;
use crate::event::Event;
use crate::state::{Control, ServiceState, Shared, lock};
use crate::{attempt_response, roles, services};

pub(crate) mod admission;
mod codec;
pub(crate) mod order_reader;
pub(crate) mod status_writer;

pub(crate) use admission::admit;
pub(crate) use codec::decode_report;

/// Interval between checks of the orders that are active.
const TICK: Duration = Duration::from_millis(100);
/// Number of ticks between two reports.
const TICKS_PER_REPORT: u32 = 5;
/// Number of reports between two that repeat all counts.
const REPORTS_PER_FULL: u32 = 4;
/// Number of orders that a probe or an acknowledgement tells of.
const ROLLOUTS_PER_PROBE: usize = 1;
/// Number of orders that a datagram tells of.
const ROLLOUTS_PER_DATAGRAM: usize = 3;
/// Number of routes in a report, so that it fits into a datagram.
const ROUTES_PER_REPORT: usize = 2;
/// Limit on the members that a deciding daemon tells of an order in a tick, because they have
/// not reported on it.
const REMINDERS_PER_TICK: usize = 16;

/// Orders that this daemon knows, and its decisions.
#[derive(Debug, Default)]
pub(crate) struct Rollouts {
    pub(crate) book: Book,
    /// Decisions by service, of the order in `book`.
    cases: IndexMap<Name, Case>,
    checks: admission::Checks,
}

/// Decision on an order, as far as this daemon takes part in it.
#[derive(Debug, Default)]
struct Case {
    revision: u64,
    review: Review,
    /// Whether the order may be written as completed.
    is_complete: bool,
    /// State that the store is known to hold.
    stored: Option<State>,
}

impl Rollouts {
    /// Returns the case of an order; a new one if the order is new.
    fn case(&mut self, service: &Name, revision: u64) -> &mut Case {
        let case = self.cases.entry(service.clone()).or_default();
        if case.revision != revision {
            *case = Case { revision, ..Case::default() };
        }
        case
    }
}

/// Returns the daemons that decide on orders: the readers of the store, filled up by rank
/// while the store is reachable from fewer than two members.
fn deciders(control: &Control) -> Vec<Vm> {
    let table = control.detector.table();
    let mut deciders: Vec<Vm> =
        readers(table.live(), roles::HOLDERS).into_iter().cloned().collect();
    let live = table.live().map(|record| &record.vm);
    for vm in ranked(Role::Reader, live, roles::HOLDERS * 2) {
        if deciders.len() < roles::HOLDERS && !deciders.contains(vm) {
            deciders.push(vm.clone());
        }
    }
    deciders
}

/// Returns what this daemon knows, for a daemon that starts.
pub(crate) fn known(shared: &Shared) -> Vec<wire::Rollout> {
    let now = shared.now();
    lock(&shared.rollouts).book.rollouts(now).iter().map(codec::encode).collect()
}

/// Merges orders and phases. Returns those that are news, which callers have to apply with
/// [`services::refresh`].
fn merge(shared: &Shared, origin: &str, told: &[Rollout]) -> Vec<Rollout> {
    let now = shared.now();
    let mut news = Vec::new();
    for rollout in told {
        let order = &rollout.order;
        let previous = {
            let mut rollouts = lock(&shared.rollouts);
            let previous = rollouts.book.get(now, &order.service);
            if !rollouts.book.merge(now, rollout) {
                continue;
            }
            previous
        };
        let (service, version) = (order.service.clone(), order.version.to_string());
        let revision = order.id.revision;
        if previous.is_none_or(|previous| !previous.order.is_same(order)) {
            let (period_ms, origin) = (order.period.as_millis() as u64, origin.to_owned());
            let (service, version) = (service.clone(), version.clone());
            shared.emit(&Event::RolloutOrdered { service, version, revision, period_ms, origin });
        }
        let (phase, reason) = (rollout.phase.into(), rollout.reason.clone());
        metrics::gauge!("medlarpoint_rollout_phase", "service" => service.to_string())
            .set(f64::from(rollout.phase as u8));
        shared.emit(&Event::RolloutPhase { service, version, revision, phase, reason });
        news.push(rollout.clone());
    }
    if !news.is_empty() {
        // The target of this VM may be of the version, and has to be announced again.
        shared.target_changed.store(true, std::sync::atomic::Ordering::Release);
        shared.lifecycle.notify_change();
    }
    news
}

/// Merges orders that a probe or its acknowledgement told of.
pub(crate) fn receive_gossip(shared: &Shared, control: &Control, rollouts: &[wire::Rollout]) {
    if rollouts.is_empty() {
        return;
    }
    let told: Vec<Rollout> = rollouts.iter().map(codec::decode).collect();
    if !merge(shared, "a probe", &told).is_empty() {
        services::refresh(shared, control);
    }
}

/// Merges orders that were fetched from a peer.
pub(crate) fn merge_fetched(shared: &Shared, rollouts: &[wire::Rollout]) {
    receive_gossip(shared, &lock(&shared.control), rollouts);
}

/// Adds an order to a probe or its acknowledgement.
pub(crate) fn add_to_gossip(shared: &Shared, body: &mut Body) {
    let (Body::Probe { gossip, .. } | Body::Ack { gossip, .. }) = body else {
        return;
    };
    let now = shared.now();
    let rollouts = lock(&shared.rollouts).book.take_gossip(now, ROLLOUTS_PER_PROBE);
    gossip.rollouts = rollouts.iter().map(codec::encode).collect();
}

/// Handles a broadcast: applies what is news and passes it on to this daemon's children in
/// its tree.
pub(crate) fn receive(driver: &Driver, control: &Control, origin: &Vm, told: &[wire::Rollout]) {
    let told: Vec<Rollout> = told.iter().map(codec::decode).collect();
    apply(driver, control, origin, &told);
}

/// Merges orders, splits the calls by what is news, and passes it on.
fn apply(driver: &Driver, control: &Control, origin: &Vm, told: &[Rollout]) {
    let news = merge(driver.shared(), origin.as_str(), told);
    if news.is_empty() {
        return;
    }
    services::refresh(driver.shared(), control);
    forward(driver, control, origin, &news);
}

/// Applies what this daemon has read or decided, and broadcasts it.
fn publish(driver: &Driver, told: &[Rollout]) {
    let control = lock(&driver.shared().control);
    let origin = control.detector.local_record().vm.clone();
    apply(driver, &control, &origin, told);
}

fn forward(driver: &Driver, control: &Control, origin: &Vm, news: &[Rollout]) {
    let children = control.broadcast_children(origin);
    for part in news.chunks(ROLLOUTS_PER_DATAGRAM) {
        for to in &children {
            send(driver, control, *to, origin, part);
        }
    }
}

fn send(driver: &Driver, control: &Control, to: SocketAddr, origin: &Vm, rollouts: &[Rollout]) {
    let rollouts = rollouts.iter().map(codec::encode).collect();
    driver.send(control, to, Body::Rollouts { origin: origin.clone(), rollouts });
}

/// Handles the report of a daemon, if this daemon knows the order.
pub(crate) fn receive_report(
    driver: &Driver,
    control: &Control,
    from: &Vm,
    (service, revision): (&Name, u64),
    report: &DaemonReport,
) {
    let shared = driver.shared();
    let now = shared.now();
    let rollout = {
        let mut rollouts = lock(&shared.rollouts);
        let Some(rollout) = rollouts.book.get(now, service) else {
            return;
        };
        if rollout.order.id.revision == revision {
            rollouts.case(service, revision).review.on_report(now, from, report);
        }
        rollout
    };
    // The sender may not know of the phase yet; reports are sent only while it is active.
    let is_behind = rollout.phase != Phase::Canary && !report.settled;
    if is_behind && let Some(member) = control.detector.table().get(from) {
        let own_vm = &control.detector.local_record().vm;
        send(driver, control, member.record.peer, own_vm, &[rollout]);
    }
}

/// Counts the response to an attempt, or the failure of its target.
pub(crate) fn count_response(
    service: &ServiceState,
    resolved: &ResolvedRoute,
    now: Duration,
    vm: &Vm,
    event: &CallEvent,
    took: Duration,
) {
    let CallEvent::Responded(_, result) = event else {
        return;
    };
    let failed = attempt_response::counts_against_target(result);
    // A rejection by the target is not a response.
    if matches!(result, AttemptResult::NotRun { .. }) || (!failed && !is_response(result)) {
        return;
    }
    observe(service, resolved, now, vm, Observation { failed, took, abandoned: false });
}

fn is_response(result: &AttemptResult) -> bool {
    matches!(result, AttemptResult::Response)
}

/// Counts an attempt that was abandoned without a response.
pub(crate) fn count_abandoned(
    service: &ServiceState,
    resolved: &ResolvedRoute,
    now: Duration,
    vm: &Vm,
    sent_at: Duration,
) {
    let took = now.saturating_sub(sent_at);
    observe(service, resolved, now, vm, Observation { failed: false, took, abandoned: true });
}

fn observe(
    service: &ServiceState,
    resolved: &ResolvedRoute,
    now: Duration,
    vm: &Vm,
    observation: Observation,
) {
    let mut split = lock(&service.split);
    if !split.counts_responses() {
        return;
    }
    let route = &resolved.route.name;
    let usual = lock(&service.picker).median_service_time_of(Choice::Old, route);
    split.observe(now, vm, route, usual, observation);
}

/// Reports and decides until the daemon closes.
pub(crate) async fn run(driver: Arc<Driver>) {
    let shared = Arc::clone(driver.shared());
    let mut timer = tokio::time::interval(TICK);
    timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut ticks = 0_u32;
    loop {
        tokio::select! {
            _ = timer.tick() => {}
            () = shared.lifecycle.wait_closed() => return,
        }
        ticks = ticks.wrapping_add(1);
        admission::fetch_unknown(&driver);
        let active: Vec<Rollout> = {
            let now = shared.now();
            let rollouts = lock(&shared.rollouts).book.rollouts(now);
            rollouts.into_iter().filter(|rollout| rollout.phase.is_active()).collect()
        };
        for rollout in active {
            if ticks.is_multiple_of(TICKS_PER_REPORT) {
                let reports = ticks / TICKS_PER_REPORT;
                report(&driver, &rollout, reports.is_multiple_of(REPORTS_PER_FULL));
            }
            decide(&driver, &rollout);
        }
    }
}

/// Reports the counts of this daemon to the deciding daemons.
fn report(driver: &Driver, rollout: &Rollout, full: bool) {
    let shared = driver.shared();
    let now = shared.now();
    let order = &rollout.order;
    let control = lock(&shared.control);
    let service = shared.service(&order.service);
    let (settled, routes) = match &service {
        Some(service) => {
            let mut split = lock(&service.split);
            if split.order().map(|id| id.revision) != Some(order.id.revision) {
                return;
            }
            record_metrics(&order.service, &mut split);
            let idle = lock(&service.picker).outstanding(Choice::Old) == 0;
            (split.has_shifted() && idle, split.counts_mut().take_report(full))
        }
        // This daemon knows no target of the service, so that it sends no calls.
        None => (rollout.phase == Phase::Shifting, Vec::new()),
    };
    let boot = shared.boot;
    let own_vm = control.detector.local_record().vm.clone();
    for vm in deciders(&control) {
        if vm == own_vm {
            let report = DaemonReport { boot, settled, routes: routes.clone() };
            let mut rollouts = lock(&shared.rollouts);
            let case = rollouts.case(&order.service, order.id.revision);
            case.review.on_report(now, &own_vm, &report);
            continue;
        }
        let Some(peer) = control.detector.table().get(&vm).map(|m| m.record.peer) else {
            continue;
        };
        // A report without counts still confirms the phase.
        let parts = routes.chunks(ROUTES_PER_REPORT);
        let empty = routes.is_empty().then_some(&routes[..]);
        for part in parts.chain(empty) {
            let body = Body::RolloutReport {
                service: order.service.clone(),
                revision: order.id.revision,
                boot: BootId(boot),
                settled,
                routes: part.iter().map(codec::encode_route).collect(),
            };
            driver.send(&control, peer, body);
        }
    }
}

fn record_metrics(service: &Name, split: &mut medlarpoint_routing::rollout::Split) {
    let (old, new) = split.counts_mut().totals();
    let (calls, exposed) = split.exposure();
    for (name, value) in [
        ("medlarpoint_rollout_calls", calls),
        ("medlarpoint_rollout_exposed_calls", exposed),
        ("medlarpoint_rollout_old_responses", old.responses),
        ("medlarpoint_rollout_old_bad_responses", old.bad()),
        ("medlarpoint_rollout_new_responses", new.responses),
        ("medlarpoint_rollout_new_bad_responses", new.bad()),
    ] {
        metrics::gauge!(name, "service" => service.to_string()).set(value as f64);
    }
}

/// Decides on an order if this daemon is one of those that do, and tells members of it that
/// have not reported.
fn decide(driver: &Driver, rollout: &Rollout) {
    let shared = driver.shared();
    let now = shared.now();
    let order = &rollout.order;
    let decision = {
        let control = lock(&shared.control);
        let own_vm = &control.detector.local_record().vm;
        if !deciders(&control).contains(own_vm) {
            return;
        }
        let live: Vec<Vm> =
            control.detector.table().live().map(|record| record.vm.clone()).collect();
        let service = shared.service(&order.service);
        let new_targets = service.map_or(0, |service| lock(&service.split).new_targets());
        let fleet = FleetView { live: &live, new_targets };
        let (decision, silent) = {
            let mut rollouts = lock(&shared.rollouts);
            let case = rollouts.case(&order.service, order.id.revision);
            let decision = case.review.tick(now, rollout.age, order.period, rollout.phase, fleet);
            (decision, case.review.silent(now, &live, REMINDERS_PER_TICK))
        };
        for vm in silent.iter().filter(|vm| *vm != own_vm) {
            if let Some(member) = control.detector.table().get(vm) {
                let to = member.record.peer;
                send(driver, &control, to, own_vm, std::slice::from_ref(rollout));
            }
        }
        decision
    };
    let (phase, reason) = match decision {
        None => return,
        Some(Decision::Complete) => {
            lock(&shared.rollouts).case(&order.service, order.id.revision).is_complete = true;
            return;
        }
        Some(Decision::Shift) => (Phase::Shifting, "not judged bad".to_owned()),
        Some(Decision::RollBack(reason)) => (Phase::RolledBack, reason),
    };
    let name: &'static str = phase.into();
    shared.emit(&Event::RolloutDecided {
        service: order.service.clone(),
        version: order.version.to_string(),
        revision: order.id.revision,
        phase: name,
        reason: reason.clone(),
    });
    publish(driver, &[Rollout { phase, reason, ..rollout.clone() }]);
}
