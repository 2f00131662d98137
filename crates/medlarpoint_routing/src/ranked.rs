//! A queue in which urgent ranks go first, calls in time before late ones, and
//! among those the one that is due first.

use std::collections::BTreeMap;
use std::time::Duration;

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

/// Place among the calls of one turn: when it is due, then its identity.
type Place = (Duration, AttemptId);

/// Calls of one turn.
///
/// Calls that say when their answer ceases to be of use are served earliest due
/// date first, so that short calls, which running work waits for, pass longer
/// ones of the same rank. The others share their turns among tenants.
#[derive(Clone, Debug, Default)]
struct Lane {
    due: BTreeMap<Place, Ticket>,
    fair: Fair,
}

/// One lane per turn.
///
/// Invariant: no lane is kept without tickets.
#[derive(Clone, Debug, Default)]
pub(crate) struct Ranked {
    lanes: BTreeMap<Turn, Lane>,
}

/// Returns when a ticket is due in a turn; `None` if it does not say.
fn due(turn: Turn, ticket: &Ticket) -> Option<Duration> {
    let useful = ticket.useful_until?;
    Some(if turn.late { ticket.deadline } else { useful })
}

impl Lane {
    fn len(&self) -> usize {
        self.due.len() + self.fair.len()
    }

    fn push(&mut self, turn: Turn, ticket: Ticket) {
        match due(turn, &ticket) {
            Some(due) => {
                self.due.insert((due, ticket.attempt), ticket);
            }
            None => self.fair.push(ticket),
        }
    }

    fn pop(&mut self, eligible: impl Fn(&Ticket) -> bool) -> Option<Ticket> {
        let first = self.due.iter().find(|(_, ticket)| eligible(ticket));
        match first.map(|(place, _)| *place) {
            Some(place) => self.due.remove(&place),
            None => self.fair.pop(eligible),
        }
    }

    fn iter(&self) -> impl Iterator<Item = &Ticket> {
        self.due.values().chain(self.fair.iter())
    }

    /// Iterates over the tickets that go before `newcomer`, tenants' turns
    /// left out.
    fn before(&self, turn: Turn, newcomer: &Ticket) -> impl Iterator<Item = &Ticket> {
        let due = due(turn, newcomer).unwrap_or(Duration::MAX);
        self.due.range(..(due, newcomer.attempt)).map(|(_, ticket)| ticket)
    }

    fn remove(&mut self, attempt: AttemptId) -> Option<Ticket> {
        let place = self.due.keys().find(|(_, id)| *id == attempt).copied();
        match place {
            Some(place) => self.due.remove(&place),
            None => self.fair.remove(attempt),
        }
    }

    fn extract(&mut self, test: impl Fn(&Ticket) -> bool) -> Vec<Ticket> {
        let places: Vec<Place> =
            self.due.iter().filter(|(_, ticket)| test(ticket)).map(|(place, _)| *place).collect();
        let mut taken: Vec<Ticket> =
            places.iter().filter_map(|place| self.due.remove(place)).collect();
        taken.extend(self.fair.extract(test));
        taken
    }
}

impl Ranked {
    pub(crate) fn len(&self) -> usize {
        self.lanes.values().map(Lane::len).sum()
    }

    /// Iterates over all tickets.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Ticket> {
        self.lanes.values().flat_map(Lane::iter)
    }

    /// Returns the attempts whose tickets `test` holds for.
    pub(crate) fn find(&self, test: impl Fn(&Ticket) -> bool) -> Vec<AttemptId> {
        self.iter().filter(|ticket| test(ticket)).map(|ticket| ticket.attempt).collect()
    }

    /// Counts the tickets for which `test` holds.
    pub(crate) fn count(&self, test: impl Fn(&Ticket) -> bool) -> usize {
        self.iter().filter(|ticket| test(ticket)).count()
    }

    /// Tells whether `test` holds for any ticket.
    pub(crate) fn any(&self, test: impl Fn(&Ticket) -> bool) -> bool {
        self.iter().any(test)
    }

    /// Counts the tickets that go before a newcomer and for which `test` holds.
    pub(crate) fn ahead(
        &self,
        turn: Turn,
        newcomer: &Ticket,
        test: impl Fn(&Ticket) -> bool,
    ) -> usize {
        let counts = |ticket: &&Ticket| test(ticket);
        let earlier = self.lanes.range(..turn).flat_map(|(_, lane)| lane.iter());
        let earlier = earlier.filter(counts).count();
        let Some(lane) = self.lanes.get(&turn) else {
            return earlier;
        };
        let same = lane.before(turn, newcomer).filter(counts).count();
        if newcomer.useful_until.is_some() {
            return earlier + same;
        }
        earlier + same + lane.fair.iter().filter(counts).count()
    }

    /// Returns when the ticket came that has waited longest among those of a
    /// newcomer's turn that go before it.
    pub(crate) fn first_since(&self, turn: Turn, newcomer: &Ticket) -> Option<Duration> {
        let lane = self.lanes.get(&turn)?;
        lane.before(turn, newcomer).map(|ticket| ticket.arrived).min()
    }

    pub(crate) fn push(&mut self, turn: Turn, ticket: Ticket) {
        self.lanes.entry(turn).or_default().push(turn, ticket);
    }

    /// Takes the next eligible ticket. One that has waited until it is no
    /// longer in time waits on among the late ones.
    pub(crate) fn pop(
        &mut self,
        eligible: impl Fn(&Ticket) -> bool,
        in_time: impl Fn(&Ticket) -> bool,
    ) -> Option<Ticket> {
        loop {
            let mut lanes = self.lanes.iter_mut();
            let next = lanes.find_map(|(turn, lane)| Some((*turn, lane.pop(&eligible)?)));
            let (turn, ticket) = next?;
            self.tidy();
            if turn.late || in_time(&ticket) {
                return Some(ticket);
            }
            self.push(Turn { late: true, ..turn }, ticket);
        }
    }

    /// Takes a ticket that gives way to a newcomer: the one that would be
    /// served last, or one of a tenant with more than its share.
    pub(crate) fn displace(&mut self, turn: Turn, newcomer: &Ticket) -> Option<Ticket> {
        let (last, lane) = self.lanes.iter_mut().next_back()?;
        let displaced = match (*last).cmp(&turn) {
            std::cmp::Ordering::Greater => {
                lane.fair.pop_newest().or_else(|| lane.due.pop_last().map(|(_, ticket)| ticket))
            }
            std::cmp::Ordering::Equal => lane.fair.displace(&newcomer.tenant, newcomer.weight),
            std::cmp::Ordering::Less => None,
        };
        self.tidy();
        displaced
    }

    pub(crate) fn remove(&mut self, attempt: AttemptId) -> Option<Ticket> {
        let found = self.lanes.values_mut().find_map(|lane| lane.remove(attempt));
        self.tidy();
        found
    }

    /// Takes every ticket for which `test` holds.
    pub(crate) fn extract(&mut self, test: impl Fn(&Ticket) -> bool) -> Vec<Ticket> {
        let taken = self.lanes.values_mut().flat_map(|lane| lane.extract(&test)).collect();
        self.tidy();
        taken
    }

    fn tidy(&mut self) {
        self.lanes.retain(|_, lane| lane.len() > 0);
    }
}

#[cfg(test)]
mod tests;
