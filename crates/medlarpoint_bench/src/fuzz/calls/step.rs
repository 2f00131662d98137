//! Steps of the fuzzer of calls.

use proptest::prelude::*;

use crate::fuzz::reference::Step;

use super::{INBOUND, KEYS, OUTBOUND};

/// A step of the fuzzer.
#[derive(Clone, Debug)]
pub enum Transition {
    Start {
        outbound: usize,
        key: Option<u8>,
        repeatable: bool,
        hedged: bool,
        long: bool,
        /// Whether the call crashes each target that runs it.
        fatal: bool,
    },
    Deliver {
        which: usize,
        duplicate: bool,
    },
    /// Breaks the connection of an attempt; `arrives` is whether the attempt still
    /// reaches the inbound proxy.
    Disconnect {
        which: usize,
        arrives: bool,
    },
    /// Like `Disconnect`, but the outbound proxy does not notice.
    Stall {
        which: usize,
        arrives: bool,
    },
    Claim {
        which: usize,
        condition: StoreCondition,
    },
    Finish {
        which: usize,
        outcome: TargetOutcome,
    },
    Restart {
        inbound: usize,
    },
    Drain {
        inbound: usize,
        on: bool,
    },
    /// Updates the destinations that an outbound proxy knows.
    RefreshDestinations {
        outbound: usize,
    },
    Advance {
        ms: u16,
    },
    /// Ends all faults and checks that no call, attempt or slot remains in use.
    Quiesce,
}

/// Condition of the store when an idempotency key is claimed.
#[derive(Clone, Copy, Debug)]
pub enum StoreCondition {
    Normal,
    Unavailable,
    /// The claim is written, but the response of the store is lost.
    ResponseLost,
}

/// Outcome of a call at the target.
#[derive(Clone, Copy, Debug)]
pub enum TargetOutcome {
    Responded,
    Rejected,
    ConnectionLost,
}

impl Step for Transition {
    fn strategy() -> BoxedStrategy<Self> {
        let which = || 0..12_usize;
        let weighted = |p: f64| prop::bool::weighted(p);
        let condition = prop_oneof![6 => Just(StoreCondition::Normal), 1 => Just(StoreCondition::Unavailable), 1 => Just(StoreCondition::ResponseLost)];
        let outcome = prop_oneof![6 => Just(TargetOutcome::Responded), 1 => Just(TargetOutcome::Rejected), 1 => Just(TargetOutcome::ConnectionLost)];
        prop_oneof![
            10 => (0..OUTBOUND, prop::option::weighted(0.5, 0..KEYS), weighted(0.3), weighted(0.5), weighted(0.2), weighted(0.1))
                .prop_map(|(outbound, key, repeatable, hedged, long, fatal)| {
                    Transition::Start { outbound, key, repeatable, hedged, long, fatal }
                }),
            40 => (which(), weighted(0.1)).prop_map(|(which, duplicate)| Transition::Deliver { which, duplicate }),
            3 => (which(), any::<bool>()).prop_map(|(which, arrives)| Transition::Disconnect { which, arrives }),
            3 => (which(), any::<bool>()).prop_map(|(which, arrives)| Transition::Stall { which, arrives }),
            8 => (which(), condition).prop_map(|(which, condition)| Transition::Claim { which, condition }),
            12 => (which(), outcome).prop_map(|(which, outcome)| Transition::Finish { which, outcome }),
            2 => (0..INBOUND).prop_map(|inbound| Transition::Restart { inbound }),
            2 => (0..INBOUND, any::<bool>()).prop_map(|(inbound, on)| Transition::Drain { inbound, on }),
            3 => (0..OUTBOUND).prop_map(|outbound| Transition::RefreshDestinations { outbound }),
            12 => (1..700_u16).prop_map(|ms| Transition::Advance { ms }),
            1 => Just(Transition::Quiesce),
        ]
        .boxed()
    }
}
