//! Content of a datagram.

use medlarpoint_model::{Version, Vm};
use serde::{Deserialize, Serialize};

use crate::{BootId, DataCentreSummary, QuotaLoan, QuotaWant, Record, Suspect, TableDigest, Tip};

/// State that is piggybacked on probes and their acknowledgements.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Gossip {
    /// Version the sender has in force.
    #[serde(rename = "t")]
    pub tip: Tip,
    /// Recently changed member records.
    #[serde(rename = "r", default, skip_serializing_if = "Vec::is_empty")]
    pub records: Vec<Record>,
    /// A few of the newest summaries that the sender knows.
    #[serde(rename = "s", default, skip_serializing_if = "Vec::is_empty")]
    pub summaries: Vec<DataCentreSummary>,
    /// Digests of the sender's member table, one per data centre.
    #[serde(rename = "v", default, skip_serializing_if = "Vec::is_empty")]
    pub table_digests: Vec<TableDigest>,
    /// A few of the calls under which targets have crashed.
    #[serde(rename = "x", default, skip_serializing_if = "Vec::is_empty")]
    pub suspects: Vec<Suspect>,
}

/// Content of a datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// Requests a [`Body::Ack`].
    #[serde(rename = "p")]
    Probe {
        /// Sequence number, echoed by the acknowledgement.
        #[serde(rename = "q")]
        seq: u64,
        /// Piggybacked state of the sender.
        #[serde(rename = "g")]
        gossip: Gossip,
    },
    /// Acknowledges a [`Body::Probe`].
    #[serde(rename = "a")]
    Ack {
        /// Sequence number of the probe.
        #[serde(rename = "q")]
        seq: u64,
        /// Piggybacked state of the sender.
        #[serde(rename = "g")]
        gossip: Gossip,
    },
    /// Requests that the receiver probes `target` on the sender's behalf.
    #[serde(rename = "i")]
    Indirect {
        /// Sequence number, echoed by the acknowledgement.
        #[serde(rename = "q")]
        seq: u64,
        /// VM of the member to probe.
        #[serde(rename = "t")]
        target: Vm,
    },
    /// Announces a version that the sender has newly applied.
    #[serde(rename = "n")]
    Announce {
        /// Version that the sender has in force.
        #[serde(rename = "t")]
        tip: Tip,
    },
    /// Propagates that a daemon has read the store, so that every daemon knows
    /// how old its configuration may be.
    #[serde(rename = "f")]
    Fresh {
        /// VM of the daemon that read the store.
        #[serde(rename = "o")]
        origin: Vm,
        /// Run of the daemon that read the store.
        #[serde(rename = "b")]
        boot: BootId,
        /// Sequence number of the store read, rising within one run.
        #[serde(rename = "n")]
        seq: u64,
        /// Version that the sender has in force.
        #[serde(rename = "t")]
        tip: Tip,
        /// Time since the origin read the store, in milliseconds.
        #[serde(rename = "a")]
        age_ms: u64,
        /// Version in force on the origin after the read; `None` if the origin does not
        /// state it.
        #[serde(rename = "v", default)]
        read_version: Option<Version>,
    },
    /// Reports the version that the sender has in force to a reporter.
    #[serde(rename = "r")]
    Report {
        /// Version that the sender has in force.
        #[serde(rename = "v")]
        version: Version,
        /// Wall-clock time at which the version was applied, in milliseconds since
        /// the Unix epoch.
        #[serde(rename = "m")]
        at_ms: u64,
    },
    /// Propagates that targets have crashed under calls, or that such calls were answered.
    #[serde(rename = "x")]
    Suspects {
        /// VM of the daemon that broadcasts this.
        #[serde(rename = "o")]
        origin: Vm,
        /// What it knows about the calls.
        #[serde(rename = "s")]
        suspects: Vec<Suspect>,
    },
    /// Acknowledges a [`Body::Report`].
    #[serde(rename = "k")]
    Receipt {
        /// Version from the report.
        #[serde(rename = "v")]
        version: Version,
    },
    /// Asks an allocator for tokens of workspaces with a quota.
    #[serde(rename = "l")]
    QuotaRequest {
        /// Run of the sender.
        #[serde(rename = "b")]
        boot: BootId,
        /// Number of the request, rising within one run.
        #[serde(rename = "q")]
        seq: u64,
        /// Number of members that the sender knows of, including dead ones.
        #[serde(rename = "k")]
        known: u32,
        /// What is wanted, by workspace.
        #[serde(rename = "w")]
        wants: Vec<QuotaWant>,
    },
    /// Answers a [`Body::QuotaRequest`].
    #[serde(rename = "m")]
    QuotaGrant {
        /// Run of the daemon that asked.
        #[serde(rename = "b")]
        boot: BootId,
        /// Number of the request.
        #[serde(rename = "q")]
        seq: u64,
        /// Tokens that are lent, by workspace.
        #[serde(rename = "t")]
        loans: Vec<QuotaLoan>,
    },
}
