//! The members of the fleet.

use std::time::Duration;

use indexmap::IndexMap;
use medlarpoint_model::{DataCentre, Vm};
use medlarpoint_wire::{Brief, Record, Status, View};

use crate::Member;

/// What a record changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Merged {
    /// Nothing: what is known is as new.
    Nothing,
    /// The member was unknown.
    New,
    /// It replaced a record with this liveness.
    Replaced(Status),
}

/// All members known, gone ones included until they are forgotten.
#[derive(Clone, Debug, Default)]
pub struct Table {
    members: IndexMap<Vm, Member>,
}

impl Table {
    /// Looks up a member.
    pub fn get(&self, vm: &Vm) -> Option<&Member> {
        self.members.get(vm)
    }

    /// Iterates over all members.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Iterates over the live members.
    pub fn live(&self) -> impl Iterator<Item = &Record> {
        self.members.values().map(|member| &member.record).filter(|record| record.is_live())
    }

    /// Iterates over the live members of a data centre.
    pub fn live_in<'a>(&'a self, place: &'a DataCentre) -> impl Iterator<Item = &'a Record> {
        self.live().filter(move |record| record.data_centre == *place)
    }

    /// Returns the data centres of live members, in order of name.
    pub fn data_centres(&self) -> Vec<DataCentre> {
        let mut places: Vec<DataCentre> = self.live().map(|r| r.data_centre.clone()).collect();
        places.sort_unstable();
        places.dedup();
        places
    }

    /// Takes a record if it replaces what is known.
    pub(crate) fn merge(&mut self, record: &Record, now: Duration) -> Merged {
        let Some(member) = self.members.get_mut(&record.vm) else {
            if !record.is_live() {
                return Merged::Nothing;
            }
            let member = Member { record: record.clone(), status_since: now };
            self.members.insert(record.vm.clone(), member);
            return Merged::New;
        };
        if !record.replaces(&member.record) {
            return Merged::Nothing;
        }
        let before = member.record.status;
        if before != record.status {
            member.status_since = now;
        }
        member.record = record.clone();
        Merged::Replaced(before)
    }

    /// Forgets members that have been gone since before `limit`.
    pub(crate) fn forget(&mut self, limit: Duration) {
        self.members.retain(|_, member| member.record.is_live() || member.status_since > limit);
    }

    /// Shifts the liveness times of suspected members, after a local pause.
    pub(crate) fn shift_suspects(&mut self, gap: Duration) {
        for member in self.members.values_mut() {
            if member.record.status == Status::Suspect {
                member.status_since += gap;
            }
        }
    }

    /// Returns a digest of each data centre's live records.
    pub fn digests(&self) -> Vec<View> {
        let mut hashes: IndexMap<DataCentre, u64> = IndexMap::new();
        for record in self.live() {
            let hash = hashes.entry(record.data_centre.clone()).or_default();
            *hash = hash.wrapping_add(hash_of(record));
        }
        let view = |(data_centre, hash)| View { data_centre, hash };
        let mut views: Vec<View> = hashes.into_iter().map(view).collect();
        views.sort_unstable_by(|a, b| a.data_centre.cmp(&b.data_centre));
        views
    }

    /// Lists the records of some data centres, or of all when none is named.
    pub fn record_versions(&self, places: &[DataCentre]) -> Vec<Brief> {
        let wanted = |record: &&Record| places.is_empty() || places.contains(&record.data_centre);
        let brief = |record: &Record| Brief {
            vm: record.vm.clone(),
            incarnation: record.incarnation,
            status: record.status,
        };
        self.members.values().map(|m| &m.record).filter(wanted).map(brief).collect()
    }
}

fn hash_of(record: &Record) -> u64 {
    let mut bytes = record.vm.as_str().as_bytes().to_vec();
    bytes.extend_from_slice(&record.incarnation.0.to_le_bytes());
    rapidhash::v3::rapidhash_v3(&bytes)
}
