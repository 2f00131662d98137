//! Synchronisation of member tables whose digests differ.

use medlarpoint_model::{DataCentre, Name, Vm};
use serde::{Deserialize, Serialize};

use crate::{Incarnation, Record, Status};

/// Digest of the records of one data centre in the member table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableDigest {
    /// Data centre of the records.
    #[serde(rename = "c")]
    pub data_centre: DataCentre,
    /// Sum of the hashes of the records.
    #[serde(rename = "h")]
    pub hash: u64,
}

/// Version of a member record, without the content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordVersion {
    /// VM of the member.
    #[serde(rename = "v")]
    pub vm: Vm,
    /// Incarnation of the record.
    #[serde(rename = "n")]
    pub incarnation: Incarnation,
    /// Liveness in the record.
    #[serde(rename = "s")]
    pub status: Status,
}

/// Request for the records that are newer than those listed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SyncRequest {
    /// Protocol version of the sender.
    #[serde(rename = "p")]
    pub protocol: u16,
    /// Fleet of the sender.
    #[serde(rename = "f")]
    pub fleet: Name,
    /// Member record of the sender.
    #[serde(rename = "s")]
    pub from: Record,
    /// Data centres to compare; empty compares all.
    #[serde(rename = "c", default)]
    pub data_centres: Vec<DataCentre>,
    /// Versions of the records that the sender has for these data centres.
    #[serde(rename = "h")]
    pub have: Vec<RecordVersion>,
}

/// Response to a [`SyncRequest`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SyncResponse {
    /// Records that are newer than those of the requesting daemon.
    #[serde(rename = "r")]
    pub newer: Vec<Record>,
    /// VMs for which the requesting daemon has a newer record, to be sent back.
    #[serde(rename = "w")]
    pub wanted: Vec<Vm>,
}
