//! How fast work goes on this VM at the moment.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Age at which a report no longer counts.
const MAX_AGE: Duration = Duration::from_millis(300);
/// Bits of the percentage in the packed value.
const PERCENT_BITS: u32 = 20;

/// The last report of the target, packed with its time so that workers need no
/// lock.
#[derive(Debug, Default)]
pub(crate) struct Slowdown {
    packed: AtomicU64,
}

impl Slowdown {
    pub(crate) fn record(&self, now: Duration, percent: u32) {
        let percent = u64::from(percent).min((1 << PERCENT_BITS) - 1);
        let packed = ((now.as_millis() as u64) << PERCENT_BITS) | percent;
        self.packed.store(packed, Ordering::Relaxed);
    }

    /// Returns how long work takes in percent of the usual; zero if that is
    /// not known.
    pub(crate) fn percent(&self, now: Duration) -> u32 {
        let packed = self.packed.load(Ordering::Relaxed);
        let at = Duration::from_millis(packed >> PERCENT_BITS);
        if packed == 0 || now.saturating_sub(at) > MAX_AGE {
            return 0;
        }
        (packed & ((1 << PERCENT_BITS) - 1)) as u32
    }
}
