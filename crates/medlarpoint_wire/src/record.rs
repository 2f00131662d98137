//! Record of a member, as daemons exchange it.

use std::net::SocketAddr;
use std::sync::Arc;

use medlarpoint_model::{DataCentre, Name, Region, Vm};
use serde::{Deserialize, Serialize};

/// Orders the records of one VM: a higher incarnation replaces a lower one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// Identifier of one run of a daemon.
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
    /// The member acknowledges probes.
    #[serde(rename = "a")]
    Alive,
    /// The member did not acknowledge a probe and may still refute the suspicion.
    #[serde(rename = "s")]
    Suspect,
    /// The member did not refute the suspicion in time.
    #[serde(rename = "d")]
    Dead,
    /// The member left the fleet in a graceful shutdown.
    #[serde(rename = "l")]
    Left,
}

/// Readiness of a target for new calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, strum::Display)]
#[strum(serialize_all = "lowercase")]
pub enum Readiness {
    /// The target accepts new calls.
    #[serde(rename = "r")]
    Ready,
    /// The target finishes its calls and accepts no new ones.
    #[serde(rename = "d")]
    Draining,
}

/// Properties of a target, as announced to its daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Service the target belongs to.
    #[serde(rename = "s")]
    pub service: Name,
    /// Maximum number of calls that the target runs concurrently.
    #[serde(rename = "n")]
    pub slots: u32,
    /// Whether the target accepts new calls.
    #[serde(rename = "g")]
    pub readiness: Readiness,
    /// Software version of the target, if it reports one.
    #[serde(rename = "v", default, skip_serializing_if = "Option::is_none")]
    pub version: Option<Arc<str>>,
    /// Revision of the order for this version that the target's daemon knows. A daemon that
    /// does not know that order sends the target no calls.
    #[serde(rename = "o", default, skip_serializing_if = "Option::is_none")]
    pub order: Option<u64>,
}

/// Round-trip time in power-of-two buckets: the number of bits of its
/// milliseconds. The coarse scale lets members of the same data centre agree on it.
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

/// Record of a member of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// VM of the member.
    #[serde(rename = "v")]
    pub vm: Vm,
    /// Data centre of the VM.
    #[serde(rename = "c")]
    pub data_centre: DataCentre,
    /// Region of the VM.
    #[serde(rename = "r")]
    pub region: Region,
    /// Address for datagrams and control requests.
    #[serde(rename = "p")]
    pub peer: SocketAddr,
    /// Address of the inbound proxy.
    #[serde(rename = "i")]
    pub inbound: SocketAddr,
    /// Current run of the daemon. An attempt names the run for which it is meant.
    #[serde(rename = "b")]
    pub boot: BootId,
    /// Orders the records of this VM; a higher one replaces a lower one.
    #[serde(rename = "n")]
    pub incarnation: Incarnation,
    /// Liveness of the member.
    #[serde(rename = "s")]
    pub status: Status,
    /// Target of the VM, once it has announced itself.
    #[serde(rename = "t", default, skip_serializing_if = "Option::is_none")]
    pub target: Option<Announcement>,
    /// Round-trip time to the store; `None` while the store is unreachable.
    #[serde(rename = "w", default, skip_serializing_if = "Option::is_none")]
    pub store_latency: Option<LatencyBucket>,
}

impl Record {
    /// Returns whether this record replaces `other`, a record of the same VM.
    pub fn replaces(&self, other: &Self) -> bool {
        (self.incarnation, self.status) > (other.incarnation, other.status)
    }

    /// Returns whether the member is presumed to run.
    pub fn is_live(&self) -> bool {
        matches!(self.status, Status::Alive | Status::Suspect)
    }
}
