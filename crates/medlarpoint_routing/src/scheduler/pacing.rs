//! The pace of the target in the scheduler.

use std::time::Duration;

use medlarpoint_model::{Class, Name};

use super::{Scheduler, Ticket};
use crate::pace::{CallEnd, Changes, Pace};

impl Scheduler {
    /// Sets whether the usable slots follow from the target's answers. If not, all slots are
    /// usable at once.
    pub fn set_target_pace(&mut self, now: Duration, on: bool) {
        self.pace = on.then(|| Pace::new(now, self.slots));
    }

    /// Records that a process has become the target. `warm` means that it has run for longer
    /// than it takes to warm up, as when this daemon has restarted beside it.
    pub fn on_target_started(&mut self, now: Duration, warm: bool) {
        let slots = self.slots;
        if let Some(pace) = &mut self.pace {
            pace.start(now, slots, warm);
        }
    }

    /// Returns the changes of the target's pace since the last call of this function.
    pub fn take_pace_changes(&mut self) -> Changes {
        self.pace.as_mut().map(Pace::take_changes).unwrap_or_default()
    }

    /// Records the end of a call whose slot is released next.
    pub(crate) fn on_call_ended(
        &mut self,
        now: Duration,
        class: Class,
        route: &Name,
        call: &CallEnd,
    ) {
        let usual = self.class_state(class).service_times.observed(route);
        let slots = self.slots;
        if let Some(pace) = &mut self.pace {
            pace.on_ended(now, slots, call, usual);
        }
    }

    /// Assumes the expected service time of a call for the forecasts before the first answer
    /// on its route. A new target would otherwise seem to need no time.
    pub(super) fn assume_service_time(&mut self, ticket: &Ticket) {
        if let Some(expected) = ticket.expected.filter(|_| self.pace.is_some()) {
            self.class_state_mut(ticket.class).service_times.assume(&ticket.route, expected);
        }
    }

    /// Opens the next step of the pace if it is due.
    pub(super) fn tick_pace(&mut self, now: Duration) {
        let slots = self.slots;
        if let Some(pace) = &mut self.pace {
            pace.tick(now, slots);
        }
    }

    /// Returns the number of slots that the pace permits.
    pub(super) fn paced_slots(&self) -> u32 {
        self.pace.as_ref().map_or(self.slots, |pace| pace.usable(self.slots))
    }
}
