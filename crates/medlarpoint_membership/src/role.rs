//! Roles assigned by rendezvous hashing, without an election.

use medlarpoint_model::Vm;
use medlarpoint_wire::Record;

/// Task that a few members perform for the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "lowercase")]
pub enum Role {
    /// Watches the store for the fleet.
    Reader,
    /// Fetches new versions from other data centres.
    Relay,
    /// Fetches new versions from other regions.
    Gateway,
    /// Summarises the state of its data centre.
    Reporter,
    /// Keeps an entry in the store, by which daemons that start find its data centre.
    Registrar,
    /// Lends the tokens of workspaces with a quota.
    Allocator,
}

/// Returns the weight of a member in the rendezvous hash of `key`.
pub(crate) fn rendezvous_weight(key: &str, vm: &Vm) -> u64 {
    let mut bytes = Vec::with_capacity(key.len() + vm.as_str().len() + 1);
    bytes.extend_from_slice(key.as_bytes());
    bytes.push(0);
    bytes.extend_from_slice(vm.as_str().as_bytes());
    rapidhash::v3::rapidhash_v3(&bytes)
}

fn weight(role: Role, vm: &Vm) -> u64 {
    rendezvous_weight(role.into(), vm)
}

/// Returns the `count` highest-ranked members for a role.
pub fn ranked<'a>(role: Role, vms: impl Iterator<Item = &'a Vm>, count: usize) -> Vec<&'a Vm> {
    let mut order: Vec<(u64, &Vm)> = vms.map(|vm| (weight(role, vm), vm)).collect();
    order.sort_unstable();
    order.truncate(count);
    order.into_iter().map(|(_, vm)| vm).collect()
}

/// Returns the `count` highest-ranked members for reading the store: those with
/// the lowest latency to it, ties broken by hash. Members for which the store is
/// unreachable are excluded.
pub fn readers<'a>(members: impl Iterator<Item = &'a Record>, count: usize) -> Vec<&'a Vm> {
    let candidates = members.filter_map(|record| Some((record.store_latency?, &record.vm)));
    let mut order: Vec<_> =
        candidates.map(|(store, vm)| (store, weight(Role::Reader, vm), vm)).collect();
    order.sort_unstable();
    order.truncate(count);
    order.into_iter().map(|(_, _, vm)| vm).collect()
}

/// Returns the rank of `local` among `others` for a role; zero is the highest.
pub fn rank<'a>(role: Role, local: &Vm, others: impl Iterator<Item = &'a Vm>) -> usize {
    let local_weight = (weight(role, local), local);
    others.filter(|vm| *vm != local && (weight(role, vm), *vm) < local_weight).count()
}
