//! Writes the state of orders to the store.
//!
//! The first of the deciding daemons writes; the second one writes what is still missing
//! after a while. Both write under the condition that the status is as they read it, so that
//! there is one decision. While the store is away, the write is repeated.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use medlarpoint_platform::rollout::{self, State, Status};
use medlarpoint_routing::rollout::{Order, Phase, Rollout};
use medlarpoint_store::{Error, Expected, Store};

use super::order_reader::stored_state;
use super::{deciders, publish};
use crate::clock::jitter;
use crate::control::Driver;
use crate::event::Event;
use crate::state::{Shared, lock};
use crate::store_reader::record_store_result;

/// Interval between checks for states that are not written.
const INTERVAL: Duration = Duration::from_millis(100);
/// Wait after a failed store call.
const BACKOFF: Duration = Duration::from_millis(300);
/// Time for which the second deciding daemon leaves a state to the first one.
const SECOND_WAITS: Duration = Duration::from_millis(600);

/// Writes states until the daemon closes.
pub(crate) async fn run(driver: Arc<Driver>) {
    let shared = Arc::clone(driver.shared());
    // Time since which each state is missing in the store, as far as this daemon knows.
    let mut missing_since: IndexMap<(u64, State), Duration> = IndexMap::new();
    let mut wait = INTERVAL;
    loop {
        tokio::select! {
            () = tokio::time::sleep(wait) => {}
            () = shared.lifecycle.wait_closed() => return,
        }
        wait = INTERVAL;
        let missing = missing(&shared);
        let now = shared.now();
        missing_since.retain(|id, _| {
            missing.iter().any(|(rollout, state)| (rollout.order.id.revision, *state) == *id)
        });
        for (rollout, state) in missing {
            let id = (rollout.order.id.revision, state);
            let since = *missing_since.entry(id).or_insert(now);
            let position = {
                let control = lock(&shared.control);
                let own_vm = &control.detector.local_record().vm;
                deciders(&control).iter().position(|vm| vm == own_vm)
            };
            let is_due = match position {
                Some(0) => true,
                Some(_) => now.saturating_sub(since) >= SECOND_WAITS,
                None => false,
            };
            if !is_due {
                continue;
            }
            let result = write(&driver, &rollout, state).await;
            let failed = match &result {
                Err(WriteError::Store(error)) => Some(error),
                Ok(()) | Err(WriteError::Encode(_)) => None,
            };
            record_store_result(&shared, failed);
            if let Err(error) = result {
                shared.emit(&Event::RolloutUnwritten {
                    service: rollout.order.service.clone(),
                    version: rollout.order.version.to_string(),
                    reason: error.to_string(),
                });
                wait = BACKOFF / 2 + jitter(BACKOFF);
            }
        }
    }
}

/// Error in writing a state.
#[derive(Debug, thiserror::Error)]
enum WriteError {
    #[error(transparent)]
    Store(#[from] Error),
    #[error(transparent)]
    Encode(#[from] rollout::ParseError),
}

/// Returns the orders whose state is not known to be in the store, with that state.
fn missing(shared: &Shared) -> Vec<(Rollout, State)> {
    let now = shared.now();
    let mut rollouts = lock(&shared.rollouts);
    let known = rollouts.book.rollouts(now);
    let missing = known.into_iter().filter_map(|rollout| {
        let case = rollouts.case(&rollout.order.service, rollout.order.id.revision);
        let state = match rollout.phase {
            // Known only once the store holds it.
            Phase::Completed => return None,
            Phase::RolledBack => State::RolledBack,
            Phase::Shifting if case.is_complete => State::Completed,
            Phase::Canary | Phase::Shifting => State::Active,
        };
        (case.stored != Some(state)).then_some((rollout, state))
    });
    missing.collect()
}

/// Writes a state unless the store holds a final one.
async fn write(driver: &Driver, rollout: &Rollout, state: State) -> Result<(), WriteError> {
    let shared = driver.shared();
    let order = &rollout.order;
    let Some(key) = rollout::status_key(&order.service) else {
        return Ok(());
    };
    let (stored, item) = stored_state(shared, order).await?;
    if let Some(stored @ (State::Completed | State::RolledBack)) = stored {
        on_stored(driver, rollout, stored);
        return Ok(());
    }
    if stored == Some(state) || !is_latest(shared, order, state).await? {
        set_stored(shared, order, state);
        return Ok(());
    }
    if state == State::Completed && !is_shifting(shared, order) {
        return Ok(());
    }
    let status = Status { state, version: order.version.to_string() };
    let value = rollout::encode_status(&status)?;
    let expected = item.map_or(Expected::Absent, |item| Expected::Revision(item.revision));
    match shared.store.put(&key, expected, value, None).await {
        Ok(_) => {
            shared.emit(&Event::RolloutWritten {
                service: order.service.clone(),
                version: order.version.to_string(),
                revision: order.id.revision,
                state: status_name(state).to_owned(),
            });
            on_stored(driver, rollout, state);
            Ok(())
        }
        // Another daemon has written; the next check reads what.
        Err(Error::Conflict { .. }) => Ok(()),
        Err(error) => Err(error.into()),
    }
}

fn status_name(state: State) -> &'static str {
    match state {
        State::Active => "active",
        State::Completed => "completed",
        State::RolledBack => "rolled_back",
    }
}

/// Returns whether the store still holds this order, if a final state is to be written: a
/// late write would look like the state of a later order for the same version.
async fn is_latest(shared: &Shared, order: &Order, state: State) -> Result<bool, Error> {
    let Some(key) = rollout::order_key(&order.service).filter(|_| state != State::Active) else {
        return Ok(true);
    };
    let item = shared.store.get(&key).await?;
    Ok(item.is_none_or(|item| item.revision.0 <= order.id.revision))
}

/// Returns whether this daemon has not heard that the order was rolled back.
fn is_shifting(shared: &Shared, order: &Order) -> bool {
    let known = lock(&shared.rollouts).book.get(shared.now(), &order.service);
    known.is_some_and(|known| known.order.is_same(order) && known.phase == Phase::Shifting)
}

fn set_stored(shared: &Shared, order: &Order, state: State) {
    lock(&shared.rollouts).case(&order.service, order.id.revision).stored = Some(state);
}

/// Takes a state that the store holds. A final one is final.
fn on_stored(driver: &Driver, rollout: &Rollout, state: State) {
    set_stored(driver.shared(), &rollout.order, state);
    let phase = match state {
        State::Active => return,
        State::Completed => Phase::Completed,
        State::RolledBack => Phase::RolledBack,
    };
    let reason = if rollout.phase == Phase::RolledBack && phase == Phase::RolledBack {
        rollout.reason.clone()
    } else {
        format!("the store holds {}", status_name(state))
    };
    publish(driver, &[Rollout { phase, reason, ..rollout.clone() }]);
}
