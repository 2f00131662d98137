//! Contents of a datagram.

use medlarpoint_model::{Version, Vm};
use serde::{Deserialize, Serialize};

use crate::{BootId, DataCentreSummary, Record, TableDigest, Tip};

/// Facts that ride on probes and their answers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Gossip {
    /// Version the sender has in force.
    #[serde(rename = "t")]
    pub tip: Tip,
    /// Changed records.
    #[serde(rename = "r", default, skip_serializing_if = "Vec::is_empty")]
    pub records: Vec<Record>,
    /// Newest summaries known, a few at a time.
    #[serde(rename = "s", default, skip_serializing_if = "Vec::is_empty")]
    pub summaries: Vec<DataCentreSummary>,
    /// Digests of the sender's member table.
    #[serde(rename = "v", default, skip_serializing_if = "Vec::is_empty")]
    pub table_digests: Vec<TableDigest>,
}

/// Content of a datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// Asks for an [`Body::Ack`].
    #[serde(rename = "p")]
    Probe {
        /// Echoed by the answer.
        #[serde(rename = "q")]
        seq: u64,
        /// Facts.
        #[serde(rename = "g")]
        gossip: Gossip,
    },
    /// Answers a [`Body::Probe`].
    #[serde(rename = "a")]
    Ack {
        /// From the probe.
        #[serde(rename = "q")]
        seq: u64,
        /// Facts.
        #[serde(rename = "g")]
        gossip: Gossip,
    },
    /// Asks the receiver to probe `target` on the sender's behalf.
    #[serde(rename = "i")]
    IndirectProbe {
        /// Echoed by the answer.
        #[serde(rename = "q")]
        seq: u64,
        /// Member to probe.
        #[serde(rename = "t")]
        target: Vm,
    },
    /// Announces a newly applied version.
    #[serde(rename = "n")]
    Announce {
        /// The version.
        #[serde(rename = "t")]
        tip: Tip,
    },
    /// Passes on that the store was read, so that everybody can tell how old
    /// its configuration may be.
    #[serde(rename = "f")]
    Freshness {
        /// The daemon that read the store.
        #[serde(rename = "o")]
        origin: Vm,
        /// Run of that daemon.
        #[serde(rename = "b")]
        boot: BootId,
        /// Rises with each reading of a run.
        #[serde(rename = "n")]
        seq: u64,
        /// Version that the sender has in force.
        #[serde(rename = "t")]
        tip: Tip,
        /// Time since the origin read the store, in milliseconds.
        #[serde(rename = "a")]
        age_ms: u64,
    },
    /// Tells a reporter which version the sender has in force.
    #[serde(rename = "r")]
    Report {
        /// The version.
        #[serde(rename = "v")]
        version: Version,
        /// When it was applied, in milliseconds since the Unix epoch.
        #[serde(rename = "m")]
        at_ms: u64,
    },
    /// Confirms a [`Body::Report`].
    #[serde(rename = "k")]
    ReportAck {
        /// The version reported.
        #[serde(rename = "v")]
        version: Version,
    },
}
