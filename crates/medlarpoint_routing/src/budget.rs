//! Limits extra attempts to a share of the first ones.

/// Extra attempts that may be saved up.
const MAX_SAVED: f64 = 20.0;

/// A bucket that first attempts fill and extra attempts empty.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    saved: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Self { saved: MAX_SAVED / 2.0 }
    }
}

impl Budget {
    /// Notes a first attempt, which allows `percent` of an extra one.
    pub fn earn(&mut self, percent: u8) {
        self.saved = (self.saved + f64::from(percent) / 100.0).min(MAX_SAVED);
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
