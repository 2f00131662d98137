//! Earliest due date first, fair among workspaces.
//!
//! Ordered by due date alone, the backlog of one workspace that sends too much precedes the
//! calls of all others, since its calls have waited longest. Each workspace therefore has a
//! flow with a start tag in virtual time, as in start-time fair queueing. The earliest due
//! date decides among the flows that have not had more than their share. The others get the
//! slots that these leave, lowest start tag first.
//!
//! A flow that has had less than its share may catch up by at most [`MAX_CREDIT`], so that a
//! workspace within its share does not wait behind a flood when a few of its calls arrive
//! at once.
//!
//! Calls without a workspace form one flow, which weighs as much as all workspaces together:
//! most of them are made by targets for calls of any workspace. Without workspaces, that is
//! the only flow, and the order is by due date alone.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::time::Duration;

use indexmap::IndexMap;
use medlarpoint_model::Name;

use crate::{AttemptId, Ticket};

/// Limit on the service that a flow may catch up, in calls of a flow of weight 1. It exceeds the
/// bursts of an ordinary workspace; more of it would also serve the start of a flood.
const MAX_CREDIT: f64 = 16.0;

/// Sort key within a flow: due date, then attempt id.
type SortKey = (Duration, AttemptId);

/// Workspace of a flow; `None` for the calls without one.
type FlowKey = Option<Name>;

#[derive(Clone, Debug)]
struct Flow {
    tickets: BTreeMap<SortKey, Ticket>,
    /// Virtual time at which the service of the next ticket starts. Up to the virtual time of
    /// the queue, the flow is within its share.
    start: f64,
    /// Weight of the newest ticket.
    weight: u16,
}

/// Queue of the calls of one priority that have a due date.
#[derive(Clone, Debug, Default)]
pub(crate) struct Queue {
    flows: IndexMap<FlowKey, Flow>,
    /// Highest start tag of the tickets that were served.
    virtual_time: f64,
}

fn flow_key(ticket: &Ticket) -> FlowKey {
    ticket.in_workspace.then(|| ticket.tenant.clone())
}

impl Queue {
    pub(crate) fn len(&self) -> usize {
        self.flows.values().map(|flow| flow.tickets.len()).sum()
    }

    pub(crate) fn push(&mut self, due: Duration, ticket: Ticket) {
        let earliest_start = self.virtual_time - MAX_CREDIT;
        let new = Flow { tickets: BTreeMap::new(), start: earliest_start, weight: 1 };
        let flow = self.flows.entry(flow_key(&ticket)).or_insert(new);
        flow.start = flow.start.max(earliest_start);
        flow.weight = ticket.weight.max(1);
        flow.tickets.insert((due, ticket.attempt), ticket);
    }

    /// Removes and returns the next eligible ticket. It counts towards the share of its flow
    /// if `is_served` holds.
    pub(crate) fn pop(
        &mut self,
        eligible: impl Fn(&Ticket) -> bool,
        is_served: impl Fn(&Ticket) -> bool,
    ) -> Option<Ticket> {
        let first = |(index, flow): (usize, &Flow)| {
            let (key, _) = flow.tickets.iter().find(|(_, ticket)| eligible(ticket))?;
            Some((index, *key, flow.start.max(self.virtual_time)))
        };
        let firsts = self.flows.values().enumerate().filter_map(first);
        let next = firsts.min_by(|a, b| a.2.total_cmp(&b.2).then(a.1.cmp(&b.1)));
        let (index, key, virtual_time) = next?;
        let cost = self.cost(index);
        let (_, flow) = self.flows.get_index_mut(index)?;
        let ticket = flow.tickets.remove(&key)?;
        if is_served(&ticket) {
            flow.start += cost;
            self.virtual_time = virtual_time;
        }
        self.remove_idle_flows();
        Some(ticket)
    }

    /// Returns the virtual time that the service of a ticket of a flow takes.
    fn cost(&self, index: usize) -> f64 {
        let Some((key, flow)) = self.flows.get_index(index) else {
            return 0.0;
        };
        1.0 / self.weight(key, flow.weight)
    }

    /// Returns the weight of a flow whose newest ticket has `weight`.
    fn weight(&self, key: &FlowKey, weight: u16) -> f64 {
        if key.is_some() {
            return f64::from(weight.max(1));
        }
        let workspaces = self.flows.iter().filter(|(key, _)| key.is_some());
        let waiting = workspaces.filter(|(_, flow)| !flow.tickets.is_empty());
        waiting.map(|(_, flow)| f64::from(flow.weight)).sum::<f64>().max(1.0)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Ticket> {
        self.flows.values().flat_map(|flow| flow.tickets.values())
    }

    /// Iterates over the tickets that go before `newcomer`.
    pub(crate) fn before(&self, due: Duration, newcomer: &Ticket) -> impl Iterator<Item = &Ticket> {
        let newcomer_key = (due, newcomer.attempt);
        let own_key = flow_key(newcomer);
        let virtual_time = self.virtual_time;
        let own_start = self.flows.get(&own_key).map_or(virtual_time, |own| {
            let own_before = own.tickets.range(..newcomer_key).count() as f64;
            let start = own.start.max(virtual_time - MAX_CREDIT);
            start + own_before / self.weight(&own_key, own.weight)
        });
        let own_start = own_start.max(virtual_time);
        self.flows.iter().flat_map(move |(key, flow)| {
            let cost = 1.0 / self.weight(key, flow.weight);
            let is_own = *key == own_key;
            let goes_first = move |(index, (ticket_key, _)): &(usize, (&SortKey, &Ticket))| {
                let is_due_first = **ticket_key < newcomer_key;
                let start = (flow.start + *index as f64 * cost).max(virtual_time);
                match start.total_cmp(&own_start) {
                    _ if is_own => is_due_first,
                    Ordering::Less => true,
                    Ordering::Equal => is_due_first,
                    Ordering::Greater => false,
                }
            };
            let first = flow.tickets.iter().enumerate().take_while(goes_first);
            first.map(|(_, (_, ticket))| ticket)
        })
    }

    pub(crate) fn remove(&mut self, attempt: AttemptId) -> Option<Ticket> {
        self.flows.values_mut().find_map(|flow| {
            let key = flow.tickets.keys().find(|(_, id)| *id == attempt).copied()?;
            flow.tickets.remove(&key)
        })
    }

    /// Removes and returns the tickets that match `predicate`.
    pub(crate) fn extract(&mut self, predicate: impl Fn(&Ticket) -> bool) -> Vec<Ticket> {
        let mut taken = Vec::new();
        for flow in self.flows.values_mut() {
            let tickets = std::mem::take(&mut flow.tickets);
            let (out, keep): (BTreeMap<_, _>, BTreeMap<_, _>) =
                tickets.into_iter().partition(|(_, ticket)| predicate(ticket));
            flow.tickets = keep;
            taken.extend(out.into_values());
        }
        taken
    }

    /// Removes and returns the ticket that is due last of the flow that is longest in
    /// proportion to its weight.
    pub(crate) fn pop_last(&mut self) -> Option<Ticket> {
        let (index, _) = self.longest()?;
        let (_, flow) = self.flows.get_index_mut(index)?;
        flow.tickets.pop_last().map(|(_, ticket)| ticket)
    }

    /// Removes and returns the ticket that is due last of the longest flow, if that flow is
    /// longer than the one of `newcomer` would be with another ticket.
    pub(crate) fn displace(&mut self, newcomer: &Ticket) -> Option<Ticket> {
        let own_key = flow_key(newcomer);
        let own_len = self.flows.get(&own_key).map_or(0, |own| own.tickets.len());
        let own_share = (own_len as f64 + 1.0) / self.weight(&own_key, newcomer.weight);
        let (_, share) = self.longest()?;
        if share <= own_share {
            return None;
        }
        self.pop_last()
    }

    /// Returns the flow that is longest in proportion to its weight, and that proportion.
    fn longest(&self) -> Option<(usize, f64)> {
        let waiting = self.flows.iter().enumerate();
        let waiting = waiting.filter(|(_, (_, flow))| !flow.tickets.is_empty());
        let shares = waiting.map(|(index, (key, flow))| {
            (index, flow.tickets.len() as f64 / self.weight(key, flow.weight))
        });
        shares.max_by(|a, b| a.1.total_cmp(&b.1))
    }

    /// Returns whether neither a ticket nor the share of a workspace is remembered.
    pub(crate) fn is_forgotten(&self) -> bool {
        self.flows.iter().all(|(key, flow)| key.is_none() && flow.tickets.is_empty())
    }

    /// Forgets the flows that have their full credit: they are as good as new.
    fn remove_idle_flows(&mut self) {
        let new_start = self.virtual_time - MAX_CREDIT;
        self.flows.retain(|_, flow| !flow.tickets.is_empty() || flow.start > new_start);
    }
}

#[cfg(test)]
mod tests;
