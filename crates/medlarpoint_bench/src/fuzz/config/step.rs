//! What the fuzzer of configuration does, step by step.

use proptest::prelude::*;

use crate::fuzz::steps::Step;

use super::NODES;

/// An edit in terms of small numbers.
#[derive(Clone, Debug)]
pub enum Op {
    PutService(u8, bool),
    PutRoute(u8, u8),
    PutPolicy(u8, u8),
    DeleteService(u8),
    DeleteRoute(u8),
    DeletePolicy(u8),
}

/// What happens to a store call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    Normal,
    Down,
    LostBefore,
    LostAfter,
    /// The request is held up and may arrive much later.
    Delayed,
}

/// A step.
#[derive(Clone, Debug)]
pub enum Transition {
    Propose { node: usize, ops: Vec<Op>, checked: bool },
    Store { attempt: usize, fate: Fate },
    GiveUp { attempt: usize },
    Resend { node: usize },
    Burst { node: usize, count: u8 },
    ArriveLate { which: usize },
    Read { node: usize },
    Capture { node: usize },
    Resume { node: usize },
    Announce { from: usize, to: usize },
    Ask { node: usize },
    Answer { which: usize },
    Deliver { which: usize, again: bool },
    Lose { which: usize },
    Tamper { which: usize },
    Pass { ms: u16 },
    Restart { node: usize },
    Backup,
    RestoreBackup { node: usize },
    Quiet,
}

impl Step for Transition {
    fn any() -> BoxedStrategy<Self> {
        let node = || 0..NODES;
        let which = || 0..8_usize;
        let op = prop_oneof![
            4 => (0..3_u8, any::<bool>()).prop_map(|(s, p)| Op::PutService(s, p)),
            4 => (0..4_u8, 0..3_u8).prop_map(|(r, s)| Op::PutRoute(r, s)),
            2 => (0..2_u8, 1..100_u8).prop_map(|(p, v)| Op::PutPolicy(p, v)),
            1 => (0..3_u8).prop_map(Op::DeleteService),
            1 => (0..4_u8).prop_map(Op::DeleteRoute),
            1 => (0..2_u8).prop_map(Op::DeletePolicy),
        ];
        let fate = prop_oneof![
            12 => Just(Fate::Normal),
            1 => Just(Fate::Down),
            1 => Just(Fate::LostBefore),
            2 => Just(Fate::LostAfter),
            1 => Just(Fate::Delayed),
        ];
        prop_oneof![
            8 => (node(), prop::collection::vec(op, 1..4), any::<bool>())
                .prop_map(|(node, ops, checked)| Transition::Propose { node, ops, checked }),
            40 => (0..3_usize, fate)
                .prop_map(|(attempt, fate)| Transition::Store { attempt, fate }),
            1 => (0..3_usize).prop_map(|attempt| Transition::GiveUp { attempt }),
            2 => node().prop_map(|node| Transition::Resend { node }),
            1 => (node(), 1..30_u8).prop_map(|(node, count)| Transition::Burst { node, count }),
            2 => which().prop_map(|which| Transition::ArriveLate { which }),
            4 => node().prop_map(|node| Transition::Read { node }),
            2 => node().prop_map(|node| Transition::Capture { node }),
            2 => node().prop_map(|node| Transition::Resume { node }),
            6 => (node(), node()).prop_map(|(from, to)| Transition::Announce { from, to }),
            8 => node().prop_map(|node| Transition::Ask { node }),
            8 => which().prop_map(|which| Transition::Answer { which }),
            8 => (which(), any::<bool>())
                .prop_map(|(which, again)| Transition::Deliver { which, again }),
            2 => which().prop_map(|which| Transition::Lose { which }),
            2 => which().prop_map(|which| Transition::Tamper { which }),
            4 => (1..3_000_u16).prop_map(|ms| Transition::Pass { ms }),
            1 => node().prop_map(|node| Transition::Restart { node }),
            1 => Just(Transition::Backup),
            1 => node().prop_map(|node| Transition::RestoreBackup { node }),
            1 => Just(Transition::Quiet),
        ]
        .boxed()
    }
}
