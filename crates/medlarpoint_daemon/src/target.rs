//! The target of this VM: announcement, heartbeats, drain and health checks.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use medlarpoint_api::Target;
use medlarpoint_membership::departed::Process;
use medlarpoint_membership::instance::{Effect, Instance, Report};
use medlarpoint_platform::report::{Heartbeat, ParseError};
use medlarpoint_wire::{Announcement, Readiness};

use crate::clock::wall_ms;
use crate::control::Driver;
use crate::departed::{self, NotKept};
use crate::event::Event;
use crate::state::{Shared, TargetState, lock};
use crate::target_end;
use crate::target_pace::{self, Reporter};
use crate::{inbound, rollouts};

/// Limit on the slots, and on the connections, of a target.
const MAX_SLOTS: u32 = 100_000;
/// Interval between sweeps of the intake.
const SWEEP_INTERVAL: Duration = Duration::from_millis(20);
/// Number of sweeps between health checks of the target.
const SWEEPS_PER_HEALTH_CHECK: u32 = 50;

/// Reason why an announcement or a drain request is rejected.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub(crate) enum TargetError {
    #[error("slots: {0} is not between 1 and {MAX_SLOTS}")]
    Slots(u32),
    #[error("connections: {0} is not between 1 and {MAX_SLOTS}")]
    Connections(u32),
    #[error("no target has announced itself to this daemon: start the target first")]
    Missing,
}

/// Time without a heartbeat after which a target that sends them is taken out of
/// service: three heartbeat intervals and some delay.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(5);
/// Connection limit of a target that states none.
const UNLIMITED_CONNECTIONS: u32 = u32::MAX;

/// Reason why a heartbeat or a deregistration is rejected.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ReportError {
    #[error(transparent)]
    Malformed(#[from] ParseError),
    #[error("there is no service {0} in the version in force: apply it first or check the name")]
    Service(medlarpoint_model::Name),
    #[error("{0} slots: a target has at most {MAX_SLOTS}")]
    Slots(u32),
    #[error(transparent)]
    NotKept(#[from] NotKept),
}

/// Processes a heartbeat of a target. If the heartbeat says that the target is draining, no
/// new work is handed over to it, also after a restart of this daemon, once this function
/// returns.
pub(crate) async fn accept_heartbeat(
    driver: &Arc<Driver>,
    instance: &str,
    heartbeat: &Heartbeat,
) -> Result<(), ReportError> {
    let effect = apply_heartbeat(driver, instance, heartbeat)?;
    let Heartbeat { born_ms, seq, draining, .. } = *heartbeat;
    match (effect, draining) {
        (Effect::Late, _) | (Effect::Unchanged | Effect::Replaced, false) => {}
        (Effect::ReadinessChanged, false) => driver.shared().departed.on_return(instance, born_ms),
        (Effect::Unchanged | Effect::Replaced | Effect::ReadinessChanged, true) => {
            let process = Process { instance: instance.into(), born_ms, last_seq: Some(seq) };
            depart(driver, process).await?;
        }
    }
    Ok(())
}

/// Records the departure of a process and has others keep it. Nothing follows from a further
/// report of a process that goes on draining.
async fn depart(driver: &Driver, process: Process) -> Result<(), NotKept> {
    let shared = driver.shared();
    if process.last_seq.is_some() && shared.departed.is_kept(&process) {
        return Ok(());
    }
    shared.departed.record(shared.now(), &shared.settings.options.vm, process.clone());
    departed::keep(shared, process).await
}

/// Applies a heartbeat to the state of the target.
fn apply_heartbeat(
    driver: &Arc<Driver>,
    instance: &str,
    heartbeat: &Heartbeat,
) -> Result<Effect, ReportError> {
    let shared = driver.shared();
    let is_configured = shared.reloadable.load().service.as_ref() == Some(&heartbeat.service);
    if !is_configured && shared.in_force.load().snapshot.service(&heartbeat.service).is_none() {
        return Err(ReportError::Service(heartbeat.service.clone()));
    }
    if heartbeat.slots > MAX_SLOTS {
        return Err(ReportError::Slots(heartbeat.slots));
    }
    let report = Report {
        instance: instance.into(),
        born_ms: heartbeat.born_ms,
        seq: heartbeat.seq,
        draining: heartbeat.draining,
    };
    if shared.departed.contains(shared.now(), &shared.settings.options.vm, &report) {
        shared.emit(&Event::LateReport { instance: instance.to_owned(), seq: heartbeat.seq });
        return Ok(Effect::Late);
    }
    let (effect, previous) = {
        let mut target = lock(&shared.target);
        let previous = target.clone();
        let mut current = target.as_ref().and_then(|target| target.instance.clone());
        let effect = Instance::apply(&mut current, shared.now(), report);
        if effect != Effect::Late {
            update_target(&mut target, current, heartbeat);
        }
        (effect, previous)
    };
    let was_silent = previous.as_ref().is_some_and(|previous| previous.silent);
    let name = || instance.to_owned();
    match effect {
        Effect::Late => shared.emit(&Event::LateReport { instance: name(), seq: heartbeat.seq }),
        Effect::Unchanged if was_silent => publish(driver),
        Effect::Unchanged => {}
        Effect::Replaced => {
            let (service, slots) = (heartbeat.service.clone(), heartbeat.slots);
            shared.emit(&Event::TargetReplaced { service, instance: name(), slots });
            if !shared.departed.is_learned() {
                shared.emit(&Event::TargetDeferred { instance: name() });
            }
            if let Some(previous) = &previous {
                target_end::on_replaced(shared, previous);
            }
            let warm = target_pace::is_warm(heartbeat, wall_ms());
            {
                let now = shared.now();
                let mut intake = lock(&shared.intake);
                intake.scheduler_mut().on_target_replaced();
                intake.scheduler_mut().on_target_started(now, warm);
            }
            driver.refresh_policy();
            publish(driver);
            target_pace::log_start(shared, instance, warm);
        }
        Effect::ReadinessChanged => {
            if heartbeat.draining {
                shared.emit(&Event::TargetLeaving { instance: name() });
            }
            publish(driver);
        }
    }
    Ok(effect)
}

/// Replaces the state of the target with the contents of a heartbeat. The count of
/// failed connections and `down` are kept if the process is the same.
fn update_target(
    target: &mut Option<TargetState>,
    instance: Option<Instance>,
    heartbeat: &Heartbeat,
) {
    let accepts_work = instance.as_ref().is_some_and(Instance::accepts_work);
    let identity = instance.as_ref().map(Instance::identity);
    let previous = target.as_ref();
    let previous =
        previous.filter(|known| known.instance.as_ref().map(Instance::identity) == identity);
    *target = Some(TargetState {
        service: heartbeat.service.clone(),
        version: heartbeat.version.as_deref().map(Into::into),
        address: heartbeat.address,
        slots: heartbeat.slots,
        connections: UNLIMITED_CONNECTIONS,
        readiness: if accepts_work { Readiness::Ready } else { Readiness::Draining },
        failures: previous.map_or(0, |known| known.failures),
        down: previous.is_some_and(|known| known.down),
        silent: false,
        instance,
    });
}

/// Processes the deregistration of a target. No new work is handed over to it, also after a
/// restart of this daemon, once this function returns.
pub(crate) async fn deregister(
    driver: &Arc<Driver>,
    instance: &str,
    born_ms: Option<u64>,
) -> Result<(), ReportError> {
    apply_deregistration(driver, instance, born_ms);
    Ok(depart(driver, Process::deregistered(instance, born_ms, wall_ms())).await?)
}

/// Applies a deregistration to the state of the target.
fn apply_deregistration(driver: &Arc<Driver>, instance: &str, born_ms: Option<u64>) {
    let shared = driver.shared();
    let has_left = {
        let mut target = lock(&shared.target);
        let current = target.as_mut().and_then(|target| target.instance.as_mut());
        let has_left = current.is_some_and(|known| known.deregister(instance, born_ms));
        if let Some(target) = target.as_mut().filter(|_| has_left) {
            target.readiness = Readiness::Draining;
        }
        has_left
    };
    if has_left {
        shared.emit(&Event::TargetLeaving { instance: instance.to_owned() });
        publish(driver);
    }
}

/// Takes the target out of service if its process has left before this daemon started. Lets
/// it get calls otherwise.
pub(crate) fn on_departures_learned(driver: &Arc<Driver>) {
    drop_departed(driver.shared());
    publish(driver);
}

/// Takes the target out of service if its process is known to have left.
pub(crate) fn drop_departed(shared: &Shared) {
    let report = {
        let target = lock(&shared.target);
        let instance = target.as_ref().and_then(|target| target.instance.as_ref());
        let instance = instance.filter(|instance| instance.accepts_work());
        instance.map(|instance| instance.report().clone())
    };
    let Some(report) = report else {
        return;
    };
    if !shared.departed.contains(shared.now(), &shared.settings.options.vm, &report) {
        return;
    }
    let left = lock(&shared.target).as_mut().and_then(TargetState::leave);
    if let Some(instance) = left {
        shared.emit(&Event::TargetLeaving { instance });
        shared.target_changed.store(true, Ordering::Release);
    }
}

/// Processes the announcement of a target through the operators' API. An
/// announcement that changes nothing has no effect.
pub(crate) fn announce(driver: &Arc<Driver>, target: Target) -> Result<(), TargetError> {
    if !(1..=MAX_SLOTS).contains(&target.slots) {
        return Err(TargetError::Slots(target.slots));
    }
    if !(1..=MAX_SLOTS).contains(&target.connections) {
        return Err(TargetError::Connections(target.connections));
    }
    let shared = driver.shared();
    let (service, slots) = (target.service.clone(), target.slots);
    {
        let mut known = lock(&shared.target);
        let readiness = known.as_ref().map_or(Readiness::Ready, |known| known.readiness);
        let unchanged = known.as_ref().is_some_and(|known| {
            (&known.service, known.address, known.slots, known.connections)
                == (&target.service, target.address, target.slots, target.connections)
                && known.version.as_deref() == target.version.as_deref()
        });
        if unchanged {
            return Ok(());
        }
        *known = Some(TargetState {
            instance: None,
            silent: false,
            version: target.version.map(Into::into),
            service: target.service,
            address: target.address,
            slots: target.slots,
            connections: target.connections,
            readiness,
            failures: 0,
            down: false,
        });
    }
    driver.refresh_policy();
    publish(driver);
    shared.emit(&Event::TargetAnnounced { service, slots });
    Ok(())
}

/// Stops handing over new work to the target, or resumes it.
pub(crate) fn drain(driver: &Arc<Driver>, draining: bool) -> Result<(), TargetError> {
    let shared = driver.shared();
    let service = {
        let mut target = lock(&shared.target);
        let target = target.as_mut().ok_or(TargetError::Missing)?;
        target.readiness = if draining { Readiness::Draining } else { Readiness::Ready };
        target.service.clone()
    };
    if draining {
        shared.emit(&Event::TargetDraining { service });
    }
    publish(driver);
    Ok(())
}

/// Applies the target's state to the intake and announces it to the fleet.
fn publish(driver: &Arc<Driver>) {
    let shared = driver.shared();
    let usable = inbound::usable_slots(shared);
    let state = lock(&shared.target).clone();
    let Some(state) = state else {
        return;
    };
    let admission = rollouts::admit(driver, &state);
    // A process that reports to a daemon that has just started may have left before.
    let is_held = state.instance.is_some() && !shared.departed.is_learned();
    let draining = state.readiness == Readiness::Draining || !admission.may_serve || is_held;
    let actions = {
        let now = shared.now();
        let mut intake = lock(&shared.intake);
        intake.set_draining(draining || shared.lifecycle.shutdown().is_some());
        intake.scheduler_mut().set_slots(if draining { state.slots } else { usable }, now);
        // Queued calls are rejected so that another target serves them.
        if draining || usable == 0 { intake.reject_queued(now) } else { Vec::new() }
    };
    inbound::perform(shared, actions);
    let readiness =
        if draining || state.down || state.silent { Readiness::Draining } else { Readiness::Ready };
    let announcement = Announcement {
        service: state.service,
        slots: state.slots,
        readiness,
        version: state.version,
        order: admission.order,
    };
    driver.update_record(|record| record.target = Some(announcement));
}

/// Sweeps the intake, checks the target's health and evicts idle connections until
/// the daemon closes.
pub(crate) async fn run_maintenance(driver: Arc<Driver>) {
    let shared = Arc::clone(driver.shared());
    let mut timer = tokio::time::interval(SWEEP_INTERVAL);
    timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut sweeps = 0_u32;
    let mut pace_reporter = Reporter::default();
    loop {
        tokio::select! {
            _ = timer.tick() => {}
            () = shared.lifecycle.wait_closed() => return,
        }
        let actions = {
            let now = shared.now();
            lock(&shared.intake).sweep(now)
        };
        inbound::perform(&shared, actions);
        pace_reporter.report(&shared);
        if shared.target_changed.swap(false, Ordering::AcqRel) {
            publish(&driver);
        }
        sweeps += 1;
        if sweeps.is_multiple_of(SWEEPS_PER_HEALTH_CHECK) {
            check_heartbeat(&driver, &shared);
            check_health(&driver, &shared).await;
            shared.pool.evict_idle();
            shared.target_pool.evict_idle();
        }
    }
}

/// Takes a target out of service if its heartbeats have stopped, until the next one
/// arrives.
fn check_heartbeat(driver: &Arc<Driver>, shared: &Shared) {
    let now = shared.now();
    let (instance, silence_ms) = {
        let mut target = lock(&shared.target);
        let Some(target) = target.as_mut().filter(|target| !target.silent) else {
            return;
        };
        let Some(instance) = target.instance.as_ref() else {
            return;
        };
        let silence = now.saturating_sub(instance.last_report_at());
        if silence < HEARTBEAT_TIMEOUT {
            return;
        }
        target.silent = true;
        (instance.report().instance.to_string(), silence.as_millis())
    };
    shared.emit(&Event::TargetSilent { instance, ms: silence_ms });
    publish(driver);
}

/// Takes a target out of service after [`inbound::TARGET_FAILURE_THRESHOLD`] failed
/// connections, until it accepts connections again.
async fn check_health(driver: &Arc<Driver>, shared: &Shared) {
    let Some(target) = lock(&shared.target).clone() else {
        return;
    };
    let failing = target.failures >= inbound::TARGET_FAILURE_THRESHOLD;
    let down = match (target.down, failing) {
        (false, false) => return,
        (false, true) => true,
        (true, _) => !inbound::probe_target(target.address).await,
    };
    if down == target.down {
        return;
    }
    let address = target.address;
    if let Some(target) = lock(&shared.target).as_mut() {
        target.down = down;
        target.failures = 0;
    }
    let event = if down { Event::TargetDown { address } } else { Event::TargetUp { address } };
    shared.emit(&event);
    publish(driver);
}
