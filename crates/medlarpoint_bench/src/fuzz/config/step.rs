//! Steps of the fuzzer of configuration.

use proptest::prelude::*;

use crate::fuzz::reference::Step;

use super::NODES;

/// An edit, with small numbers instead of names.
#[derive(Clone, Debug)]
pub enum Operation {
    PutService(u8, bool),
    PutRoute(u8, u8),
    PutPolicy(u8, u8),
    DeleteService(u8),
    DeleteRoute(u8),
    DeletePolicy(u8),
}

/// Condition of the store during a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreCondition {
    Normal,
    Unavailable,
    RequestLost,
    ResponseLost,
    /// The request is delayed and may arrive much later.
    Delayed,
}

/// A step of the fuzzer.
#[derive(Clone, Debug)]
pub enum Transition {
    Propose {
        node: usize,
        operations: Vec<Operation>,
        conditional: bool,
    },
    Store {
        transaction: usize,
        condition: StoreCondition,
    },
    /// Ends a transaction on its time limit.
    TimeOut {
        transaction: usize,
    },
    /// Proposes a commit of unknown outcome again.
    Resend {
        node: usize,
    },
    /// Commits `count` changes without faults.
    Burst {
        node: usize,
        count: u8,
    },
    /// Delivers a delayed write to the store.
    DeliverDelayed {
        which: usize,
    },
    ReadHead {
        node: usize,
    },
    /// Reads the head, to be applied later by `ApplyCapturedHead`.
    CaptureHead {
        node: usize,
    },
    ApplyCapturedHead {
        node: usize,
    },
    Announce {
        from: usize,
        to: usize,
    },
    Pull {
        node: usize,
    },
    Respond {
        which: usize,
    },
    Deliver {
        which: usize,
        duplicate: bool,
    },
    Lose {
        which: usize,
    },
    /// Adds or removes a change in a response.
    Corrupt {
        which: usize,
    },
    Advance {
        ms: u16,
    },
    Restart {
        node: usize,
    },
    Backup,
    /// Replaces the store by its backup, and lets a daemon restore the newest version.
    RestoreBackup {
        node: usize,
    },
    /// Ends all faults and checks that all daemons reach the newest version.
    Converge,
}

impl Step for Transition {
    fn strategy() -> BoxedStrategy<Self> {
        let node = || 0..NODES;
        let which = || 0..8_usize;
        let operation = prop_oneof![
            4 => (0..3_u8, any::<bool>()).prop_map(|(s, p)| Operation::PutService(s, p)),
            4 => (0..4_u8, 0..3_u8).prop_map(|(r, s)| Operation::PutRoute(r, s)),
            2 => (0..2_u8, 1..100_u8).prop_map(|(p, v)| Operation::PutPolicy(p, v)),
            1 => (0..3_u8).prop_map(Operation::DeleteService),
            1 => (0..4_u8).prop_map(Operation::DeleteRoute),
            1 => (0..2_u8).prop_map(Operation::DeletePolicy),
        ];
        let condition = prop_oneof![
            12 => Just(StoreCondition::Normal),
            1 => Just(StoreCondition::Unavailable),
            1 => Just(StoreCondition::RequestLost),
            2 => Just(StoreCondition::ResponseLost),
            1 => Just(StoreCondition::Delayed),
        ];
        prop_oneof![
            8 => (node(), prop::collection::vec(operation, 1..4), any::<bool>())
                .prop_map(|(node, operations, conditional)| Transition::Propose { node, operations, conditional }),
            40 => (0..3_usize, condition)
                .prop_map(|(transaction, condition)| Transition::Store { transaction, condition }),
            1 => (0..3_usize).prop_map(|transaction| Transition::TimeOut { transaction }),
            2 => node().prop_map(|node| Transition::Resend { node }),
            1 => (node(), 1..30_u8).prop_map(|(node, count)| Transition::Burst { node, count }),
            2 => which().prop_map(|which| Transition::DeliverDelayed { which }),
            4 => node().prop_map(|node| Transition::ReadHead { node }),
            2 => node().prop_map(|node| Transition::CaptureHead { node }),
            2 => node().prop_map(|node| Transition::ApplyCapturedHead { node }),
            6 => (node(), node()).prop_map(|(from, to)| Transition::Announce { from, to }),
            8 => node().prop_map(|node| Transition::Pull { node }),
            8 => which().prop_map(|which| Transition::Respond { which }),
            8 => (which(), any::<bool>())
                .prop_map(|(which, duplicate)| Transition::Deliver { which, duplicate }),
            2 => which().prop_map(|which| Transition::Lose { which }),
            2 => which().prop_map(|which| Transition::Corrupt { which }),
            4 => (1..3_000_u16).prop_map(|ms| Transition::Advance { ms }),
            1 => node().prop_map(|node| Transition::Restart { node }),
            1 => Just(Transition::Backup),
            1 => node().prop_map(|node| Transition::RestoreBackup { node }),
            1 => Just(Transition::Converge),
        ]
        .boxed()
    }
}
