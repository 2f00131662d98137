//! What the fleet knows of a member.

use std::net::SocketAddr;

use medlarpoint_model::{DataCentre, Name, Region, Vm};
use serde::{Deserialize, Serialize};

/// Orders the records of one VM: a higher incarnation replaces a lower one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// Identity of one run of a daemon.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct BootId(pub u64);

/// Liveness of a member. Within one incarnation a later variant replaces an
/// earlier one.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, strum::Display,
)]
#[strum(serialize_all = "lowercase")]
pub enum Status {
    /// Answers probes.
    #[serde(rename = "a")]
    Alive,
    /// Did not answer; may still refute.
    #[serde(rename = "s")]
    Suspect,
    /// Did not refute in time.
    #[serde(rename = "d")]
    Dead,
    /// Shut down on purpose.
    #[serde(rename = "l")]
    Left,
}

/// Whether a target takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, strum::Display)]
#[strum(serialize_all = "lowercase")]
pub enum Readiness {
    /// Takes new work.
    #[serde(rename = "r")]
    Ready,
    /// Finishes what it has and takes nothing new.
    #[serde(rename = "d")]
    Draining,
}

/// A target as announced to its daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Service the target belongs to.
    #[serde(rename = "s")]
    pub service: Name,
    /// Calls it runs at a time.
    #[serde(rename = "n")]
    pub slots: u32,
    /// Whether it takes new work.
    #[serde(rename = "g")]
    pub readiness: Readiness,
}

/// Distance in time, in powers of two of a millisecond, so that members at the
/// same place agree on it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct LatencyBucket(pub u8);

impl From<std::time::Duration> for LatencyBucket {
    fn from(round_trip: std::time::Duration) -> Self {
        let bits = u128::BITS - round_trip.as_millis().leading_zeros();
        Self(bits as u8)
    }
}

/// A member of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The VM.
    #[serde(rename = "v")]
    pub vm: Vm,
    /// Its data centre.
    #[serde(rename = "c")]
    pub data_centre: DataCentre,
    /// Its region.
    #[serde(rename = "r")]
    pub region: Region,
    /// Address for datagrams and control requests.
    #[serde(rename = "p")]
    pub peer: SocketAddr,
    /// Address of the inbound proxy.
    #[serde(rename = "i")]
    pub inbound: SocketAddr,
    /// Run of the daemon; an attempt names the run it was meant for.
    #[serde(rename = "b")]
    pub boot: BootId,
    /// Orders the records of this VM.
    #[serde(rename = "n")]
    pub incarnation: Incarnation,
    /// Liveness.
    #[serde(rename = "s")]
    pub status: Status,
    /// The target, once it has announced itself.
    #[serde(rename = "t", default, skip_serializing_if = "Option::is_none")]
    pub target: Option<Announcement>,
    /// How far the store is from here; `None` while it cannot be reached.
    #[serde(rename = "w", default, skip_serializing_if = "Option::is_none")]
    pub store_latency: Option<LatencyBucket>,
}

impl Record {
    /// Tells whether this record replaces `other`, a record of the same VM.
    pub fn replaces(&self, other: &Self) -> bool {
        (self.incarnation, self.status) > (other.incarnation, other.status)
    }

    /// Tells whether the member is believed to run.
    pub fn is_live(&self) -> bool {
        matches!(self.status, Status::Alive | Status::Suspect)
    }
}
