//! Reads orders from the store.

use std::sync::Arc;
use std::time::Duration;

use medlarpoint_model::Name;
use medlarpoint_platform::rollout::{self, State};
use medlarpoint_routing::rollout::{Order, OrderId, Phase, Rollout};
use medlarpoint_store::{Era, Error, Item, Key, Store};

use crate::control::Driver;
use crate::event::Event;
use crate::state::{Shared, lock};

/// Decodes an order. One that cannot be used changes nothing.
fn decode(shared: &Shared, era: Era, key: &Key, item: &Item) -> Option<Order> {
    match rollout::decode_order(key, &item.value) {
        Ok(order) => Some(Order {
            id: OrderId { era: era.0, revision: item.revision.0 },
            service: order.service,
            version: order.version.into(),
            period: order.period,
        }),
        Err(error) => {
            let (key, reason) = (key.to_string(), error.to_string());
            shared.emit(&Event::RolloutUnreadable { key, reason });
            None
        }
    }
}

/// Takes an order that was written while this daemon watched.
pub(crate) fn on_change(driver: &Driver, era: Era, key: &Key, item: &Item) {
    if !rollout::is_order(key) {
        return;
    }
    if let Some(order) = decode(driver.shared(), era, key, item) {
        super::publish(driver, &[started(order, Phase::Canary)]);
    }
}

fn started(order: Order, phase: Phase) -> Rollout {
    Rollout { order, phase, reason: String::new(), age: Duration::ZERO }
}

/// Takes the orders of a listing. Those that are not known may have been decided already.
pub(crate) async fn on_listing(
    driver: &Driver,
    era: Era,
    items: &[(Key, Item)],
) -> Result<(), Error> {
    let shared = driver.shared();
    for (key, item) in items.iter().filter(|(key, _)| rollout::is_order(key)) {
        let Some(order) = decode(shared, era, key, item) else {
            continue;
        };
        let known = lock(&shared.rollouts).book.get(shared.now(), &order.service);
        if known.is_some_and(|known| known.order.is_same(&order)) {
            continue;
        }
        let state = stored_state(shared, &order).await?.0;
        let phase = match state {
            Some(State::Completed) => Phase::Completed,
            Some(State::RolledBack) => Phase::RolledBack,
            Some(State::Active) | None => Phase::Canary,
        };
        super::publish(driver, &[started(order, phase)]);
    }
    Ok(())
}

/// Reads the order of a service.
pub(super) async fn read(driver: &Arc<Driver>, service: &Name) -> Result<(), Error> {
    let Some(key) = rollout::order_key(service) else {
        return Ok(());
    };
    let store = &driver.shared().store;
    let Some(item) = store.get(&key).await? else {
        return Ok(());
    };
    on_listing(driver, store.era(), &[(key, item)]).await
}

/// Reads the state of an order. Returns the state, and the item of the status, which may
/// belong to an earlier order.
pub(super) async fn stored_state(
    shared: &Shared,
    order: &Order,
) -> Result<(Option<State>, Option<Item>), Error> {
    let Some(key) = rollout::status_key(&order.service) else {
        return Ok((None, None));
    };
    let Some(item) = shared.store.get(&key).await? else {
        return Ok((None, None));
    };
    let status = rollout::decode_status(&item.value);
    if let Err(error) = &status {
        let (key, reason) = (key.to_string(), error.to_string());
        shared.emit(&Event::RolloutUnreadable { key, reason });
    }
    // A status that was written before the order is that of an earlier one.
    let is_later = item.revision.0 > order.id.revision;
    let status = status.ok().filter(|status| is_later && *status.version == *order.version);
    Ok((status.map(|status| status.state), Some(item)))
}
