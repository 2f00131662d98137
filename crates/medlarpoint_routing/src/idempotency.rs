//! Outcomes of idempotency keys, kept for a limited time.

use std::time::Duration;

use indexmap::IndexMap;

use crate::{AttemptId, IdempotencyKey};

/// Limit on keys kept at a time.
const MAX_KEYS: usize = 20_000;
/// Time for which an outcome is kept after it is known.
const RETENTION: Duration = Duration::from_secs(600);

/// State of an idempotency key.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum KeyState<A> {
    /// An attempt is in progress; `waiters` wait for its outcome.
    Active { attempt: AttemptId, waiters: Vec<AttemptId>, claimed: bool },
    /// The key ran; the response is kept if it was small.
    Ran { response: Option<A>, expires_at: Duration },
    /// The key may have run.
    Unknown { expires_at: Duration },
    /// This proxy holds the claim, but handed nothing over.
    Claimed { expires_at: Duration },
}

/// Outcome of the attempt of a key.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum KeyOutcome<A> {
    /// The attempt ran; the response is kept if it was small.
    Ran(Option<A>),
    /// The attempt may have run.
    Unknown,
    /// The key was claimed, but nothing was handed over.
    Claimed,
}

/// Outcomes by key, bounded in number and time. A key is never evicted early: when
/// the window is full, new keys are rejected.
#[derive(Clone, Debug)]
pub struct IdempotencyWindow<A> {
    keys: IndexMap<IdempotencyKey, KeyState<A>>,
}

impl<A> Default for IdempotencyWindow<A> {
    fn default() -> Self {
        Self { keys: IndexMap::new() }
    }
}

impl<A> IdempotencyWindow<A> {
    pub(crate) fn get_mut(&mut self, key: IdempotencyKey) -> Option<&mut KeyState<A>> {
        self.keys.get_mut(&key)
    }

    pub(crate) fn is_full(&self) -> bool {
        self.keys.len() >= MAX_KEYS
    }

    /// Records the start of an attempt of a key that has none in progress. Returns
    /// whether the key had been claimed earlier.
    pub(crate) fn activate(&mut self, key: IdempotencyKey, attempt: AttemptId) -> bool {
        let claimed = matches!(self.keys.get(&key), Some(KeyState::Claimed { .. }));
        self.keys.insert(key, KeyState::Active { attempt, waiters: Vec::new(), claimed });
        claimed
    }

    /// Records the outcome of a key and returns the attempts that wait for it.
    pub(crate) fn record_outcome(
        &mut self,
        now: Duration,
        key: IdempotencyKey,
        outcome: KeyOutcome<A>,
    ) -> Vec<AttemptId> {
        let expires_at = now + RETENTION;
        let state = match outcome {
            KeyOutcome::Ran(response) => KeyState::Ran { response, expires_at },
            KeyOutcome::Unknown => KeyState::Unknown { expires_at },
            KeyOutcome::Claimed => KeyState::Claimed { expires_at },
        };
        let previous = self.keys.insert(key, state);
        match previous {
            Some(KeyState::Active { waiters, .. }) => waiters,
            _ => Vec::new(),
        }
    }

    /// Removes a key of which nothing was handed over or claimed, and returns the
    /// attempts that wait for it.
    pub(crate) fn release(&mut self, key: IdempotencyKey) -> Vec<AttemptId> {
        match self.keys.swap_remove(&key) {
            Some(KeyState::Active { waiters, .. }) => waiters,
            _ => Vec::new(),
        }
    }

    /// Removes expired keys.
    pub(crate) fn collect(&mut self, now: Duration) {
        self.keys.retain(|_, state| match state {
            KeyState::Active { .. } => true,
            KeyState::Ran { expires_at, .. }
            | KeyState::Unknown { expires_at }
            | KeyState::Claimed { expires_at } => *expires_at > now,
        });
    }
}
