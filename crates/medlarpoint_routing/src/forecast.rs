//! Forecast of the time at which the response to a call would be complete.

use std::time::Duration;

use crate::Ticket;
use crate::link::Link;
use crate::service_times::ServiceTimes;

/// Multiple of the expected service time that must remain for a call to count
/// as in time: service times vary, and calls with less time are mostly late.
const MARGIN: f64 = 1.5;
/// Limit of the time for which a late call waits. Late calls that cannot be
/// served by then are rejected with advice on when to retry.
pub(crate) const MAX_LATE_WAIT: Duration = Duration::from_millis(500);

/// Position of a call in the queue.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Position {
    /// Time until a slot is free for the call.
    pub(crate) slot_wait: Duration,
    /// Number of calls with large responses that start earlier.
    pub(crate) large_ahead: usize,
}

/// Inputs of a forecast.
#[derive(Clone, Copy)]
pub(crate) struct Forecast<'a> {
    pub(crate) now: Duration,
    pub(crate) service_times: &'a ServiceTimes,
    pub(crate) link: &'a Link,
}

impl Forecast<'_> {
    /// Returns whether the response to a call would come while it is of full
    /// use to the caller.
    pub(crate) fn is_in_time(&self, ticket: &Ticket, position: Position) -> bool {
        let responded_at = self.responded_at(ticket, position, MARGIN);
        ticket.useful_until.is_none_or(|until| responded_at <= until)
    }

    /// Returns whether the response of an idle target would come while it is of full use
    /// to the caller. Without an expected time from the sender, the service times of such a
    /// target are assumed to be the same.
    pub(crate) fn is_in_time_on_idle_target(&self, ticket: &Ticket) -> bool {
        let own = || self.service_times.expected(&ticket.route);
        let needed = ticket.expected.unwrap_or_else(own).mul_f64(MARGIN);
        let responded_at = self.now + needed + self.link.expected_transfer(&ticket.route);
        ticket.useful_until.is_none_or(|until| responded_at <= until)
    }

    /// Returns whether the response to a call would come by its deadline.
    pub(crate) fn meets_deadline(&self, ticket: &Ticket, position: Position) -> bool {
        self.responded_at(ticket, position, 1.0) <= ticket.deadline
    }

    /// Returns whether the response to a call would come by its deadline even if the
    /// target takes longer than usual.
    pub(crate) fn meets_deadline_with_margin(&self, ticket: &Ticket, position: Position) -> bool {
        self.responded_at(ticket, position, MARGIN) <= ticket.deadline
    }

    /// Returns whether a call has been late for longer than
    /// [`MAX_LATE_WAIT`].
    pub(crate) fn has_waited_too_long(&self, ticket: &Ticket) -> bool {
        let Some(useful_until) = ticket.useful_until else {
            return false;
        };
        let needed =
            self.responded_at(ticket, Position::default(), MARGIN).saturating_sub(self.now);
        let late_since = ticket.arrived.max(useful_until.saturating_sub(needed));
        self.now.saturating_sub(late_since) > MAX_LATE_WAIT
    }

    /// Returns the time at which the complete response has been sent, if the
    /// target takes `margin` times the expected service time.
    fn responded_at(&self, ticket: &Ticket, position: Position, margin: f64) -> Duration {
        let served =
            position.slot_wait + self.service_times.expected(&ticket.route).mul_f64(margin);
        if !self.link.is_large(&ticket.route) {
            return self.now + served;
        }
        let transfer = self.link.expected_transfer(&ticket.route);
        let link_free = self.link.backlog(self.now) + transfer.mul_f64(position.large_ahead as f64);
        self.now + served.max(link_free) + transfer
    }
}

#[cfg(test)]
mod tests;
