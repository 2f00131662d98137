//! Outcomes remembered by idempotency key.

use std::time::Duration;

use indexmap::IndexMap;

use crate::{AttemptId, IdempotencyKey};

/// Keys remembered at a time.
const MAX_KEYS: usize = 20_000;
/// Time for which an outcome is remembered after it is known.
const RETENTION: Duration = Duration::from_secs(600);

/// State of a key.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Slot<A> {
    /// An attempt is under way; others wait for its outcome.
    Active { attempt: AttemptId, joined: Vec<AttemptId>, claimed: bool },
    /// It ran; the answer is kept if it was small.
    Ran { answer: Option<A>, until: Duration },
    /// It may have run.
    Lost { until: Duration },
    /// The claim is ours, but nothing was handed over.
    Claimed { until: Duration },
}

/// How the attempt of a key ended.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum End<A> {
    /// It ran; the answer is kept if it was small.
    Ran(Option<A>),
    /// It may have run.
    Lost,
    /// The claim was made, but nothing was handed over.
    Claimed,
}

/// Outcomes by key, bounded in number and time. A key is never dropped before
/// its time: when the window is full, new keys are refused.
#[derive(Clone, Debug)]
pub struct Window<A> {
    slots: IndexMap<IdempotencyKey, Slot<A>>,
}

impl<A> Default for Window<A> {
    fn default() -> Self {
        Self { slots: IndexMap::new() }
    }
}

impl<A> Window<A> {
    pub(crate) fn get_mut(&mut self, key: IdempotencyKey) -> Option<&mut Slot<A>> {
        self.slots.get_mut(&key)
    }

    pub(crate) fn is_full(&self) -> bool {
        self.slots.len() >= MAX_KEYS
    }

    /// Starts an attempt of a key that has none under way. Returns whether the
    /// key had been claimed earlier.
    pub(crate) fn activate(&mut self, key: IdempotencyKey, attempt: AttemptId) -> bool {
        let claimed = matches!(self.slots.get(&key), Some(Slot::Claimed { .. }));
        self.slots.insert(key, Slot::Active { attempt, joined: Vec::new(), claimed });
        claimed
    }

    /// Ends the attempt of a key and returns those that wait for its outcome.
    pub(crate) fn settle(
        &mut self,
        now: Duration,
        key: IdempotencyKey,
        end: End<A>,
    ) -> Vec<AttemptId> {
        let until = now + RETENTION;
        let slot = match end {
            End::Ran(answer) => Slot::Ran { answer, until },
            End::Lost => Slot::Lost { until },
            End::Claimed => Slot::Claimed { until },
        };
        let old = self.slots.insert(key, slot);
        match old {
            Some(Slot::Active { joined, .. }) => joined,
            _ => Vec::new(),
        }
    }

    /// Forgets a key of which nothing was handed over or claimed.
    pub(crate) fn release(&mut self, key: IdempotencyKey) -> Vec<AttemptId> {
        match self.slots.swap_remove(&key) {
            Some(Slot::Active { joined, .. }) => joined,
            _ => Vec::new(),
        }
    }

    pub(crate) fn collect(&mut self, now: Duration) {
        self.slots.retain(|_, slot| match slot {
            Slot::Active { .. } => true,
            Slot::Ran { until, .. } | Slot::Lost { until } | Slot::Claimed { until } => {
                *until > now
            }
        });
    }
}
