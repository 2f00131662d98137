//! Exchange of whole member tables, used when digests differ.

use medlarpoint_model::{DataCentre, Name, Vm};
use serde::{Deserialize, Serialize};

use crate::{Incarnation, Record, Status};

/// Digest of one data centre's part of the member table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableDigest {
    /// The data centre.
    #[serde(rename = "c")]
    pub data_centre: DataCentre,
    /// Sum of the hashes of its records.
    #[serde(rename = "h")]
    pub hash: u64,
}

/// Identity of a record without its content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordVersion {
    /// The VM.
    #[serde(rename = "v")]
    pub vm: Vm,
    /// Incarnation of the record.
    #[serde(rename = "n")]
    pub incarnation: Incarnation,
    /// Liveness in the record.
    #[serde(rename = "s")]
    pub status: Status,
}

/// Asks for the records that are newer than those listed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SyncRequest {
    /// Protocol version of the sender.
    #[serde(rename = "p")]
    pub protocol: u16,
    /// Fleet of the sender.
    #[serde(rename = "f")]
    pub fleet: Name,
    /// Record of the sender.
    #[serde(rename = "s")]
    pub from: Record,
    /// Data centres to compare; empty compares all.
    #[serde(rename = "c", default)]
    pub data_centres: Vec<DataCentre>,
    /// What the sender has of them.
    #[serde(rename = "h")]
    pub have: Vec<RecordVersion>,
}

/// Answer to a [`SyncRequest`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SyncResponse {
    /// Records that are newer than the sender's.
    #[serde(rename = "r")]
    pub newer: Vec<Record>,
    /// VMs of which the sender has a newer record.
    #[serde(rename = "w")]
    pub wanted: Vec<Vm>,
}
