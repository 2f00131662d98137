//! What the fuzzer of calls does, step by step.

use proptest::prelude::*;

use crate::fuzz::steps::Step;

use super::{INBOUND, KEYS, OUTBOUND};

/// A step.
#[derive(Clone, Debug)]
pub enum Transition {
    Start { outbound: usize, key: Option<u8>, repeatable: bool, hedged: bool, long: bool },
    Deliver { which: usize, again: bool },
    Break { which: usize, arrives: bool },
    Silence { which: usize, arrives: bool },
    Claim { which: usize, fate: Fate },
    Finish { which: usize, end: End },
    Restart { inbound: usize },
    Drain { inbound: usize, on: bool },
    Refresh { outbound: usize },
    Pass { ms: u16 },
    Quiet,
}

/// What happens to the claim of a key.
#[derive(Clone, Copy, Debug)]
pub enum Fate {
    Normal,
    Down,
    /// The record is made, but nobody learns of it.
    Lost,
}

/// How a call ends at the target.
#[derive(Clone, Copy, Debug)]
pub enum End {
    Answered,
    Refused,
    Broken,
}

impl Step for Transition {
    fn any() -> BoxedStrategy<Self> {
        let which = || 0..12_usize;
        let often = |p: f64| prop::bool::weighted(p);
        let fate =
            prop_oneof![6 => Just(Fate::Normal), 1 => Just(Fate::Down), 1 => Just(Fate::Lost)];
        let end =
            prop_oneof![6 => Just(End::Answered), 1 => Just(End::Refused), 1 => Just(End::Broken)];
        prop_oneof![
            10 => (0..OUTBOUND, prop::option::weighted(0.5, 0..KEYS), often(0.3), often(0.5), often(0.2))
                .prop_map(|(outbound, key, repeatable, hedged, long)| {
                    Transition::Start { outbound, key, repeatable, hedged, long }
                }),
            40 => (which(), often(0.1)).prop_map(|(which, again)| Transition::Deliver { which, again }),
            3 => (which(), any::<bool>()).prop_map(|(which, arrives)| Transition::Break { which, arrives }),
            3 => (which(), any::<bool>()).prop_map(|(which, arrives)| Transition::Silence { which, arrives }),
            8 => (which(), fate).prop_map(|(which, fate)| Transition::Claim { which, fate }),
            12 => (which(), end).prop_map(|(which, end)| Transition::Finish { which, end }),
            2 => (0..INBOUND).prop_map(|inbound| Transition::Restart { inbound }),
            2 => (0..INBOUND, any::<bool>()).prop_map(|(inbound, on)| Transition::Drain { inbound, on }),
            3 => (0..OUTBOUND).prop_map(|outbound| Transition::Refresh { outbound }),
            12 => (1..700_u16).prop_map(|ms| Transition::Pass { ms }),
            1 => Just(Transition::Quiet),
        ]
        .boxed()
    }
}
