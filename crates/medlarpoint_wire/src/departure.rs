//! Target processes that leave, as daemons tell each other and as the store keeps them.

use std::sync::Arc;

use medlarpoint_model::Vm;
use serde::{Deserialize, Serialize};

/// A process of a target that leaves or has left.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departure {
    /// Instance id of the process.
    #[serde(rename = "i")]
    pub instance: Arc<str>,
    /// Start time of the process, in milliseconds since the Unix epoch; later if that is not
    /// known.
    #[serde(rename = "b")]
    pub born_ms: u64,
    /// Sequence number of the report by which the process said that it drains; absent if it
    /// has deregistered.
    #[serde(rename = "q", default, skip_serializing_if = "Option::is_none")]
    pub last_seq: Option<u64>,
    /// Time since the departure when this was sent, in milliseconds.
    #[serde(rename = "a")]
    pub age_ms: u64,
    /// Era of the store in which the departure was stored; absent if the sender does not know
    /// of that.
    #[serde(rename = "s", default, skip_serializing_if = "Option::is_none")]
    pub stored_in: Option<u64>,
}

/// Processes of the target on a VM that leave or have left. A daemon tells of its own target's
/// and gets back what the receiver knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departures {
    /// VM of the target.
    #[serde(rename = "v")]
    pub vm: Vm,
    /// The processes.
    #[serde(rename = "p", default)]
    pub processes: Vec<Departure>,
    /// In a response, the number of daemons that keep the departures of this VM, if the
    /// responder is one of them and has been running for long enough to know them. Zero
    /// otherwise: that it names no process then proves nothing.
    #[serde(rename = "k", default)]
    pub keepers: u32,
}
