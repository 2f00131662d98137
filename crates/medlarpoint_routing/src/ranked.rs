//! A queue in which calls in time go before late ones, and urgent ranks first.

use std::collections::BTreeMap;

use crate::fair::Fair;
use crate::{AttemptId, Ticket};

/// When a call has its turn; a lower one goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Turn {
    /// Rank of the call; 0 goes first.
    pub(crate) rank: u8,
    /// It can no longer be answered in time.
    pub(crate) late: bool,
}

impl Turn {
    /// The turn after all others.
    pub(crate) const LAST: Self = Self { rank: u8::MAX, late: true };
}

/// One fair queue per turn.
///
/// Invariant: no turn is kept without tickets.
#[derive(Clone, Debug, Default)]
pub(crate) struct Ranked {
    turns: BTreeMap<Turn, Fair>,
}

impl Ranked {
    pub(crate) fn len(&self) -> usize {
        self.turns.values().map(Fair::len).sum()
    }

    /// Counts the tickets that go before a newcomer of `turn`.
    pub(crate) fn len_up_to(&self, turn: Turn) -> usize {
        self.turns.range(..=turn).map(|(_, queue)| queue.len()).sum()
    }

    /// Counts the late tickets.
    pub(crate) fn late_len(&self) -> usize {
        self.turns.iter().filter(|(turn, _)| turn.late).map(|(_, queue)| queue.len()).sum()
    }

    pub(crate) fn push(&mut self, turn: Turn, ticket: Ticket) {
        self.turns.entry(turn).or_default().push(ticket);
    }

    /// Takes the next ticket. One that has waited until it is no longer in
    /// time waits on among the late ones.
    pub(crate) fn pop(&mut self, in_time: impl Fn(&Ticket) -> bool) -> Option<(Turn, Ticket)> {
        loop {
            let (turn, queue) = self.turns.iter_mut().next()?;
            let turn = *turn;
            let ticket = queue.pop();
            self.tidy();
            let ticket = ticket?;
            if turn.late || in_time(&ticket) {
                return Some((turn, ticket));
            }
            self.push(Turn { late: true, ..turn }, ticket);
        }
    }

    /// Takes a ticket that gives way to a newcomer: the newest of the last
    /// turn, or one of a tenant with more than its share.
    pub(crate) fn displace(&mut self, turn: Turn, newcomer: &Ticket) -> Option<Ticket> {
        let (last, queue) = self.turns.iter_mut().next_back()?;
        let displaced = match (*last).cmp(&turn) {
            std::cmp::Ordering::Greater => queue.pop_newest(),
            std::cmp::Ordering::Equal => queue.displace(&newcomer.tenant, newcomer.weight),
            std::cmp::Ordering::Less => None,
        };
        self.tidy();
        displaced
    }

    pub(crate) fn remove(&mut self, attempt: AttemptId) -> Option<Ticket> {
        let found = self.turns.values_mut().find_map(|queue| queue.remove(attempt));
        self.tidy();
        found
    }

    /// Takes every ticket for which `test` holds.
    pub(crate) fn extract(&mut self, test: impl Fn(&Ticket) -> bool) -> Vec<Ticket> {
        let taken = self.turns.values_mut().flat_map(|queue| queue.extract(&test)).collect();
        self.tidy();
        taken
    }

    fn tidy(&mut self) {
        self.turns.retain(|_, queue| queue.len() > 0);
    }
}

#[cfg(test)]
mod tests;
