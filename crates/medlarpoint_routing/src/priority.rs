//! Priority queue of the calls that wait for a slot.
//!
//! Calls are ordered by rank, then calls that can still finish in time
//! precede late ones. Within one priority they are served earliest due date
//! first, with a fair share for each workspace, or fairly among tenants if they
//! have no due date.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::{AttemptId, Ticket, fair, fair_due};

/// Priority of a queued call; the lowest value goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Priority {
    /// Rank of the call; 0 goes first.
    pub(crate) rank: u8,
    /// Whether the call can no longer finish in time.
    pub(crate) late: bool,
}

/// Calls of one priority.
///
/// Calls with a time up to which their response is of full use are served
/// earliest due date first, so that short calls, which running calls may be
/// waiting for, overtake longer ones of the same rank, unless their workspace has had
/// more than its share. The others go through a fair queue among tenants.
#[derive(Clone, Debug, Default)]
struct Level {
    due: fair_due::Queue,
    fair: fair::Queue,
}

/// Queue with one level per priority.
///
/// Invariant: a level without tickets remembers the shares that workspaces have had there,
/// until the whole queue is empty. There is at most one for each rank, in time and late.
#[derive(Clone, Debug, Default)]
pub(crate) struct Queue {
    levels: BTreeMap<Priority, Level>,
}

/// Returns the due date of a ticket at a priority; `None` if it has none. A call of a
/// workspace is due at its deadline at the latest, so that all calls of the workspace count
/// towards one share.
fn due(priority: Priority, ticket: &Ticket) -> Option<Duration> {
    match ticket.useful_until {
        Some(useful) if !priority.late => Some(useful),
        None if !ticket.in_workspace => None,
        _ => Some(ticket.deadline),
    }
}

impl Level {
    fn len(&self) -> usize {
        self.due.len() + self.fair.len()
    }

    fn push(&mut self, priority: Priority, ticket: Ticket) {
        match due(priority, &ticket) {
            Some(due) => self.due.push(due, ticket),
            None => self.fair.push(ticket),
        }
    }

    fn pop(
        &mut self,
        eligible: impl Fn(&Ticket) -> bool,
        is_served: impl Fn(&Ticket) -> bool,
    ) -> Option<Ticket> {
        self.due.pop(&eligible, is_served).or_else(|| self.fair.pop(eligible))
    }

    fn iter(&self) -> impl Iterator<Item = &Ticket> {
        self.due.iter().chain(self.fair.iter())
    }

    /// Iterates over the tickets with a due date that precede `newcomer`;
    /// those in the fair queue are not included.
    fn before(&self, priority: Priority, newcomer: &Ticket) -> impl Iterator<Item = &Ticket> {
        let (all, first) = match due(priority, newcomer) {
            Some(due) => (None, Some(self.due.before(due, newcomer))),
            None => (Some(self.due.iter()), None),
        };
        all.into_iter().flatten().chain(first.into_iter().flatten())
    }

    fn remove(&mut self, attempt: AttemptId) -> Option<Ticket> {
        self.due.remove(attempt).or_else(|| self.fair.remove(attempt))
    }

    fn extract(&mut self, predicate: impl Fn(&Ticket) -> bool) -> Vec<Ticket> {
        let mut taken = self.due.extract(&predicate);
        taken.extend(self.fair.extract(predicate));
        taken
    }
}

impl Queue {
    pub(crate) fn len(&self) -> usize {
        self.levels.values().map(Level::len).sum()
    }

    /// Iterates over all tickets.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Ticket> {
        self.levels.values().flat_map(Level::iter)
    }

    /// Returns the attempts of the tickets that match `predicate`.
    pub(crate) fn find(&self, predicate: impl Fn(&Ticket) -> bool) -> Vec<AttemptId> {
        self.iter().filter(|ticket| predicate(ticket)).map(|ticket| ticket.attempt).collect()
    }

    /// Counts the tickets that match `predicate`.
    pub(crate) fn count(&self, predicate: impl Fn(&Ticket) -> bool) -> usize {
        self.iter().filter(|ticket| predicate(ticket)).count()
    }

    /// Returns whether any ticket matches `predicate`.
    pub(crate) fn any(&self, predicate: impl Fn(&Ticket) -> bool) -> bool {
        self.iter().any(predicate)
    }

    /// Counts the tickets that go before `newcomer` and match `predicate`.
    pub(crate) fn ahead(
        &self,
        priority: Priority,
        newcomer: &Ticket,
        predicate: impl Fn(&Ticket) -> bool,
    ) -> usize {
        let counts = |ticket: &&Ticket| predicate(ticket);
        let earlier = self.levels.range(..priority).flat_map(|(_, level)| level.iter());
        let earlier = earlier.filter(counts).count();
        let Some(level) = self.levels.get(&priority) else {
            return earlier;
        };
        let same = level.before(priority, newcomer).filter(counts).count();
        if due(priority, newcomer).is_some() {
            return earlier + same;
        }
        earlier + same + level.fair.iter().filter(counts).count()
    }

    /// Returns the earliest arrival among the tickets with a due date that go
    /// before `newcomer` at the same priority.
    pub(crate) fn earliest_arrival(
        &self,
        priority: Priority,
        newcomer: &Ticket,
    ) -> Option<Duration> {
        let level = self.levels.get(&priority)?;
        level.before(priority, newcomer).map(|ticket| ticket.arrived).min()
    }

    pub(crate) fn push(&mut self, priority: Priority, ticket: Ticket) {
        self.levels.entry(priority).or_default().push(priority, ticket);
    }

    /// Removes and returns the next eligible ticket. Tickets that are no longer
    /// in time are moved to the late ones of their rank.
    pub(crate) fn pop(
        &mut self,
        eligible: impl Fn(&Ticket) -> bool,
        in_time: impl Fn(&Ticket) -> bool,
    ) -> Option<Ticket> {
        loop {
            let mut levels = self.levels.iter_mut();
            let next = levels.find_map(|(priority, level)| {
                let is_served = |ticket: &Ticket| priority.late || in_time(ticket);
                Some((*priority, level.pop(&eligible, is_served)?))
            });
            let (priority, ticket) = next?;
            self.remove_empty_levels();
            if priority.late || in_time(&ticket) {
                return Some(ticket);
            }
            self.push(Priority { late: true, ..priority }, ticket);
        }
    }

    /// Removes and returns a ticket that makes room for `newcomer`: the one that
    /// would be served last or, if that has the priority of `newcomer`, one of
    /// a tenant with more than its share.
    pub(crate) fn displace(&mut self, priority: Priority, newcomer: &Ticket) -> Option<Ticket> {
        let mut levels = self.levels.iter_mut();
        let (last, level) = levels.rfind(|(_, level)| level.len() > 0)?;
        let displaced = match (*last).cmp(&priority) {
            std::cmp::Ordering::Greater => level.fair.pop_newest().or_else(|| level.due.pop_last()),
            std::cmp::Ordering::Equal => {
                let undated = level.fair.displace(&newcomer.tenant, newcomer.weight);
                match undated {
                    None if due(priority, newcomer).is_some() => level.due.displace(newcomer),
                    undated => undated,
                }
            }
            std::cmp::Ordering::Less => None,
        };
        self.remove_empty_levels();
        displaced
    }

    pub(crate) fn remove(&mut self, attempt: AttemptId) -> Option<Ticket> {
        let found = self.levels.values_mut().find_map(|level| level.remove(attempt));
        self.remove_empty_levels();
        found
    }

    /// Removes and returns the tickets that match `predicate`.
    pub(crate) fn extract(&mut self, predicate: impl Fn(&Ticket) -> bool) -> Vec<Ticket> {
        let taken = self.levels.values_mut().flat_map(|level| level.extract(&predicate)).collect();
        self.remove_empty_levels();
        taken
    }

    fn remove_empty_levels(&mut self) {
        let is_empty = self.len() == 0;
        let is_forgotten = |level: &Level| is_empty || level.due.is_forgotten();
        self.levels.retain(|_, level| level.len() > 0 || !is_forgotten(level));
    }
}

#[cfg(test)]
mod tests;
