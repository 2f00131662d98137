//! Periods and limits of the failure detector.

use std::time::Duration;

/// Periods and limits of the failure detector.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Time between probes.
    pub period: Duration,
    /// Time to wait for an ack before indirect probes are requested.
    pub timeout: Duration,
    /// Number of members that indirect probes are requested from.
    pub indirect_probes: usize,
    /// Minimum time in which a suspected member may refute the suspicion.
    pub suspicion_timeout: Duration,
    /// Probes per period that a data centre sends to each other data centre of
    /// its region.
    pub region_rate: f64,
    /// Probes per period that a data centre sends to each data centre of another
    /// region.
    pub remote_rate: f64,
    /// Time after which the record of a dead or departed member is dropped.
    pub tombstone_retention: Duration,
    /// Probes to local members per probe that carries digests of the complete
    /// table.
    pub probes_per_digest: u64,
    /// Minimum interval between two sync requests.
    pub min_sync_interval: Duration,
    /// Age from which the summary of a data centre is considered stale.
    pub max_summary_age: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            period: Duration::from_secs(1),
            timeout: Duration::from_millis(300),
            indirect_probes: 3,
            suspicion_timeout: Duration::from_secs(3),
            region_rate: 1.0,
            remote_rate: 0.5,
            tombstone_retention: Duration::from_secs(600),
            probes_per_digest: 10,
            min_sync_interval: Duration::from_secs(3),
            max_summary_age: Duration::from_secs(15),
        }
    }
}
