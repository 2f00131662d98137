//! The target of this VM: announcement, drain, health.

use std::sync::Arc;
use std::time::Duration;

use medlarpoint_api::Target;
use medlarpoint_wire::{Announcement, Stage};

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
    {
        let now = shared.now();
        let mut intake = lock(&shared.intake);
        intake.set_draining(draining || shared.is_stopping());
        intake.gate_mut().set_slots(if draining { state.slots } else { usable }, now);
    }
    let stage = if draining || state.down { Stage::Draining } else { Stage::Ready };
    let announcement = Announcement { service: state.service, slots: state.slots, stage };
    driver.update_record(|record| record.target = Some(announcement));
}

/// Sweeps the intake and looks after the target's health until the daemon
/// closes.
pub(crate) async fn look_after(driver: Arc<Driver>) {
    let shared = Arc::clone(driver.shared());
    let mut timer = tokio::time::interval(SWEEP);
    timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut sweeps = 0_u32;
    loop {
        tokio::select! {
            _ = timer.tick() => {}
            () = shared.wait_closed() => return,
        }
        let actions = {
            let now = shared.now();
            lock(&shared.intake).sweep(now)
        };
        inbound::perform(&shared, actions);
        sweeps += 1;
        if sweeps.is_multiple_of(HEALTH_EVERY) {
            check_health(&driver, &shared).await;
            shared.pool.collect();
        }
    }
}

async fn check_health(driver: &Driver, shared: &Shared) {
    let Some(target) = lock(&shared.target).clone() else {
        return;
    };
    let failing = target.failures >= inbound::TARGET_FAILURES;
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
