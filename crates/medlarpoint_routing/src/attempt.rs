//! Identifiers and properties that are sent with an attempt.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;
use std::time::Duration;

use medlarpoint_model::{Class, Idempotency, Name, Vm};

/// Identifier of one attempt of a call, unique across the fleet.
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
    /// Derives the key from the text that the caller sent.
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

/// Claim of an idempotency key: the inbound proxy that may run the key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Claim {
    /// VM of the inbound proxy.
    pub vm: Vm,
    /// Boot identifier of its daemon, which changes with each restart.
    pub boot: u64,
}

/// Properties of an attempt that its inbound proxy needs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptInfo {
    /// Identifier of the attempt.
    pub attempt: AttemptId,
    /// Boot identifier of the daemon that the attempt is addressed to.
    pub boot: u64,
    /// Scheduling class of the call.
    pub class: Class,
    /// Tenant on whose behalf the call is made.
    pub tenant: Name,
    /// Whether the tenant is a workspace.
    pub in_workspace: bool,
    /// Weight of the tenant in fair scheduling.
    pub weight: u16,
    /// Route of the call. Calls of one route have similar service times.
    pub route: Name,
    /// Size of the request body that has still to cross the VM's link, in bytes; zero
    /// if it has arrived.
    pub body_bytes: usize,
    /// Priority of the call when slots are scarce; 0 goes first.
    pub rank: u8,
    /// Time on the local clock until which a response is of full use to the caller.
    pub useful_until: Option<Duration>,
    /// Whether the attempt may be rejected so that another target serves it in time.
    pub may_spill: bool,
    /// Time on the local clock at which the caller stops waiting.
    pub deadline: Duration,
    /// Whether targets have crashed under the call.
    pub suspect: bool,
    /// Time that the route usually takes at the targets of the service, if the sender knows.
    pub expected: Option<Duration>,
    /// Idempotency key of a call that may not be repeated.
    pub key: Option<IdempotencyKey>,
    /// Mechanism that keeps the key from running twice.
    pub idempotency: Idempotency,
}
