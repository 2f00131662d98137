//! A queue that shares its turns among tenants by weight.

use std::collections::VecDeque;

use indexmap::IndexMap;
use medlarpoint_model::Name;

use crate::{AttemptId, Ticket};

#[derive(Clone, Debug)]
struct Queued {
    ticket: Ticket,
    /// Virtual time at which the ticket's turn starts.
    start: f64,
}

#[derive(Clone, Debug, Default)]
struct Lane {
    tickets: VecDeque<Queued>,
    finish: f64,
}

/// Start-time fair queue with one lane per tenant.
#[derive(Clone, Debug, Default)]
pub(crate) struct Fair {
    lanes: IndexMap<Name, Lane>,
    clock: f64,
    len: usize,
}

impl Fair {
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    pub(crate) fn push(&mut self, ticket: Ticket) {
        let lane = self.lanes.entry(ticket.tenant.clone()).or_default();
        let start = lane.finish.max(self.clock);
        lane.finish = start + 1.0 / f64::from(ticket.weight.max(1));
        lane.tickets.push_back(Queued { ticket, start });
        self.len += 1;
    }

    /// Takes the eligible ticket whose turn comes first.
    pub(crate) fn pop(&mut self, eligible: impl Fn(&Ticket) -> bool) -> Option<Ticket> {
        let first = |(index, lane): (usize, &Lane)| {
            let place = lane.tickets.iter().position(|queued| eligible(&queued.ticket))?;
            Some((index, place, lane.tickets[place].start))
        };
        let firsts = self.lanes.values().enumerate().filter_map(first);
        let (index, place, start) = firsts.min_by(|a, b| a.2.total_cmp(&b.2))?;
        let (_, lane) = self.lanes.get_index_mut(index)?;
        let queued = lane.tickets.remove(place)?;
        self.clock = self.clock.max(start);
        self.len -= 1;
        let clock = self.clock;
        self.lanes.retain(|_, lane| !lane.tickets.is_empty() || lane.finish > clock);
        Some(queued.ticket)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Ticket> {
        self.lanes.values().flat_map(|lane| &lane.tickets).map(|queued| &queued.ticket)
    }

    /// Takes the newest ticket of the lane that is longest for its weight, if
    /// that lane is longer than the one of `tenant` would become.
    pub(crate) fn displace(&mut self, tenant: &Name, weight: u16) -> Option<Ticket> {
        let share = |len: usize, weight: u16| len as f64 / f64::from(weight.max(1));
        let mine = self.lanes.get(tenant).map_or(0, |lane| lane.tickets.len());
        let mine = share(mine + 1, weight);
        let lanes = self.lanes.values_mut().filter_map(|lane| {
            let weight = lane.tickets.back()?.ticket.weight;
            Some((share(lane.tickets.len(), weight), lane))
        });
        let (longest, lane) = lanes.max_by(|a, b| a.0.total_cmp(&b.0))?;
        if longest <= mine {
            return None;
        }
        let queued = lane.tickets.pop_back()?;
        lane.finish = queued.start;
        self.len -= 1;
        Some(queued.ticket)
    }

    /// Takes the newest ticket of all.
    pub(crate) fn pop_newest(&mut self) -> Option<Ticket> {
        let start = |lane: &Lane| lane.tickets.back().map(|queued| queued.start);
        let lanes = self.lanes.values_mut().filter_map(|lane| Some((start(lane)?, lane)));
        let (_, lane) = lanes.max_by(|a, b| a.0.total_cmp(&b.0))?;
        let queued = lane.tickets.pop_back()?;
        lane.finish = queued.start;
        self.len -= 1;
        Some(queued.ticket)
    }

    pub(crate) fn remove(&mut self, attempt: AttemptId) -> Option<Ticket> {
        for lane in self.lanes.values_mut() {
            let place = lane.tickets.iter().position(|q| q.ticket.attempt == attempt);
            let Some(queued) = place.and_then(|place| lane.tickets.remove(place)) else {
                continue;
            };
            self.len -= 1;
            return Some(queued.ticket);
        }
        None
    }

    /// Takes every ticket for which `test` holds.
    pub(crate) fn extract(&mut self, test: impl Fn(&Ticket) -> bool) -> Vec<Ticket> {
        let mut taken = Vec::new();
        for lane in self.lanes.values_mut() {
            let (out, keep): (Vec<Queued>, Vec<Queued>) =
                lane.tickets.drain(..).partition(|queued| test(&queued.ticket));
            lane.tickets = keep.into();
            taken.extend(out.into_iter().map(|queued| queued.ticket));
        }
        self.len -= taken.len();
        taken
    }
}

#[cfg(test)]
mod tests;
