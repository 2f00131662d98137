//! Settings that change while the daemon runs.

use std::sync::Arc;

use crate::control::Driver;
use crate::event::Event;
use crate::settings::Settings;
use crate::state::Reloadable;

/// Takes the settings that may change; tells whether any of them did. The
/// others wait for the next start.
pub(crate) fn apply(driver: &Driver, settings: &Settings) -> bool {
    let shared = driver.shared();
    let live = Reloadable::of(settings);
    let changed = **shared.reloadable.load() != live;
    if changed {
        shared.reloadable.store(Arc::new(live));
    }
    shared.emit(&Event::Reloaded { changed });
    changed
}
