//! Tokens that were lent in the last seconds.

use std::collections::VecDeque;
use std::time::Duration;

use super::bucket::TOKEN;
use super::share::Terms;

/// Time that one slot covers.
const SLOT: Duration = Duration::from_millis(50);
/// Number of slots that touch that window.
const SLOTS: u128 = (WINDOW_US as u128).div_ceil(SLOT.as_micros()) + 1;
/// Time in which tokens lent can be used within one window of the required bound, in
/// microseconds.
const WINDOW_US: u64 = 5_000_000 + super::TOKEN_LIFETIME.as_micros() as u64;

/// Tokens lent and not returned in the last 5.5 s. A bucket alone would admit the tokens
/// that accumulate between requests beyond the required bound.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Ledger {
    /// Number of the slot and tokens lent in it, in order of time.
    ///
    /// Invariant: `total` is the sum of the tokens.
    slots: VecDeque<(u128, u32)>,
    total: u64,
}

fn slot_of(at: Duration) -> u128 {
    at.as_millis() / SLOT.as_millis()
}

fn limit(terms: Terms) -> u64 {
    let rate_nano = u128::from(terms.per_1000_s) * u128::from(WINDOW_US);
    let nano = rate_nano + u128::from(terms.burst_nano) + u128::from(terms.extra_nano);
    u64::try_from(nano / TOKEN as u128).unwrap_or(u64::MAX)
}

impl Ledger {
    /// Returns the number of tokens that may be lent now.
    pub(super) fn room(&mut self, now: Duration, terms: Terms) -> u32 {
        self.expire(now);
        u32::try_from(limit(terms).saturating_sub(self.total)).unwrap_or(u32::MAX)
    }

    /// Returns the time until a token may be lent; `None` if that is not known.
    pub(super) fn time_until_room(&mut self, now: Duration, terms: Terms) -> Option<Duration> {
        self.expire(now);
        let limit = limit(terms);
        let mut left = self.total;
        if left < limit {
            return Some(Duration::ZERO);
        }
        for (slot, tokens) in &self.slots {
            left -= u64::from(*tokens);
            if left < limit {
                let at_ms = (slot + SLOTS) * SLOT.as_millis();
                return Some(Duration::from_millis(at_ms as u64).saturating_sub(now));
            }
        }
        None
    }

    pub(super) fn add(&mut self, now: Duration, tokens: u32) {
        let slot = slot_of(now);
        match self.slots.back_mut() {
            Some((last, count)) if *last == slot => *count += tokens,
            _ => self.slots.push_back((slot, tokens)),
        }
        self.total += u64::from(tokens);
    }

    /// Removes tokens that were lent at a time and have been returned.
    pub(super) fn remove(&mut self, lent_at: Duration, tokens: u32) {
        let slot = slot_of(lent_at);
        if let Some((_, count)) = self.slots.iter_mut().find(|(other, _)| *other == slot) {
            let removed = tokens.min(*count);
            *count -= removed;
            self.total -= u64::from(removed);
        }
    }

    fn expire(&mut self, now: Duration) {
        let current = slot_of(now);
        while let Some((slot, tokens)) = self.slots.front().copied()
            && slot + SLOTS <= current
        {
            self.total -= u64::from(tokens);
            self.slots.pop_front();
        }
    }
}
