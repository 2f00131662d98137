//! Decides when a daemon that has started knows which processes of its VM have left.
//!
//! A departure is acknowledged once the store or two of its keepers have it, and its holders
//! write it to the store until that has confirmed. Neither an empty listing nor a peer that has
//! itself just started proves that there is none: after an outage the store knows less than
//! the fleet, and a daemon that starts then may know no peer.

use std::time::Duration;

use indexmap::IndexSet;
use medlarpoint_model::Vm;
use strum::Display;

use super::RETENTION;
use crate::settling::{SETTLE_TIME, Settling};

/// Number of keepers whose confirmation suffices for the acknowledgement of a departure.
pub const SUFFICIENT_KEEPERS: usize = 2;

/// Evidence that all departures are known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Basis {
    /// Enough keepers to include one that has confirmed, and the store.
    KeepersAndStore,
    /// As many keepers as confirm an acknowledged departure.
    Keepers,
    /// The process of the target has itself answered that it does not leave, or has started with
    /// the daemon, and the store has answered or does not respond.
    Target,
    /// The store has been responding for two seconds and was read after that.
    SettledStore,
    /// Departures before the start of the daemon do not matter any more.
    Expired,
}

/// Answers that a daemon has received since its start.
#[derive(Clone, Debug)]
pub struct Inquiry {
    /// Start of the daemon, on the local clock.
    started: Duration,
    /// Reads of the departures in the store. The holders of a departure write it within the
    /// time in which the store settles.
    store: Settling,
    /// Keepers that have answered.
    answered: IndexSet<Vm>,
    /// Largest number of keepers that any of them knows.
    keepers: usize,
    /// Whether the process of the target is known not to have left.
    target_stays: bool,
}

impl Inquiry {
    /// Creates the inquiry of a daemon that started at `started`.
    pub fn new(started: Duration) -> Self {
        Self {
            started,
            store: Settling::default(),
            answered: IndexSet::new(),
            keepers: 0,
            target_stays: false,
        }
    }

    /// Returns whether the store is to be read now.
    pub fn needs_store(&self, now: Duration) -> bool {
        self.store.needs_read(now)
    }

    /// Records a successful read of the departures in the store.
    pub fn on_store_read(&mut self, sent_at: Duration, now: Duration) {
        self.store.on_read(sent_at, now);
    }

    /// Records that the store has not answered.
    pub fn on_store_error(&mut self) {
        self.store.on_error();
    }

    /// Returns whether a peer has answered as a keeper.
    pub fn has_answered(&self, vm: &Vm) -> bool {
        self.answered.contains(vm)
    }

    /// Records the answer of a peer that is one of `keepers` keepers. An answer with zero is
    /// from a peer that may not have been told, and does not count.
    pub fn on_answer(&mut self, vm: Vm, keepers: usize) {
        if keepers > 0 {
            self.keepers = self.keepers.max(keepers);
            self.answered.insert(vm);
        }
    }

    /// Records that the process of the target has answered that it does not leave, or cannot
    /// have left before the start. Whatever it says later, it says to this daemon.
    pub fn on_target_stays(&mut self) {
        self.target_stays = true;
    }

    /// Returns the number of keepers that have answered.
    pub fn answer_count(&self) -> usize {
        self.answered.len()
    }

    /// Returns whether the last read of the store has succeeded.
    pub fn has_store_answer(&self) -> bool {
        self.store.is_answered()
    }

    /// Returns why all departures are known, or `None` if they may not be.
    pub fn basis(&self, now: Duration) -> Option<Basis> {
        let confirmed = self.keepers.min(SUFFICIENT_KEEPERS);
        let answered = self.answered.len();
        if answered > 0 && self.has_store_answer() && answered + confirmed > self.keepers {
            return Some(Basis::KeepersAndStore);
        }
        if answered > 0 && answered >= confirmed {
            return Some(Basis::Keepers);
        }
        let uptime = now.saturating_sub(self.started);
        if self.target_stays && (self.has_store_answer() || uptime >= SETTLE_TIME) {
            return Some(Basis::Target);
        }
        if self.store.is_settled() {
            return Some(Basis::SettledStore);
        }
        (uptime >= RETENTION).then_some(Basis::Expired)
    }
}

#[cfg(test)]
mod tests;
