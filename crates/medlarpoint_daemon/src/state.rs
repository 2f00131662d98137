//! State shared by the tasks of a daemon.
//!
//! Lock order: `control`, then `services`, then a service's split, then its picker, budgets
//! or hedges, then `intake`, then `waiters`. `suspects`, `rollouts` and each lock of `quotas` are locked
//! last. `target`, `target_run`, each lock of `departed` and
//! `wait_estimator` are not held together with any other lock. No lock is held across
//! an await except `claim_lease`, which lets one task at a time request a lease, and
//! `target_check`, which lets one task at a time connect to the target.

use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::Duration;

use arc_swap::ArcSwap;
use http::uri::PathAndQuery;
use indexmap::IndexMap;
use medlarpoint_config::{Distance, History, Rejection, Replica, pull};
use medlarpoint_membership::instance::Instance;
use medlarpoint_membership::{Detector, Freshness, Reporter, broadcast};
use medlarpoint_model::{Name, Snapshot, Version, Vm};
use medlarpoint_platform::bounds::Bounds;
use medlarpoint_platform::store::Client;
use medlarpoint_routing::rollout::Split;
use medlarpoint_routing::{
    Budget, Departures, HedgeDelays, Intake, KeyTable, Picker, RouteTable, Suspects, TargetRun,
    WaitEstimator,
};
use medlarpoint_store::{Era, Lease};
use medlarpoint_wire::{Readiness, Record, Tip};
use tokio::sync::Notify;

use crate::buffer_budget::BufferBudget;
use crate::clock::Clock;
use crate::departed;
use crate::event::Event;
use crate::inbound::{SavedResponse, Waiters};
use crate::keep_alive::Connections;
use crate::lifecycle::Lifecycle;
use crate::log::Log;
use crate::pipeline::EarlyCalls;
use crate::pool::Pool;
use crate::quota::Quotas;
use crate::rollouts::Rollouts;
use crate::settings::Settings;
use crate::slowdown::Slowdown;
use crate::traffic::Traffic;
use crate::workspace::Labels;

/// Version in force with its compiled routes and keys.
#[derive(Debug)]
pub(crate) struct InForce {
    pub(crate) snapshot: Arc<Snapshot>,
    pub(crate) routes: RouteTable,
    pub(crate) keys: KeyTable,
}

impl InForce {
    pub(crate) fn new(snapshot: Arc<Snapshot>) -> Self {
        let routes = RouteTable::compile(&snapshot);
        let keys = KeyTable::compile(&snapshot);
        Self { snapshot, routes, keys }
    }
}

/// State of the outbound proxy for one service.
#[derive(Debug)]
pub(crate) struct ServiceState {
    pub(crate) name: Name,
    pub(crate) picker: Mutex<Picker>,
    /// Targets by version, and the counts of an order to move the service to a new one.
    pub(crate) split: Mutex<Split>,
    pub(crate) retries: Mutex<Budget>,
    pub(crate) hedges: Mutex<Budget>,
    /// Delays after which calls of each route get a second attempt.
    pub(crate) hedge_delays: Mutex<HedgeDelays>,
}

/// State of the control plane. One lock protects all of it, since it changes rarely.
#[derive(Debug)]
pub(crate) struct Control {
    pub(crate) detector: Detector,
    pub(crate) replica: Replica,
    pub(crate) pulls: pull::Scheduler,
    pub(crate) reporter: Reporter,
    pub(crate) history: History,
    /// Time when this daemon became a reporter, on the local clock.
    pub(crate) reporter_since: Option<Duration>,
    /// Age of the last store read by any member.
    pub(crate) freshness: Freshness,
    /// Wall-clock time when the version in force was applied, in milliseconds since the
    /// Unix epoch; zero before the first one.
    pub(crate) applied_ms: u64,
    /// Last rejected version: wall-clock time in milliseconds, and the reason.
    pub(crate) last_rejection: Option<(u64, Rejection)>,
    /// Reason for which callers are not served yet, for the operators' API.
    pub(crate) not_ready_reason: Option<String>,
    /// Start of the current outage of the store, in wall-clock milliseconds, and the
    /// error of the call that failed.
    pub(crate) store_down: Option<(u64, String)>,
    /// Era of the store, as logged last.
    pub(crate) store_era: Era,
}

impl Control {
    /// Returns the peer addresses to which this daemon forwards a broadcast of `origin`.
    pub(crate) fn broadcast_children(&self, origin: &Vm) -> Vec<SocketAddr> {
        let table = self.detector.table();
        let own_vm = &self.detector.local_record().vm;
        let members = table.live().map(|record| &record.vm);
        let children = broadcast::children(origin, own_vm, members).into_iter();
        children.filter_map(|vm| table.get(vm).map(|member| member.record.peer)).collect()
    }
}

/// State of this VM's target.
#[derive(Clone, Debug)]
pub(crate) struct TargetState {
    /// Process of the target, if it sends the platform's reports.
    pub(crate) instance: Option<Instance>,
    pub(crate) service: Name,
    /// Software version, if the target reports one.
    pub(crate) version: Option<Arc<str>>,
    pub(crate) address: SocketAddr,
    pub(crate) slots: u32,
    pub(crate) connections: u32,
    pub(crate) readiness: Readiness,
    pub(crate) failures: u32,
    /// Whether the target refuses connections.
    pub(crate) down: bool,
    /// Whether the target has stopped sending reports.
    pub(crate) silent: bool,
}

impl TargetState {
    /// Returns the start time and the instance id of the process as one text. A process
    /// may start again with the id that it had.
    pub(crate) fn process(&self) -> Option<String> {
        let (born_ms, instance) = self.instance.as_ref()?.identity();
        Some(format!("{born_ms}/{instance}"))
    }

    /// Returns whether the process has said in a response that it leaves, or has
    /// deregistered.
    pub(crate) fn is_leaving(&self) -> bool {
        self.instance.as_ref().is_some_and(Instance::is_leaving)
    }

    /// Takes the target out of service because its process leaves. Returns the process if
    /// that is new.
    pub(crate) fn leave(&mut self) -> Option<String> {
        let instance = self.instance.as_mut()?;
        if !instance.leave() {
            return None;
        }
        self.readiness = Readiness::Draining;
        Some(instance.identity().1.to_owned())
    }

    /// Returns whether both are states of the same process of the target.
    pub(crate) fn is_same_process(&self, other: &Self) -> bool {
        let identity = self.instance.as_ref().map(Instance::identity);
        identity == other.instance.as_ref().map(Instance::identity)
    }
}

/// Settings that may change while the daemon runs.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Reloadable {
    /// Service of this VM's target, if the settings name one.
    pub(crate) service: Option<Name>,
    /// Limits that the platform sets for the installation.
    pub(crate) bounds: Bounds,
}

impl Reloadable {
    pub(crate) fn of(settings: &Settings) -> Self {
        Self { service: settings.options.service.clone(), bounds: settings.bounds }
    }
}

/// State that all tasks of a daemon share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) clock: Clock,
    pub(crate) boot: u64,
    /// Current values of the settings that may change.
    pub(crate) reloadable: ArcSwap<Reloadable>,
    pub(crate) log: Log,
    pub(crate) store: Client,
    pub(crate) traffic: Traffic,
    pub(crate) control: Mutex<Control>,
    pub(crate) in_force: ArcSwap<InForce>,
    pub(crate) services: RwLock<IndexMap<Name, Arc<ServiceState>>>,
    pub(crate) wait_estimator: Mutex<WaitEstimator>,
    pub(crate) intake: Mutex<Intake<SavedResponse>>,
    pub(crate) waiters: Mutex<Waiters>,
    pub(crate) target: Mutex<Option<TargetState>>,
    /// Calls under which targets have crashed.
    pub(crate) suspects: Mutex<Suspects>,
    /// Wakes the task that broadcasts changes of `suspects`.
    pub(crate) suspects_changed: Notify,
    /// Tokens that this daemon borrows and lends.
    pub(crate) quotas: Quotas,
    /// Orders to move services to new versions.
    pub(crate) rollouts: Mutex<Rollouts>,
    /// Calls that the current process of the target has begun.
    pub(crate) target_run: Mutex<TargetRun>,
    /// Time of the last connection to the target, on the local clock, that was not refused
    /// after another had broken. Locked while a task connects.
    pub(crate) target_check: tokio::sync::Mutex<Duration>,
    /// Paths at which targets tell their health, by service, from the operator's document.
    pub(crate) health_paths: ArcSwap<IndexMap<Name, PathAndQuery>>,
    /// Target processes that have deregistered or said in a report that they drain.
    pub(crate) departed: departed::Memory,
    /// Lease to which new claims of idempotency keys are bound, and the time when it was
    /// granted. Locked while a new lease is requested.
    pub(crate) claim_lease: tokio::sync::Mutex<Option<(Lease, Duration)>>,
    /// Processes of targets that have said in responses that they leave.
    pub(crate) departures: Mutex<Departures>,
    /// Whether the state of the target has changed since it was last announced.
    pub(crate) target_changed: AtomicBool,
    pub(crate) slowdown: Slowdown,
    /// Names of workspaces in metrics.
    pub(crate) workspace_labels: Labels,
    /// Connections of callers.
    pub(crate) caller_connections: Connections,
    /// Calls that were started before their turn on the connections of callers.
    pub(crate) early_calls: EarlyCalls,
    /// Memory for bodies that are read ahead.
    pub(crate) buffers: Arc<BufferBudget>,
    /// Connections to other daemons.
    pub(crate) pool: Arc<Pool>,
    /// Connections to the target of this VM.
    pub(crate) target_pool: Arc<Pool>,
    pub(crate) lifecycle: Lifecycle,
    /// Wakes the task that pulls configuration from peers.
    pub(crate) pull_wakeup: Notify,
}

/// Locks a mutex. Poisoning is ignored, since the protected state keeps its invariants
/// between method calls even if a task panics.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Shared {
    pub(crate) fn now(&self) -> Duration {
        self.clock.now()
    }

    pub(crate) fn emit(&self, event: &Event) {
        self.log.emit(event);
    }

    /// Logs an event about a call, subject to a rate limit.
    pub(crate) fn emit_call(&self, event: &Event) {
        self.log.emit_call(event);
    }

    pub(crate) fn fleet(&self) -> &Name {
        &self.settings.options.fleet
    }

    pub(crate) fn distance(&self, record: &Record) -> Distance {
        let options = &self.settings.options;
        if record.data_centre == options.data_centre {
            Distance::Near
        } else if record.region == options.region {
            Distance::Region
        } else {
            Distance::Remote
        }
    }

    /// Returns the distance of a peer address. Unknown addresses count as near.
    pub(crate) fn distance_of(&self, control: &Control, peer: SocketAddr) -> Distance {
        let record = control.detector.table().live().find(|record| record.peer == peer);
        record.map_or(Distance::Near, |record| self.distance(record))
    }

    /// Returns the time within which a version has to be in force.
    pub(crate) fn propagation(&self) -> Duration {
        self.reloadable.load().bounds.propagation
    }

    pub(crate) fn tip(&self) -> Tip {
        let in_force = self.in_force.load();
        Tip { version: in_force.snapshot.version, digest: in_force.snapshot.digest }
    }

    pub(crate) fn version(&self) -> Version {
        self.in_force.load().snapshot.version
    }

    pub(crate) fn service(&self, name: &Name) -> Option<Arc<ServiceState>> {
        let services = self.services.read().unwrap_or_else(PoisonError::into_inner);
        services.get(name).cloned()
    }
}
