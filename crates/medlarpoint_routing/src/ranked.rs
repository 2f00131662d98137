//! A queue in which more urgent ranks go first.

use std::collections::BTreeMap;

use crate::fair::Fair;
use crate::{AttemptId, Ticket};

/// One fair queue per rank; rank 0 goes first.
///
/// Invariant: no rank is kept without tickets.
#[derive(Clone, Debug, Default)]
pub(crate) struct Ranked {
    ranks: BTreeMap<u8, Fair>,
}

impl Ranked {
    pub(crate) fn len(&self) -> usize {
        self.ranks.values().map(Fair::len).sum()
    }

    /// Counts the tickets of `rank` and of those that go before it.
    pub(crate) fn len_up_to(&self, rank: u8) -> usize {
        self.ranks.range(..=rank).map(|(_, queue)| queue.len()).sum()
    }

    pub(crate) fn push(&mut self, ticket: Ticket) {
        self.ranks.entry(ticket.rank).or_default().push(ticket);
    }

    pub(crate) fn pop(&mut self) -> Option<Ticket> {
        let ticket = self.ranks.values_mut().next()?.pop();
        self.tidy();
        ticket
    }

    /// Takes a ticket that gives way to `newcomer`: the newest of the least
    /// urgent rank, or one of a tenant with more than its share.
    pub(crate) fn displace(&mut self, newcomer: &Ticket) -> Option<Ticket> {
        let (rank, queue) = self.ranks.iter_mut().next_back()?;
        let displaced = match (*rank).cmp(&newcomer.rank) {
            std::cmp::Ordering::Greater => queue.pop_newest(),
            std::cmp::Ordering::Equal => queue.displace(&newcomer.tenant, newcomer.weight),
            std::cmp::Ordering::Less => None,
        };
        self.tidy();
        displaced
    }

    pub(crate) fn remove(&mut self, attempt: AttemptId) -> Option<Ticket> {
        let found = self.ranks.values_mut().find_map(|queue| queue.remove(attempt));
        self.tidy();
        found
    }

    /// Takes every ticket for which `test` holds.
    pub(crate) fn extract(&mut self, test: impl Fn(&Ticket) -> bool) -> Vec<Ticket> {
        let taken = self.ranks.values_mut().flat_map(|queue| queue.extract(&test)).collect();
        self.tidy();
        taken
    }

    fn tidy(&mut self) {
        self.ranks.retain(|_, queue| queue.len() > 0);
    }
}

#[cfg(test)]
mod tests;
