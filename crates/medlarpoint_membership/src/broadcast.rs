//! Broadcast tree: forwards a message from one member to all.
//!
//! Each member derives the tree from its member table and the origin, so no tree
//! has to be built or maintained. If the tables of members differ, a message may
//! reach a member twice or not at all. With two origins, whose trees differ, a
//! member rarely misses the messages of both.

use medlarpoint_model::Vm;

use crate::role::rendezvous_weight;

/// Maximum number of members that each member forwards a message to.
const FANOUT: usize = 16;

/// Returns the members that `local` forwards a message of `origin` to.
pub fn children<'a>(origin: &Vm, local: &Vm, members: impl Iterator<Item = &'a Vm>) -> Vec<&'a Vm> {
    let mut order: Vec<(u64, &Vm)> = members
        .filter(|vm| *vm != origin)
        .map(|vm| (rendezvous_weight(origin.as_str(), vm), vm))
        .collect();
    order.sort_unstable();
    let position = if local == origin {
        Some(0)
    } else {
        order.iter().position(|(_, vm)| *vm == local).map(|index| index + 1)
    };
    let Some(position) = position else {
        return Vec::new();
    };
    // The origin is at position 0, so the member at position p is at index p - 1.
    let first = position * FANOUT;
    order.into_iter().skip(first).take(FANOUT).map(|(_, vm)| vm).collect()
}

#[cfg(test)]
mod tests;
