//! Table of the members of the fleet.

use std::time::Duration;

use indexmap::IndexMap;
use medlarpoint_model::{DataCentre, Vm};
use medlarpoint_wire::{Record, RecordVersion, Status, TableDigest};

use crate::Member;

/// Effect of a record on the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Merged {
    /// None: the known record is at least as new.
    Unchanged,
    /// The member was unknown.
    New,
    /// The record replaced one with this liveness.
    Replaced(Status),
}

/// All known members, including dead and departed ones until their tombstones
/// expire.
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

    /// Iterates over the live members other than `local`.
    pub fn live_others<'a>(&'a self, local: &'a Vm) -> impl Iterator<Item = &'a Member> {
        let others = self.members.values().filter(move |member| member.record.vm != *local);
        others.filter(|member| member.record.is_live())
    }

    /// Iterates over the live members of a data centre.
    pub fn live_in<'a>(&'a self, data_centre: &'a DataCentre) -> impl Iterator<Item = &'a Record> {
        self.live().filter(move |record| record.data_centre == *data_centre)
    }

    /// Returns the data centres of live members, in order of name.
    pub fn data_centres(&self) -> Vec<DataCentre> {
        let mut data_centres: Vec<DataCentre> =
            self.live().map(|r| r.data_centre.clone()).collect();
        data_centres.sort_unstable();
        data_centres.dedup();
        data_centres
    }

    /// Merges a record if it replaces the known one.
    pub(crate) fn merge(&mut self, record: &Record, now: Duration) -> Merged {
        let Some(member) = self.members.get_mut(&record.vm) else {
            if !record.is_live() {
                return Merged::Unchanged;
            }
            let member = Member { record: record.clone(), status_since: now, live_since: now };
            self.members.insert(record.vm.clone(), member);
            return Merged::New;
        };
        if !record.replaces(&member.record) {
            return Merged::Unchanged;
        }
        let before = member.record.status;
        if before != record.status {
            member.status_since = now;
        }
        if !member.record.is_live() {
            member.live_since = now;
        }
        member.record = record.clone();
        Merged::Replaced(before)
    }

    /// Drops members that have been dead or departed since `limit` or earlier.
    pub(crate) fn drop_tombstones(&mut self, limit: Duration) {
        self.members.retain(|_, member| member.record.is_live() || member.status_since > limit);
    }

    /// Extends the time that suspected members have to refute by `gap`, after a
    /// local pause.
    pub(crate) fn shift_suspects(&mut self, gap: Duration) {
        for member in self.members.values_mut() {
            if member.record.status == Status::Suspect {
                member.status_since += gap;
            }
        }
    }

    /// Returns a digest of each data centre's live records.
    pub fn digests(&self) -> Vec<TableDigest> {
        let mut hashes: IndexMap<DataCentre, u64> = IndexMap::new();
        for record in self.live() {
            let hash = hashes.entry(record.data_centre.clone()).or_default();
            *hash = hash.wrapping_add(hash_of(record));
        }
        let view = |(data_centre, hash)| TableDigest { data_centre, hash };
        let mut views: Vec<TableDigest> = hashes.into_iter().map(view).collect();
        views.sort_unstable_by(|a, b| a.data_centre.cmp(&b.data_centre));
        views
    }

    /// Returns the incarnation and the liveness of each member of some data
    /// centres, or of all if none is named.
    pub fn record_versions(&self, data_centres: &[DataCentre]) -> Vec<RecordVersion> {
        let wanted = |record: &&Record| {
            data_centres.is_empty() || data_centres.contains(&record.data_centre)
        };
        let brief = |record: &Record| RecordVersion {
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
