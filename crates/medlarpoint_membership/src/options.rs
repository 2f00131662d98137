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
    pub indirect: usize,
    /// Time a suspected member has to refute, at the least.
    pub suspicion: Duration,
    /// Probes per period that a data centre sends to each other one of its region.
    pub region_rate: f64,
    /// The same to each data centre of another region.
    pub remote_rate: f64,
    /// Time after which a member that is gone is forgotten.
    pub tombstone: Duration,
    /// Probes between comparisons of the whole table with a local member.
    pub view_every: u64,
    /// Shortest time between two table exchanges.
    pub sync_gap: Duration,
    /// Age at which a data centre's summary no longer counts.
    pub stale: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            period: Duration::from_secs(1),
            timeout: Duration::from_millis(300),
            indirect: 3,
            suspicion: Duration::from_secs(3),
            region_rate: 1.0,
            remote_rate: 0.5,
            tombstone: Duration::from_secs(600),
            view_every: 10,
            sync_gap: Duration::from_secs(3),
            stale: Duration::from_secs(15),
        }
    }
}
