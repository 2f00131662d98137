//! Budgets that limit retries and hedges to a fraction of the first attempts.

/// Default limit on the extra attempts that a budget holds.
const DEFAULT_LIMIT: f64 = 20.0;

/// Fraction of the fleet's slack that is divided among known daemons; the rest is
/// left for daemons that the others do not know of.
const SLACK_FRACTION: f64 = 0.8;
/// Fraction of a daemon's share that is used for hedges.
const HEDGE_FRACTION: f64 = 0.4;

/// Limits on the budgets of one daemon. They keep the daemons together within what
/// the fleet may do, even while they cannot reach each other.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetLimits {
    /// Limit on the retries that the retry budget holds.
    pub max_retries: f64,
    /// Limit on the hedges that the hedge budget holds.
    pub max_hedges: f64,
}

impl BudgetLimits {
    /// Divides the fleet's `slack`, in extra attempts, among `members` daemons. If
    /// the share for hedges is below one attempt, all of it goes to retries. Every
    /// daemon may hold at least one retry.
    pub fn per_daemon(slack: f64, members: usize) -> Self {
        let share = slack * SLACK_FRACTION / members.max(1) as f64;
        let hedges = share * HEDGE_FRACTION;
        let hedges = if hedges < 1.0 { 0.0 } else { hedges };
        Self { max_retries: (share - hedges).max(1.0), max_hedges: hedges }
    }
}

/// Token bucket that first attempts fill and extra attempts drain.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    tokens: f64,
    limit: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Self::new(DEFAULT_LIMIT)
    }
}

impl Budget {
    /// Creates a half-full budget that holds up to `limit` extra attempts.
    pub fn new(limit: f64) -> Self {
        Self { tokens: limit / 2.0, limit }
    }

    /// Sets the limit and drops what the budget holds beyond it.
    pub fn set_limit(&mut self, limit: f64) {
        self.limit = limit;
        self.tokens = self.tokens.min(limit);
    }

    /// Records a first attempt, which adds `percent` hundredths of an extra attempt.
    pub fn deposit(&mut self, percent: u8) {
        self.tokens = (self.tokens + f64::from(percent) / 100.0).min(self.limit);
    }

    /// Takes one extra attempt and returns whether one was available.
    pub fn withdraw(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

#[cfg(test)]
mod tests;
