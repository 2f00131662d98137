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
pub(crate) enum KeyState<A> {
    /// An attempt is under way; others wait for its outcome.
    Active { attempt: AttemptId, waiters: Vec<AttemptId>, claimed: bool },
    /// It ran; the answer is kept if it was small.
    Ran { response: Option<A>, expires_at: Duration },
    /// It may have run.
    Unknown { expires_at: Duration },
    /// The claim is ours, but nothing was handed over.
    Claimed { expires_at: Duration },
}

/// How the attempt of a key ended.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum KeyOutcome<A> {
    /// It ran; the answer is kept if it was small.
    Ran(Option<A>),
    /// It may have run.
    Unknown,
    /// The claim was made, but nothing was handed over.
    Claimed,
}

/// Outcomes by key, bounded in number and time. A key is never dropped before
/// its time: when the window is full, new keys are refused.
#[derive(Clone, Debug)]
pub struct IdempotencyWindow<A> {
    slots: IndexMap<IdempotencyKey, KeyState<A>>,
}

impl<A> Default for IdempotencyWindow<A> {
    fn default() -> Self {
        Self { slots: IndexMap::new() }
    }
}

impl<A> IdempotencyWindow<A> {
    pub(crate) fn get_mut(&mut self, key: IdempotencyKey) -> Option<&mut KeyState<A>> {
        self.slots.get_mut(&key)
    }

    pub(crate) fn is_full(&self) -> bool {
        self.slots.len() >= MAX_KEYS
    }

    /// Starts an attempt of a key that has none under way. Returns whether the
    /// key had been claimed earlier.
    pub(crate) fn activate(&mut self, key: IdempotencyKey, attempt: AttemptId) -> bool {
        let claimed = matches!(self.slots.get(&key), Some(KeyState::Claimed { .. }));
        self.slots.insert(key, KeyState::Active { attempt, waiters: Vec::new(), claimed });
        claimed
    }

    /// Ends the attempt of a key and returns those that wait for its outcome.
    pub(crate) fn settle(
        &mut self,
        now: Duration,
        key: IdempotencyKey,
        end: KeyOutcome<A>,
    ) -> Vec<AttemptId> {
        let expires_at = now + RETENTION;
        let slot = match end {
            KeyOutcome::Ran(answer) => KeyState::Ran { response: answer, expires_at },
            KeyOutcome::Unknown => KeyState::Unknown { expires_at },
            KeyOutcome::Claimed => KeyState::Claimed { expires_at },
        };
        let old = self.slots.insert(key, slot);
        match old {
            Some(KeyState::Active { waiters, .. }) => waiters,
            _ => Vec::new(),
        }
    }

    /// Forgets a key of which nothing was handed over or claimed.
    pub(crate) fn release(&mut self, key: IdempotencyKey) -> Vec<AttemptId> {
        match self.slots.swap_remove(&key) {
            Some(KeyState::Active { waiters, .. }) => waiters,
            _ => Vec::new(),
        }
    }

    pub(crate) fn collect(&mut self, now: Duration) {
        self.slots.retain(|_, slot| match slot {
            KeyState::Active { .. } => true,
            KeyState::Ran { expires_at, .. }
            | KeyState::Unknown { expires_at }
            | KeyState::Claimed { expires_at } => *expires_at > now,
        });
    }
}
