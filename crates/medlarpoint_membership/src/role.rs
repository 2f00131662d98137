//! Roles by rendezvous hash, without an election.

use medlarpoint_model::Vm;
use medlarpoint_wire::Record;

/// Work that a few members do for all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "lowercase")]
pub enum Role {
    /// Watches the store for the fleet.
    Reader,
    /// Fetches new versions from other data centres.
    Relay,
    /// Fetches new versions from other regions.
    Gateway,
    /// Sums up the state of its data centre.
    Reporter,
}

fn weight(role: Role, vm: &Vm) -> u64 {
    let label: &'static str = role.into();
    let mut bytes = Vec::with_capacity(label.len() + vm.as_str().len() + 1);
    bytes.extend_from_slice(label.as_bytes());
    bytes.push(0);
    bytes.extend_from_slice(vm.as_str().as_bytes());
    rapidhash::v3::rapidhash_v3(&bytes)
}

/// Returns the `count` members that rank first for a role.
pub fn ranked<'a>(role: Role, vms: impl Iterator<Item = &'a Vm>, count: usize) -> Vec<&'a Vm> {
    let mut order: Vec<(u64, &Vm)> = vms.map(|vm| (weight(role, vm), vm)).collect();
    order.sort_unstable();
    order.truncate(count);
    order.into_iter().map(|(_, vm)| vm).collect()
}

/// Returns the members that rank first to read the store: the nearest to it,
/// and among those by hash. Members that cannot reach it are left out.
pub fn readers<'a>(members: impl Iterator<Item = &'a Record>, count: usize) -> Vec<&'a Vm> {
    let near = members.filter_map(|record| Some((record.store_latency?, &record.vm)));
    let mut order: Vec<_> = near.map(|(store, vm)| (store, weight(Role::Reader, vm), vm)).collect();
    order.sort_unstable();
    order.truncate(count);
    order.into_iter().map(|(_, _, vm)| vm).collect()
}

/// Returns the place of `me` among `others` for a role; zero ranks first.
pub fn rank<'a>(role: Role, me: &Vm, others: impl Iterator<Item = &'a Vm>) -> usize {
    let mine = (weight(role, me), me);
    others.filter(|vm| *vm != me && (weight(role, vm), *vm) < mine).count()
}
