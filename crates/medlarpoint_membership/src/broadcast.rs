//! Passes a message from one member to all along a tree.
//!
//! Every member derives the same tree from its own table and the origin, so
//! none has to be built or kept. Members whose tables differ pass some messages
//! twice or not at all; with two origins, whose trees differ, a member rarely
//! misses both.

use medlarpoint_model::Vm;

/// Members that each member passes a message on to.
const FANOUT: usize = 16;

fn weight(origin: &Vm, vm: &Vm) -> u64 {
    let mut bytes = origin.as_str().as_bytes().to_vec();
    bytes.push(0);
    bytes.extend_from_slice(vm.as_str().as_bytes());
    rapidhash::v3::rapidhash_v3(&bytes)
}

/// Returns the members that `me` passes a message of `origin` on to.
pub fn children<'a>(origin: &Vm, me: &Vm, members: impl Iterator<Item = &'a Vm>) -> Vec<&'a Vm> {
    let mut order: Vec<(u64, &Vm)> =
        members.filter(|vm| *vm != origin).map(|vm| (weight(origin, vm), vm)).collect();
    order.sort_unstable();
    let place = if me == origin {
        Some(0)
    } else {
        order.iter().position(|(_, vm)| *vm == me).map(|index| index + 1)
    };
    let Some(place) = place else {
        return Vec::new();
    };
    // The origin is at place 0, so the member at place p is at index p - 1.
    let first = place * FANOUT;
    order.into_iter().skip(first).take(FANOUT).map(|(_, vm)| vm).collect()
}

#[cfg(test)]
mod tests;
