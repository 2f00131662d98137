//! The target of this VM: announcement, drain, health.

use std::sync::Arc;
use std::time::Duration;

use medlarpoint_api::Target;
use medlarpoint_membership::{Occupant, Report, Verdict};
use medlarpoint_platform::report::{Heartbeat, Malformed};
use medlarpoint_wire::{Announcement, Stage};

use crate::clock::wall_ms;
use crate::control::Driver;
use crate::event::Event;
use crate::inbound;
use crate::state::{Shared, TargetState, lock};

/// Most slots a target may have.
const MAX_SLOTS: u32 = 100_000;
/// Time between sweeps of the intake.
const SWEEP: Duration = Duration::from_millis(20);
/// Sweeps between looks at the target's health.
const HEALTH_EVERY: u32 = 50;

/// An announcement or a drain that cannot be taken.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub(crate) enum TargetError {
    #[error("slots: {0} is outside 1 to {MAX_SLOTS}")]
    Slots(u32),
    #[error("connections: {0} is outside 1 to {MAX_SLOTS}")]
    Connections(u32),
    #[error("no target has announced itself to this daemon")]
    Missing,
}

/// Silence of a target that reports regularly after which it is taken out:
/// three of its reports and some delay.
const SILENCE: Duration = Duration::from_secs(5);
/// Connections to a target that does not say how many it takes.
const UNLIMITED: u32 = u32::MAX;

/// A report that is not taken.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ReportError {
    #[error(transparent)]
    Malformed(#[from] Malformed),
    #[error("there is no service {0} here")]
    Service(medlarpoint_model::Name),
}

/// Takes a heartbeat of a target. Once this returns, no new work reaches a
/// target that leaves.
pub(crate) fn accept_heartbeat(
    driver: &Driver,
    instance: &str,
    beat: &Heartbeat,
) -> Result<(), ReportError> {
    let shared = driver.shared();
    let own = shared.live.load().service.as_ref() == Some(&beat.service);
    if !own && shared.in_force.load().snapshot.service(&beat.service).is_none() {
        return Err(ReportError::Service(beat.service.clone()));
    }
    let report = Report {
        instance: instance.into(),
        born_ms: beat.born_ms,
        seq: beat.seq,
        draining: beat.draining,
    };
    if lock(&shared.departed).covers(shared.now(), &report) {
        shared.emit(&Event::LateReport { instance: instance.to_owned(), seq: beat.seq });
        return Ok(());
    }
    let (verdict, back) = {
        let mut target = lock(&shared.target);
        let was_silent = target.as_ref().is_some_and(|target| target.silent);
        let mut occupant = target.as_ref().and_then(|target| target.occupant.clone());
        let verdict = Occupant::take(&mut occupant, shared.now(), report);
        if verdict != Verdict::Late {
            place(&mut target, occupant, beat);
        }
        (verdict, was_silent)
    };
    let text = || instance.to_owned();
    match verdict {
        Verdict::Late => shared.emit(&Event::LateReport { instance: text(), seq: beat.seq }),
        Verdict::Same if back => publish(driver),
        Verdict::Same => {}
        Verdict::Replaced => {
            let (service, slots) = (beat.service.clone(), beat.slots);
            shared.emit(&Event::TargetReplaced { service, instance: text(), slots });
            driver.refresh_policy();
            publish(driver);
        }
        Verdict::Stage => {
            if beat.draining {
                shared.emit(&Event::TargetLeaving { instance: text() });
            }
            publish(driver);
        }
    }
    Ok(())
}

/// Puts the occupant into its place with what its heartbeat says.
fn place(target: &mut Option<TargetState>, occupant: Option<Occupant>, beat: &Heartbeat) {
    let takes_work = occupant.as_ref().is_some_and(Occupant::takes_work);
    let same = target.as_ref().is_some_and(|known| {
        let born = |o: &Option<Occupant>| o.as_ref().map(|o| o.report().born_ms);
        let name = |o: &Option<Occupant>| o.as_ref().map(|o| o.report().instance.clone());
        born(&known.occupant) == born(&occupant) && name(&known.occupant) == name(&occupant)
    });
    let kept = target.as_ref().filter(|_| same);
    *target = Some(TargetState {
        service: beat.service.clone(),
        address: beat.address,
        slots: beat.slots,
        connections: UNLIMITED,
        stage: if takes_work { Stage::Ready } else { Stage::Draining },
        failures: kept.map_or(0, |known| known.failures),
        down: kept.is_some_and(|known| known.down),
        silent: false,
        occupant,
    });
}

/// Takes the deregistration of a target. Once this returns, no new work reaches it.
pub(crate) fn deregister(driver: &Driver, instance: &str, born_ms: Option<u64>) {
    let shared = driver.shared();
    lock(&shared.departed).note(shared.now(), instance, born_ms, wall_ms());
    let left = {
        let mut target = lock(&shared.target);
        let occupant = target.as_mut().and_then(|target| target.occupant.as_mut());
        let left = occupant.is_some_and(|known| known.deregister(instance, born_ms));
        if let Some(target) = target.as_mut().filter(|_| left) {
            target.stage = Stage::Draining;
        }
        left
    };
    if left {
        shared.emit(&Event::TargetLeaving { instance: instance.to_owned() });
        publish(driver);
    }
}

/// Takes the announcement of the target.
pub(crate) fn announce(driver: &Driver, target: Target) -> Result<(), TargetError> {
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
        let stage = known.as_ref().map_or(Stage::Ready, |known| known.stage);
        let renewed = known.as_ref().is_some_and(|known| {
            (&known.service, known.address, known.slots, known.connections)
                == (&target.service, target.address, target.slots, target.connections)
        });
        if renewed {
            return Ok(());
        }
        *known = Some(TargetState {
            occupant: None,
            silent: false,
            service: target.service,
            address: target.address,
            slots: target.slots,
            connections: target.connections,
            stage,
            failures: 0,
            down: false,
        });
    }
    driver.refresh_policy();
    publish(driver);
    shared.emit(&Event::TargetAnnounced { service, slots });
    Ok(())
}

/// Stops or resumes new work.
pub(crate) fn drain(driver: &Driver, draining: bool) -> Result<(), TargetError> {
    let shared = driver.shared();
    let service = {
        let mut target = lock(&shared.target);
        let target = target.as_mut().ok_or(TargetError::Missing)?;
        target.stage = if draining { Stage::Draining } else { Stage::Ready };
        target.service.clone()
    };
    if draining {
        shared.emit(&Event::TargetDraining { service });
    }
    publish(driver);
    Ok(())
}

/// Tells the intake and the fleet of the target's state.
fn publish(driver: &Driver) {
    let shared = driver.shared();
    let usable = inbound::usable_slots(shared);
    let state = lock(&shared.target).clone();
    let Some(state) = state else {
        return;
    };
    let draining = state.stage == Stage::Draining;
    let actions = {
        let now = shared.now();
        let mut intake = lock(&shared.intake);
        intake.set_draining(draining || shared.lifecycle.shutdown().is_some());
        intake.gate_mut().set_slots(if draining { state.slots } else { usable }, now);
        // What waits is better served elsewhere.
        if draining { intake.bounce(now) } else { Vec::new() }
    };
    inbound::perform(shared, actions);
    let stage = if draining || state.down || state.silent { Stage::Draining } else { Stage::Ready };
    let announcement = Announcement { service: state.service, slots: state.slots, stage };
    driver.update_record(|record| record.target = Some(announcement));
}

/// Sweeps the intake and looks after the target's health until the daemon
/// closes.
pub(crate) async fn run_maintenance(driver: Arc<Driver>) {
    let shared = Arc::clone(driver.shared());
    let mut timer = tokio::time::interval(SWEEP);
    timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut sweeps = 0_u32;
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
        sweeps += 1;
        if sweeps.is_multiple_of(HEALTH_EVERY) {
            check_silence(&driver, &shared);
            check_health(&driver, &shared).await;
            shared.pool.evict_idle();
        }
    }
}

/// Takes a target out that has ceased to report, until its next report.
fn check_silence(driver: &Driver, shared: &Shared) {
    let now = shared.now();
    let silent = {
        let mut target = lock(&shared.target);
        let Some(target) = target.as_mut().filter(|target| !target.silent) else {
            return;
        };
        let Some(occupant) = target.occupant.as_ref() else {
            return;
        };
        let silence = now.saturating_sub(occupant.heard());
        if silence < SILENCE {
            return;
        }
        target.silent = true;
        (occupant.report().instance.to_string(), silence.as_millis())
    };
    shared.emit(&Event::TargetSilent { instance: silent.0, ms: silent.1 });
    publish(driver);
}

async fn check_health(driver: &Driver, shared: &Shared) {
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
