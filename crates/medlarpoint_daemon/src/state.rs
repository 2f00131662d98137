//! Tables shared by the workers of a daemon.
//!
//! Lock order: `control`, then `services`, then a service's picker, budgets
//! or hedges, then `intake`, then `waiters`. `target`, `departed` and
//! `wait_estimator` are held with no other. No lock is held across an await,
//! but for `claim_lease`, which lets one worker ask for a lease at a time.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::Duration;

use arc_swap::ArcSwap;
use indexmap::IndexMap;
use medlarpoint_config::{Distance, History, Rejection, Replica, pull};
use medlarpoint_membership::instance::Instance;
use medlarpoint_membership::{Deregistrations, Detector, Freshness, Reporter};
use medlarpoint_model::{Name, Snapshot, Version};
use medlarpoint_platform::bounds::Bounds;
use medlarpoint_platform::store::Client;
use medlarpoint_routing::{Budget, HedgeDelays, Intake, Picker, RouteTable, WaitEstimator};
use medlarpoint_store::LeaseId;
use medlarpoint_wire::{Readiness, Record, Tip};
use tokio::sync::Notify;

use crate::clock::Clock;
use crate::event::Event;
use crate::inbound::{SavedResponse, Waiters};
use crate::lifecycle::Lifecycle;
use crate::log::Log;
use crate::pool::Pool;
use crate::settings::Settings;
use crate::slowdown::Slowdown;
use crate::traffic::Traffic;

/// The version in force with its compiled routes.
#[derive(Debug)]
pub(crate) struct InForce {
    pub(crate) snapshot: Arc<Snapshot>,
    pub(crate) routes: RouteTable,
}

impl InForce {
    pub(crate) fn new(snapshot: Arc<Snapshot>) -> Self {
        let routes = RouteTable::compile(&snapshot);
        Self { snapshot, routes }
    }
}

/// What an outbound proxy knows of a service.
#[derive(Debug)]
pub(crate) struct ServiceState {
    pub(crate) name: Name,
    pub(crate) picker: Mutex<Picker>,
    pub(crate) retries: Mutex<Budget>,
    pub(crate) hedges: Mutex<Budget>,
    /// After which time calls get a second attempt.
    pub(crate) latencies: Mutex<HedgeDelays>,
}

/// Decisions of the control plane, under one lock since their rate is low.
#[derive(Debug)]
pub(crate) struct Control {
    pub(crate) detector: Detector,
    pub(crate) replica: Replica,
    pub(crate) spreader: pull::Scheduler,
    pub(crate) reporter: Reporter,
    pub(crate) history: History,
    /// When this daemon became a reporter, on the local clock.
    pub(crate) reporter_since: Option<Duration>,
    /// When somebody last read the store.
    pub(crate) freshness: Freshness,
    pub(crate) applied_ms: u64,
    pub(crate) last_rejection: Option<(u64, Rejection)>,
    /// Why callers are not served yet.
    pub(crate) waiting: Option<String>,
    /// Why the store is taken to be down, and since when in wall-clock
    /// milliseconds.
    pub(crate) store_down: Option<(u64, String)>,
}

/// The target of this VM.
#[derive(Clone, Debug)]
pub(crate) struct TargetState {
    /// Its process, where it reports as the platform's targets do.
    pub(crate) occupant: Option<Instance>,
    pub(crate) service: Name,
    pub(crate) address: SocketAddr,
    pub(crate) slots: u32,
    pub(crate) connections: u32,
    pub(crate) stage: Readiness,
    pub(crate) failures: u32,
    /// It refuses connections.
    pub(crate) down: bool,
    /// It has ceased to report.
    pub(crate) silent: bool,
}

/// Settings that may change while the daemon runs.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Live {
    /// Service of this VM's target.
    pub(crate) service: Option<Name>,
    /// Figures of the installation.
    pub(crate) bounds: Bounds,
}

impl Live {
    pub(crate) fn of(settings: &Settings) -> Self {
        Self { service: settings.options.service.clone(), bounds: settings.bounds }
    }
}

/// Everything the tasks of a daemon share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) clock: Clock,
    pub(crate) boot: u64,
    /// Settings that may change while the daemon runs.
    pub(crate) live: ArcSwap<Live>,
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
    /// Processes that are no target any more.
    pub(crate) departed: Mutex<Deregistrations>,
    /// Lease that new records of idempotency keys are bound to, and when it
    /// was granted. Held while a new one is asked for.
    pub(crate) claim_lease: tokio::sync::Mutex<Option<(LeaseId, Duration)>>,
    pub(crate) slowdown: Slowdown,
    pub(crate) pool: Arc<Pool>,
    pub(crate) lifecycle: Lifecycle,
    /// Wakes the pull loop.
    pub(crate) pull: Notify,
}

/// Locks a table. A worker that panicked leaves tables whose invariants hold
/// between calls, so its poison is ignored.
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

    /// Writes an event about a call, unless there are too many of them.
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

    /// Returns the distance of a control address; unknown ones count as near.
    pub(crate) fn distance_of(&self, control: &Control, peer: SocketAddr) -> Distance {
        let record = control.detector.table().live().find(|record| record.peer == peer);
        record.map_or(Distance::Near, |record| self.distance(record))
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
