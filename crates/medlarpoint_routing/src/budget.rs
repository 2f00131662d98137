//! Limits extra attempts to a share of the first ones.

/// Extra attempts that may be saved up, unless set otherwise.
const DEFAULT_LIMIT: f64 = 20.0;

/// Share of the fleet's slack that is used; the rest is for daemons that the
/// others do not know of.
const SLACK_SHARE: f64 = 0.8;
/// Part of a daemon's share that goes to hedges.
const HEDGE_PART: f64 = 0.4;

/// How much one daemon may save up, so that all of them together keep to what
/// the fleet may do, also while they cannot talk to each other.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetLimits {
    /// Retries saved up at the most.
    pub max_retries: f64,
    /// Hedges saved up at the most.
    pub max_hedges: f64,
}

impl BudgetLimits {
    /// Parts the fleet's `slack` among `members` daemons. Where that leaves less
    /// than an attempt to each, hedges go first.
    pub fn per_daemon(slack: f64, members: usize) -> Self {
        let share = slack * SLACK_SHARE / members.max(1) as f64;
        let hedges = share * HEDGE_PART;
        let hedges = if hedges < 1.0 { 0.0 } else { hedges };
        Self { max_retries: (share - hedges).max(1.0), max_hedges: hedges }
    }
}

/// A bucket that first attempts fill and extra attempts empty.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    saved: f64,
    limit: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Self::new(DEFAULT_LIMIT)
    }
}

impl Budget {
    /// Creates a budget that saves up to `limit` extra attempts.
    pub fn new(limit: f64) -> Self {
        Self { saved: limit / 2.0, limit }
    }

    /// Changes how much is saved up at the most.
    pub fn set_limit(&mut self, limit: f64) {
        self.limit = limit;
        self.saved = self.saved.min(limit);
    }

    /// Notes a first attempt, which allows `percent` of an extra one.
    pub fn deposit(&mut self, percent: u8) {
        self.saved = (self.saved + f64::from(percent) / 100.0).min(self.limit);
    }

    /// Takes one extra attempt if there is one.
    pub fn withdraw(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}

#[cfg(test)]
mod tests;
