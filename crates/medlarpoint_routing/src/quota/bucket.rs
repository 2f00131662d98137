//! Token bucket of an allocator for one workspace.

use std::time::Duration;

use super::share::Terms;

/// One token, in the unit of the level.
pub(super) const TOKEN: i64 = 1_000_000_000;
/// Time for which tokens accumulate beyond the burst. Borrowers ask every 0.2 s, and their
/// requests are delayed by their timers and the network.
const ACCUMULATION_US: i64 = 300_000;
/// Part of the rate with which a new bucket begins to be in debt: what the previous
/// allocator may still lend for 0.5 s, and what had accumulated in its bucket.
const TAKEOVER_DEBT_US: i64 = super::TOKEN_LIFETIME.as_micros() as i64 + ACCUMULATION_US;

/// Token bucket. Integers make it exact, and its states comparable.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Bucket {
    terms: Terms,
    /// Level in billionths of a token; negative if the bucket is in debt.
    level: i64,
    as_of: Duration,
}

impl Bucket {
    /// Creates the bucket of an allocator that has just become responsible.
    pub(super) fn after_takeover(now: Duration, terms: Terms) -> Self {
        let level = -accrued(terms.per_1000_s, TAKEOVER_DEBT_US);
        Self { terms, level, as_of: now }
    }

    /// Changes rate and burst; a lower level takes effect at once.
    pub(super) fn set_terms(&mut self, now: Duration, terms: Terms) {
        self.refill(now);
        self.terms = terms;
        self.level = self.level.min(self.capacity());
    }

    /// Returns the number of complete tokens.
    pub(super) fn available(&mut self, now: Duration) -> u32 {
        self.refill(now);
        u32::try_from(self.level.max(0) / TOKEN).unwrap_or(u32::MAX)
    }

    pub(super) fn take(&mut self, tokens: u32) {
        self.level -= i64::from(tokens) * TOKEN;
    }

    pub(super) fn put_back(&mut self, now: Duration, tokens: u32) {
        self.refill(now);
        self.level = self.level.saturating_add(i64::from(tokens) * TOKEN).min(self.capacity());
    }

    /// Returns the time until there is a complete token; `None` if there will be none.
    pub(super) fn time_until_token(&mut self, now: Duration) -> Option<Duration> {
        self.refill(now);
        if self.capacity() < TOKEN || self.terms.per_1000_s == 0 {
            return (self.level >= TOKEN).then_some(Duration::ZERO);
        }
        let missing = (TOKEN - self.level).max(0) as u64;
        Some(Duration::from_micros(missing.div_ceil(self.terms.per_1000_s)))
    }

    fn capacity(&self) -> i64 {
        let burst = i64::try_from(self.terms.burst_nano + self.terms.extra_nano);
        burst
            .unwrap_or(i64::MAX / 4)
            .saturating_add(accrued(self.terms.per_1000_s, ACCUMULATION_US))
    }

    fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.as_of);
        // The remainder below a microsecond is left for the next refill.
        let elapsed_us = i64::try_from(elapsed.as_micros()).unwrap_or(i64::MAX);
        self.as_of += Duration::from_micros(elapsed_us as u64);
        let accrued = accrued(self.terms.per_1000_s, elapsed_us);
        self.level = self.level.saturating_add(accrued).min(self.capacity());
    }
}

/// Returns what accrues in a time: one token per 1,000 s is a billionth per microsecond.
fn accrued(per_1000_s: u64, elapsed_us: i64) -> i64 {
    i64::try_from(per_1000_s).unwrap_or(i64::MAX).saturating_mul(elapsed_us)
}
