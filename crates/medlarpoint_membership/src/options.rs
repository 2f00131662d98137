//! Periods and limits of the failure detector.

use std::time::Duration;

/// Periods and limits of the failure detector.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Time between probes.
    pub period: Duration,
    /// Time to wait for an answer before others are asked to probe.
    pub timeout: Duration,
    /// Members asked to probe on our behalf.
    pub indirect_probes: usize,
    /// Time a suspected member has to refute, at the least.
    pub suspicion_timeout: Duration,
    /// Probes per period that a data centre sends to each other one of its region.
    pub region_rate: f64,
    /// The same to each data centre of another region.
    pub remote_rate: f64,
    /// Time after which a member that is gone is forgotten.
    pub tombstone_retention: Duration,
    /// Probes between comparisons of the whole table with a local member.
    pub probes_per_digest: u64,
    /// Shortest time between two table exchanges.
    pub min_sync_interval: Duration,
    /// Age at which a data centre's summary no longer counts.
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
