//! Limits extra attempts to a share of the first ones.

/// Extra attempts that may be saved up, unless set otherwise.
const DEFAULT_LIMIT: f64 = 20.0;

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
    pub fn earn(&mut self, percent: u8) {
        self.saved = (self.saved + f64::from(percent) / 100.0).min(self.limit);
    }

    /// Takes one extra attempt if there is one.
    pub fn spend(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}

#[cfg(test)]
mod tests;
