//! Identities that travel with an attempt.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;
use std::time::Duration;

use medlarpoint_model::{Class, Idempotency, Name, Vm};

/// Identity of one attempt of a call, unique across the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptId(pub u128);

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for AttemptId {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u128::from_str_radix(text, 16).map(Self)
    }
}

/// A caller's idempotency key, scoped to a route and a tenant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct IdempotencyKey(pub u128);

impl IdempotencyKey {
    /// Derives the key from what the caller sent.
    pub fn new(route: &Name, tenant: &str, text: &str) -> Self {
        let scoped = format!("{route}\0{tenant}\0{text}");
        let low = rapidhash::v3::rapidhash_v3(scoped.as_bytes());
        let high = rapidhash::v3::rapidhash_v3(format!("{low:x}\0{scoped}").as_bytes());
        Self((u128::from(high) << 64) | u128::from(low))
    }
}

impl fmt::Display for IdempotencyKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// Who holds the right to run a key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Claim {
    /// VM of the inbound proxy.
    pub vm: Vm,
    /// Run of its daemon.
    pub boot: u64,
}

/// What an inbound proxy needs to know of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head {
    /// The attempt.
    pub attempt: AttemptId,
    /// Run of the daemon the attempt is meant for.
    pub boot: u64,
    /// Scheduling class.
    pub class: Class,
    /// Tenant on whose behalf the call is made.
    pub tenant: Name,
    /// Weight of the tenant.
    pub weight: u16,
    /// Route of the call: calls of one route take about as long.
    pub kind: Name,
    /// Rank of the call when slots are short; 0 goes first.
    pub rank: u8,
    /// When the answer ceases to be of full use, on the local clock.
    pub useful_until: Option<Duration>,
    /// It may be refused so that another target serves it in time.
    pub may_spill: bool,
    /// When the caller stops waiting, on the local clock.
    pub deadline: Duration,
    /// Idempotency key of a call that may not be repeated.
    pub key: Option<IdempotencyKey>,
    /// How the key is honoured.
    pub once: Idempotency,
}
