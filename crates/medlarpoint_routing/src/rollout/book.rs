//! Orders that a daemon knows, merged from the store and from other daemons.

use std::time::Duration;

use indexmap::IndexMap;
use medlarpoint_model::Name;

use super::{Order, Phase};

/// Limit on services whose orders are remembered. Beyond it, the order that is known for
/// longest is forgotten.
const MAX_SERVICES: usize = 256;
/// Number of probes and acknowledgements that repeat a state.
const RETRANSMISSIONS: u32 = 40;

/// An order with its state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rollout {
    /// The order.
    pub order: Order,
    /// Its phase.
    pub phase: Phase,
    /// Reason for the phase, in words; empty if there is none to state.
    pub reason: String,
    /// Time since the order was first read.
    pub age: Duration,
}

#[derive(Clone, Debug)]
struct Entry {
    order: Order,
    phase: Phase,
    reason: String,
    started: Started,
    /// Number of messages that have repeated this state.
    sent: u32,
}

/// First read of an order, by any daemon, relative to the local clock, which may have started after it.
#[derive(Clone, Copy, Debug)]
struct Started {
    at: Duration,
    /// Age that the order had at `at`.
    age: Duration,
}

impl Started {
    fn age(self, now: Duration) -> Duration {
        self.age + now.saturating_sub(self.at)
    }
}

impl Entry {
    fn rollout(&self, now: Duration) -> Rollout {
        Rollout {
            order: self.order.clone(),
            phase: self.phase,
            reason: self.reason.clone(),
            age: self.started.age(now),
        }
    }
}

/// Orders by service, the latest of each.
#[derive(Clone, Debug, Default)]
pub struct Book {
    entries: IndexMap<Name, Entry>,
}

impl Book {
    /// Returns whether no order is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the latest order of a service.
    pub fn get(&self, now: Duration, service: &Name) -> Option<Rollout> {
        Some(self.entries.get(service)?.rollout(now))
    }

    /// Returns the latest order of each service.
    pub fn rollouts(&self, now: Duration) -> Vec<Rollout> {
        self.entries.values().map(|entry| entry.rollout(now)).collect()
    }

    /// Merges what the store or another daemon tells of an order. Returns whether it is news.
    pub fn merge(&mut self, now: Duration, told: &Rollout) -> bool {
        let started = Started { at: now, age: told.age };
        let service = &told.order.service;
        let Some(entry) = self.entries.get_mut(service) else {
            if self.entries.len() >= MAX_SERVICES {
                self.entries.shift_remove_index(0);
            }
            self.insert(told, started);
            return true;
        };
        if entry.order.is_same(&told.order) {
            entry.order.id.era = entry.order.id.era.max(told.order.id.era);
            if told.age > entry.started.age(now) {
                entry.started = started;
            }
            if told.phase <= entry.phase {
                return false;
            }
            entry.phase = told.phase;
            entry.reason.clone_from(&told.reason);
            entry.sent = 0;
            return true;
        }
        if told.order.id <= entry.order.id {
            return false;
        }
        self.insert(told, started);
        true
    }

    fn insert(&mut self, told: &Rollout, started: Started) {
        let Rollout { order, phase, reason, .. } = told.clone();
        let service = order.service.clone();
        self.entries.insert(service, Entry { order, phase, reason, started, sent: 0 });
    }

    /// Returns up to `count` orders to be passed on with another message, those sent least
    /// often first. Active orders are passed on as long as they are.
    pub fn take_gossip(&mut self, now: Duration, count: usize) -> Vec<Rollout> {
        let is_due = |entry: &Entry| entry.phase.is_active() || entry.sent < RETRANSMISSIONS;
        let mut due: Vec<(u32, usize)> = (self.entries.values().enumerate())
            .filter(|(_, entry)| is_due(entry))
            .map(|(index, entry)| (entry.sent, index))
            .collect();
        due.sort_unstable();
        due.truncate(count);
        let mut rollouts = Vec::new();
        for (_, index) in due {
            if let Some((_, entry)) = self.entries.get_index_mut(index) {
                entry.sent = entry.sent.saturating_add(1);
                rollouts.push(entry.rollout(now));
            }
        }
        rollouts
    }
}

#[cfg(test)]
mod tests;
