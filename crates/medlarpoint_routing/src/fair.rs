//! Start-time fair queueing among tenants, by weight.

use std::collections::VecDeque;

use indexmap::IndexMap;
use medlarpoint_model::Name;

use crate::{AttemptId, Ticket};

#[derive(Clone, Debug)]
struct Queued {
    ticket: Ticket,
    /// Start tag: virtual time at which the service of the ticket starts.
    start: f64,
}

#[derive(Clone, Debug, Default)]
struct Flow {
    tickets: VecDeque<Queued>,
    /// Finish tag of the newest ticket, in virtual time.
    finish: f64,
}

/// Start-time fair queue with one flow per tenant.
#[derive(Clone, Debug, Default)]
pub(crate) struct Queue {
    flows: IndexMap<Name, Flow>,
    /// Highest start tag among the tickets taken so far.
    virtual_time: f64,
    len: usize,
}

impl Queue {
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    pub(crate) fn push(&mut self, ticket: Ticket) {
        let flow = self.flows.entry(ticket.tenant.clone()).or_default();
        let start = flow.finish.max(self.virtual_time);
        flow.finish = start + 1.0 / f64::from(ticket.weight.max(1));
        flow.tickets.push_back(Queued { ticket, start });
        self.len += 1;
    }

    /// Removes and returns the eligible ticket with the lowest start tag.
    pub(crate) fn pop(&mut self, eligible: impl Fn(&Ticket) -> bool) -> Option<Ticket> {
        let first = |(index, flow): (usize, &Flow)| {
            let position = flow.tickets.iter().position(|queued| eligible(&queued.ticket))?;
            Some((index, position, flow.tickets[position].start))
        };
        let firsts = self.flows.values().enumerate().filter_map(first);
        let (index, position, start) = firsts.min_by(|a, b| a.2.total_cmp(&b.2))?;
        let (_, flow) = self.flows.get_index_mut(index)?;
        let queued = flow.tickets.remove(position)?;
        self.virtual_time = self.virtual_time.max(start);
        self.len -= 1;
        let virtual_time = self.virtual_time;
        self.flows.retain(|_, flow| !flow.tickets.is_empty() || flow.finish > virtual_time);
        Some(queued.ticket)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Ticket> {
        self.flows.values().flat_map(|flow| &flow.tickets).map(|queued| &queued.ticket)
    }

    /// Removes and returns the newest ticket of the flow that is longest in
    /// proportion to its weight, if that flow is longer than the one of
    /// `tenant` would be with another ticket.
    pub(crate) fn displace(&mut self, tenant: &Name, weight: u16) -> Option<Ticket> {
        let share = |len: usize, weight: u16| len as f64 / f64::from(weight.max(1));
        let own = self.flows.get(tenant).map_or(0, |flow| flow.tickets.len());
        let own = share(own + 1, weight);
        let flows = self.flows.values_mut().filter_map(|flow| {
            let weight = flow.tickets.back()?.ticket.weight;
            Some((share(flow.tickets.len(), weight), flow))
        });
        let (longest, flow) = flows.max_by(|a, b| a.0.total_cmp(&b.0))?;
        if longest <= own {
            return None;
        }
        let queued = flow.tickets.pop_back()?;
        flow.finish = queued.start;
        self.len -= 1;
        Some(queued.ticket)
    }

    /// Removes and returns the ticket that would be served last: the newest of
    /// a flow, with the highest start tag.
    pub(crate) fn pop_newest(&mut self) -> Option<Ticket> {
        let start = |flow: &Flow| flow.tickets.back().map(|queued| queued.start);
        let flows = self.flows.values_mut().filter_map(|flow| Some((start(flow)?, flow)));
        let (_, flow) = flows.max_by(|a, b| a.0.total_cmp(&b.0))?;
        let queued = flow.tickets.pop_back()?;
        flow.finish = queued.start;
        self.len -= 1;
        Some(queued.ticket)
    }

    pub(crate) fn remove(&mut self, attempt: AttemptId) -> Option<Ticket> {
        for flow in self.flows.values_mut() {
            let position = flow.tickets.iter().position(|q| q.ticket.attempt == attempt);
            let Some(queued) = position.and_then(|position| flow.tickets.remove(position)) else {
                continue;
            };
            self.len -= 1;
            return Some(queued.ticket);
        }
        None
    }

    /// Removes and returns the tickets that match `predicate`.
    pub(crate) fn extract(&mut self, predicate: impl Fn(&Ticket) -> bool) -> Vec<Ticket> {
        let mut taken = Vec::new();
        for flow in self.flows.values_mut() {
            let (out, keep): (Vec<Queued>, Vec<Queued>) =
                flow.tickets.drain(..).partition(|queued| predicate(&queued.ticket));
            flow.tickets = keep.into();
            taken.extend(out.into_iter().map(|queued| queued.ticket));
        }
        self.len -= taken.len();
        taken
    }
}

#[cfg(test)]
mod tests;
