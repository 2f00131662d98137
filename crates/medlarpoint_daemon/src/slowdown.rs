//! Current slowdown of the target: the time its work takes relative to the usual.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Age after which a report is ignored.
const MAX_AGE: Duration = Duration::from_millis(300);
/// Number of low bits of the packed value that hold the percentage.
const PERCENT_BITS: u32 = 20;

/// The latest slowdown that the target reported, packed with the time of the report
/// into one word so that workers need no lock.
#[derive(Debug, Default)]
pub(crate) struct Slowdown {
    packed: AtomicU64,
}

impl Slowdown {
    /// Records a report of the target.
    pub(crate) fn record(&self, now: Duration, percent: u32) {
        let percent = u64::from(percent).min((1 << PERCENT_BITS) - 1);
        let packed = ((now.as_millis() as u64) << PERCENT_BITS) | percent;
        self.packed.store(packed, Ordering::Relaxed);
    }

    /// Returns the time that work takes in percent of the usual; zero if there is no
    /// recent report.
    pub(crate) fn percent(&self, now: Duration) -> u32 {
        let packed = self.packed.load(Ordering::Relaxed);
        let reported_at = Duration::from_millis(packed >> PERCENT_BITS);
        if packed == 0 || now.saturating_sub(reported_at) > MAX_AGE {
            return 0;
        }
        (packed & ((1 << PERCENT_BITS) - 1)) as u32
    }
}
