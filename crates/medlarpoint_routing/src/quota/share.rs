//! Share of the quotas that an allocator lends.

use std::time::Duration;

use medlarpoint_model::Quota;

use super::SETTLING_TIME;

/// Members that a daemon reaches, of those that it knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Reach {
    /// Number of members that respond, including the daemon itself.
    pub reachable: u32,
    /// Number of members that have not left, including those that died a while ago.
    pub known: u32,
}

impl Reach {
    fn fraction(self) -> (u64, u64) {
        (u64::from(self.reachable.min(self.known)), u64::from(self.known.max(1)))
    }

    fn is_less_than(self, other: Self) -> bool {
        let ((a, b), (c, d)) = (self.fraction(), other.fraction());
        a * d < c * b
    }
}

/// Part of a quota that one allocator lends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Terms {
    /// Rate, in tokens per 1,000 seconds.
    pub(super) per_1000_s: u64,
    /// Burst, in billionths of a token.
    pub(super) burst_nano: u64,
    /// Tokens that may be lent beyond rate and burst, in billionths of a token. Rates below
    /// one token per second would otherwise never accumulate one.
    pub(super) extra_nano: u64,
}

/// Tokens that the allocators together may lend beyond rate and burst. The required bound
/// has a slack of 20 calls.
const EXTRA_TOKENS: u64 = 10;

/// Share of the quotas that an allocator lends. It decreases at once. It increases only
/// when the reach has been higher for [`SETTLING_TIME`], since the allocator of another side
/// of a partition lends the rest until then.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct Share {
    reach: Reach,
    /// Time since which the reach has been higher than `reach`, with the lowest one since.
    higher: Option<(Duration, Reach)>,
}

impl Share {
    pub(super) fn new(reach: Reach) -> Self {
        Self { reach, higher: None }
    }

    /// Updates the share. Returns whether it has changed.
    pub(super) fn update(&mut self, now: Duration, reach: Reach) -> bool {
        if reach.is_less_than(self.reach) {
            *self = Self::new(reach);
            return true;
        }
        if !self.reach.is_less_than(reach) {
            self.higher = None;
            return false;
        }
        let (since, lowest) = self.higher.unwrap_or((now, reach));
        let lowest = if reach.is_less_than(lowest) { reach } else { lowest };
        if now.saturating_sub(since) >= SETTLING_TIME {
            *self = Self::new(lowest);
            return true;
        }
        self.higher = Some((since, lowest));
        false
    }

    pub(super) fn terms(&self, quota: Quota) -> Terms {
        let (reachable, known) = self.reach.fraction();
        let part = |whole: u64| {
            let part = u128::from(whole) * u128::from(reachable) / u128::from(known);
            u64::try_from(part).unwrap_or(u64::MAX)
        };
        Terms {
            per_1000_s: part(quota.calls_per_1000_s),
            burst_nano: part(quota.burst.saturating_mul(super::bucket::TOKEN as u64)),
            extra_nano: part(EXTRA_TOKENS * super::bucket::TOKEN as u64),
        }
    }
}
