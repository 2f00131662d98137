//! Counters of control traffic by distance of the receiver.

use std::sync::atomic::{AtomicU64, Ordering};

use medlarpoint_config::Distance;
use serde::Serialize;

/// Counters of the control traffic that this daemon sends. Bytes include HTTP
/// headers but not TCP and IP headers.
#[derive(Debug, Default)]
pub struct Traffic {
    near: AtomicU64,
    region: AtomicU64,
    remote: AtomicU64,
    remote_config: AtomicU64,
    messages: AtomicU64,
    pulls: AtomicU64,
}

/// Counts of control traffic sent by a daemon since its start.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, serde::Deserialize, schemars::JsonSchema,
)]
#[schemars(rename = "Reading")]
pub struct Counts {
    /// Bytes sent within the data centre.
    pub near: u64,
    /// Bytes sent to other data centres of the region.
    pub region: u64,
    /// Bytes sent to other regions.
    pub remote: u64,
    /// Bytes of configuration fetched from other regions.
    pub remote_config: u64,
    /// Number of messages sent.
    pub messages: u64,
    /// Number of configuration requests sent.
    pub pulls: u64,
}

impl Counts {
    /// Returns the traffic since earlier counts.
    #[must_use]
    pub fn since(self, earlier: Self) -> Self {
        Self {
            near: self.near - earlier.near,
            region: self.region - earlier.region,
            remote: self.remote - earlier.remote,
            remote_config: self.remote_config - earlier.remote_config,
            messages: self.messages - earlier.messages,
            pulls: self.pulls - earlier.pulls,
        }
    }
}

impl Traffic {
    /// Records a message that this daemon sends.
    pub(crate) fn record_sent(&self, distance: Distance, bytes: usize) {
        let counter = match distance {
            Distance::Near => &self.near,
            Distance::Region => &self.region,
            Distance::Remote => &self.remote,
        };
        counter.fetch_add(bytes as u64, Ordering::Relaxed);
        self.messages.fetch_add(1, Ordering::Relaxed);
    }

    /// Records configuration that this daemon fetched; only bytes from other
    /// regions are counted.
    pub(crate) fn record_fetched(&self, distance: Distance, bytes: usize) {
        if distance == Distance::Remote {
            self.remote_config.fetch_add(bytes as u64, Ordering::Relaxed);
        }
    }

    /// Records a request for configuration.
    pub(crate) fn record_pull(&self) {
        self.pulls.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the current values of the counters.
    pub fn counts(&self) -> Counts {
        Counts {
            near: self.near.load(Ordering::Relaxed),
            region: self.region.load(Ordering::Relaxed),
            remote: self.remote.load(Ordering::Relaxed),
            remote_config: self.remote_config.load(Ordering::Relaxed),
            messages: self.messages.load(Ordering::Relaxed),
            pulls: self.pulls.load(Ordering::Relaxed),
        }
    }
}
