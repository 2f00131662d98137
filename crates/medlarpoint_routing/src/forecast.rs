//! When a call that waits would be answered.

use std::time::Duration;

use crate::Ticket;
use crate::link::Link;
use crate::service::Service;

/// Expected service times that must remain for a call to count as in time: work
/// varies, and one that starts with less is mostly late.
const MARGIN: f64 = 1.5;
/// Longest wait of a late call. Those that cannot be served by then are told
/// when to come back, and no more of them wait.
pub(crate) const LATE_PATIENCE: Duration = Duration::from_millis(500);

/// What stands before a call that waits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Ahead {
    /// Time until a slot is free for it.
    pub(crate) slot: Duration,
    /// Calls with large answers that start earlier.
    pub(crate) large: usize,
}

/// What is known of the time that calls take now.
#[derive(Clone, Copy)]
pub(crate) struct Forecast<'a> {
    pub(crate) now: Duration,
    pub(crate) service: &'a Service,
    pub(crate) link: &'a Link,
}

impl Forecast<'_> {
    /// Tells whether a call is answered while that is of full use.
    pub(crate) fn is_in_time(&self, ticket: &Ticket, ahead: Ahead) -> bool {
        let answered = self.answered(ticket, ahead, MARGIN);
        ticket.useful_until.is_none_or(|until| answered <= until)
    }

    /// Tells whether a target like this one, with nothing to do, would answer
    /// a call while that is of full use.
    pub(crate) fn is_in_time_elsewhere(&self, ticket: &Ticket) -> bool {
        let needed = self.service.of(&ticket.route).mul_f64(MARGIN);
        let answered = self.now + needed + self.link.transfer(&ticket.route);
        ticket.useful_until.is_none_or(|until| answered <= until)
    }

    /// Tells whether a call is answered by its deadline.
    pub(crate) fn meets_deadline(&self, ticket: &Ticket, ahead: Ahead) -> bool {
        self.answered(ticket, ahead, 1.0) <= ticket.deadline
    }

    /// Tells whether a call that is late already has waited for longer than
    /// late calls should.
    pub(crate) fn has_waited_too_long(&self, ticket: &Ticket) -> bool {
        let Some(useful_until) = ticket.useful_until else {
            return false;
        };
        let needed = self.answered(ticket, Ahead::default(), MARGIN).saturating_sub(self.now);
        let late_since = ticket.arrived.max(useful_until.saturating_sub(needed));
        self.now.saturating_sub(late_since) > LATE_PATIENCE
    }

    /// Returns when the whole answer has been sent, if work takes `margin`
    /// times as long as expected.
    fn answered(&self, ticket: &Ticket, ahead: Ahead, margin: f64) -> Duration {
        let worked = ahead.slot + self.service.of(&ticket.route).mul_f64(margin);
        if !self.link.is_large(&ticket.route) {
            return self.now + worked;
        }
        let transfer = self.link.transfer(&ticket.route);
        let free = self.link.wait(self.now) + transfer.mul_f64(ahead.large as f64);
        self.now + worked.max(free) + transfer
    }
}

#[cfg(test)]
mod tests;
