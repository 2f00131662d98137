//! Roles that this daemon and other members hold, by rendezvous hash.

use std::net::SocketAddr;

use medlarpoint_config::pull::Rank;
use medlarpoint_membership::{Role, rank, ranked};
use medlarpoint_model::Region;
use medlarpoint_wire::Record;

use crate::state::Control;

/// Number of members that hold each role.
pub(crate) const HOLDERS: usize = 2;

/// Returns this daemon's rank as a gateway of its region.
pub(crate) fn gateway_rank(control: &Control) -> usize {
    let own_record = control.detector.local_record();
    let members = control.detector.table().live();
    let members = members.filter(|record| record.region == own_record.region);
    rank(Role::Gateway, &own_record.vm, members.map(|record| &record.vm))
}

/// Returns this daemon's rank in a role: within its region for gateways, within its
/// data centre for the other roles.
pub(crate) fn rank_in(control: &Control, role: Role) -> Rank {
    let own_record = control.detector.local_record();
    let table = control.detector.table();
    let position = match role {
        Role::Gateway => gateway_rank(control),
        Role::Relay | Role::Reader | Role::Reporter | Role::Registrar | Role::Allocator => rank(
            role,
            &own_record.vm,
            table.live_in(&own_record.data_centre).map(|record| &record.vm),
        ),
    };
    match position {
        0 => Rank::First,
        1 => Rank::Second,
        _ => Rank::Rest,
    }
}

/// Returns the peer addresses of the members that hold a role.
pub(crate) fn holders<'a>(
    members: impl Iterator<Item = &'a Record>,
    role: Role,
) -> Vec<SocketAddr> {
    let members: Vec<&Record> = members.collect();
    let holders = ranked(role, members.iter().map(|record| &record.vm), HOLDERS);
    members.iter().filter(|r| holders.contains(&&r.vm)).map(|record| record.peer).collect()
}

/// Returns the regions with live members, in order.
pub(crate) fn regions(control: &Control) -> Vec<Region> {
    let mut regions: Vec<Region> =
        control.detector.table().live().map(|record| record.region.clone()).collect();
    regions.sort_unstable();
    regions.dedup();
    regions
}
