//! Applies settings that may change while the daemon runs.

use std::sync::Arc;

use crate::control::Driver;
use crate::event::Event;
use crate::settings::Settings;
use crate::state::Reloadable;

/// Applies the settings that may change while the daemon runs and returns whether any
/// of them changed. The other settings take effect at the next start.
pub(crate) fn apply(driver: &Driver, settings: &Settings) -> bool {
    let shared = driver.shared();
    let reloadable = Reloadable::of(settings);
    let changed = **shared.reloadable.load() != reloadable;
    if changed {
        shared.reloadable.store(Arc::new(reloadable));
    }
    shared.emit(&Event::Reloaded { changed });
    changed
}
