//! The members that lend the tokens of workspaces with a quota.

use std::time::Duration;

use medlarpoint_model::{Name, Vm};
use medlarpoint_wire::{Record, Status};

use crate::role::rendezvous_weight;
use crate::settling::Settling;
use crate::{Role, Table, ranked};

/// Number of members that one allocator lends to, which bounds its messages.
const MEMBERS_PER_ALLOCATOR: usize = 256;

/// The allocators as one member sees them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Allocators {
    /// Records of the allocators, by rank.
    pub holders: Vec<Record>,
    /// Number of members that respond to probes, including the local one. Suspected members
    /// do not count, since in a partition the other side may already have an allocator when
    /// they are declared dead.
    pub reachable: u32,
    /// Number of members that have not left, including dead ones until their tombstones
    /// expire.
    pub known: u32,
}

impl Allocators {
    /// Determines the allocators. Members count once they have been live for `settling`. If
    /// this holds for less than half of them, the local table is new and does not tell for
    /// how long the others have been live; all of them count then, except for the local one.
    pub fn of(table: &Table, local: &Vm, now: Duration, settling: Duration) -> Self {
        let members = || table.members().filter(|member| member.record.is_live());
        let settled = |member: &&crate::Member| now.saturating_sub(member.live_since) >= settling;
        let mut candidates: Vec<&Record> =
            members().filter(settled).map(|member| &member.record).collect();
        let live = members().count();
        if candidates.len() * 2 < live {
            let others = members().filter(|member| member.record.vm != *local);
            candidates = others.map(|member| &member.record).collect();
        }
        let count = live.div_ceil(MEMBERS_PER_ALLOCATOR);
        let holders = ranked(Role::Allocator, candidates.iter().map(|record| &record.vm), count);
        let holders = holders.into_iter().filter_map(|vm| Some(table.get(vm)?.record.clone()));
        let counted = |wanted: fn(Status) -> bool| {
            table.members().filter(|member| wanted(member.record.status)).count() as u32
        };
        Self {
            holders: holders.collect(),
            reachable: counted(|status| status == Status::Alive),
            known: counted(|status| status != Status::Left),
        }
    }

    /// Returns the allocator that is responsible for a workspace.
    pub fn holder(&self, workspace: &Name) -> Option<&Record> {
        self.holders
            .iter()
            .min_by_key(|record| (rendezvous_weight(workspace.as_str(), &record.vm), &record.vm))
    }
}

/// Whether the local table may be relied on for the number of known members.
///
/// A daemon that has restarted on the smaller side of a partition does not know the members
/// of the other side, and would lend entire quotas. Some members keep an entry in the store;
/// if one of them is unknown here, the daemon does not lend. After an outage of the store the
/// entries are written again, so that an empty listing proves that there are no others only once
/// the store has settled.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Trust {
    /// Members with an entry, once they have been listed.
    registered: Option<Vec<Vm>>,
    store: Settling,
    /// Whether the table once held all of them. It keeps dead members from then on.
    established: bool,
}

impl Trust {
    /// Records the members that have an entry in the store, by a listing that was asked for at
    /// `sent_at`.
    pub fn on_listing(&mut self, sent_at: Duration, now: Duration, registered: Vec<Vm>) {
        self.store.on_read(sent_at, now);
        self.registered = Some(registered);
    }

    /// Records that the store has not listed the members.
    pub fn on_listing_failed(&mut self) {
        self.store.on_error();
    }

    /// Returns whether this daemon may lend. Unless the listing has settled, another live
    /// member has to be known.
    pub fn may_lend(&mut self, table: &Table, local: &Vm) -> bool {
        let knows_others = table.live_others(local).next().is_some();
        self.established = self.established
            || match &self.registered {
                Some(registered) => {
                    registered.iter().all(|vm| table.get(vm).is_some())
                        && (knows_others || self.store.is_settled())
                }
                None => knows_others,
            };
        self.established
    }
}

#[cfg(test)]
mod tests;
