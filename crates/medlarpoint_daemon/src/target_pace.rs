//! The pace of this VM's target: what is known of it at the start, events and metrics.

use std::time::Duration;

use medlarpoint_platform::report::Heartbeat;
use medlarpoint_routing::PaceChanges;

use crate::event::Event;
use crate::inbound;
use crate::state::{Shared, lock};

/// Age from which a process that states no remaining warm-up time counts as warm. A process may
/// not state it, so the age has to exceed a cold start.
const WARM_AGE: Duration = Duration::from_secs(10);
/// Shortest time between two events of the same kind.
const EVENT_INTERVAL: Duration = Duration::from_secs(1);

/// Returns whether a process has run for longer than it takes to warm up, by its report.
/// `now_ms` is the wall-clock time in milliseconds since the Unix epoch.
pub(crate) fn is_warm(heartbeat: &Heartbeat, now_ms: u64) -> bool {
    let age = Duration::from_millis(now_ms.saturating_sub(heartbeat.born_ms));
    heartbeat.born_ms > 0 && heartbeat.warm_up.is_zero() && age >= WARM_AGE
}

/// Logs with how many slots a process starts, if that depends on its answers.
pub(crate) fn log_start(shared: &Shared, instance: &str, warm: bool) {
    if !shared.settings.options.routing.target_pace {
        return;
    }
    let (instance, usable) = (instance.to_owned(), inbound::load(shared).slots);
    let slots = inbound::usable_slots(shared);
    shared.emit(&Event::PaceStarted { instance, warm, usable, slots });
}

/// Writes the changes of the target's pace to the log and the metrics.
#[derive(Debug, Default)]
pub(crate) struct Reporter {
    lines: Lines,
    /// Usable slots in the metric, if it was set.
    usable: Option<u32>,
}

impl Reporter {
    /// Reports the changes since the last call.
    pub(crate) fn report(&mut self, shared: &Shared) {
        let now = shared.now();
        let (changes, usable) = {
            let mut intake = lock(&shared.intake);
            (intake.scheduler_mut().take_pace_changes(), intake.load(now).slots)
        };
        if changes.cuts > 0 {
            metrics::counter!("medlarpoint_target_pace_cuts_total")
                .increment(u64::from(changes.cuts));
        }
        if self.usable.replace(usable) != Some(usable) {
            metrics::gauge!("medlarpoint_target_usable_slots").set(f64::from(usable));
        }
        let slots = || inbound::usable_slots(shared);
        let (cuts, is_full) = self.lines.take(now, changes);
        if cuts > 0 {
            shared.emit(&Event::PaceCut { cuts, usable, slots: slots() });
        }
        if is_full {
            shared.emit(&Event::PaceFull { slots: slots() });
        }
    }
}

/// Changes that have not been logged yet.
#[derive(Debug, Default)]
struct Lines {
    cuts: u32,
    cut_at: Option<Duration>,
    is_full: bool,
    full_at: Option<Duration>,
}

impl Lines {
    /// Adds changes. Returns the cuts to log now and whether to log that all slots are
    /// usable.
    fn take(&mut self, now: Duration, changes: PaceChanges) -> (u32, bool) {
        let is_due = |last: Option<Duration>| {
            last.is_none_or(|last| now.saturating_sub(last) >= EVENT_INTERVAL)
        };
        self.cuts += changes.cuts;
        self.is_full |= changes.reached_all;
        let (mut cuts, mut is_full) = (0, false);
        if self.cuts > 0 && is_due(self.cut_at) {
            cuts = std::mem::take(&mut self.cuts);
            self.cut_at = Some(now);
        }
        if self.is_full && is_due(self.full_at) {
            is_full = std::mem::take(&mut self.is_full);
            self.full_at = Some(now);
        }
        (cuts, is_full)
    }
}

#[cfg(test)]
mod tests;
