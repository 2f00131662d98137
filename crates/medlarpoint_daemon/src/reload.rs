//! Settings that change while the daemon runs.

use std::sync::Arc;

use crate::control::Driver;
use crate::event::Event;
use crate::settings::Settings;
use crate::state::Live;

/// Takes the settings that may change; tells whether any of them did. The
/// others wait for the next start.
pub(crate) fn apply(driver: &Driver, settings: &Settings) -> bool {
    let shared = driver.shared();
    let live = Live::of(settings);
    let changed = **shared.live.load() != live;
    if changed {
        shared.live.store(Arc::new(live));
    }
    shared.emit(&Event::Reloaded { changed });
    changed
}
