//! Counts control traffic by how far it goes.

use std::sync::atomic::{AtomicU64, Ordering};

use medlarpoint_config::Distance;
use serde::Serialize;

/// Control bytes sent by this daemon, headers of HTTP included, those of TCP
/// and IP left out.
#[derive(Debug, Default)]
pub struct Traffic {
    near: AtomicU64,
    region: AtomicU64,
    remote: AtomicU64,
    remote_config: AtomicU64,
    messages: AtomicU64,
    pulls: AtomicU64,
}

/// A reading of [`Traffic`].
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, serde::Deserialize, schemars::JsonSchema,
)]
#[schemars(rename = "Reading")]
pub struct Counts {
    /// Bytes to the same data centre.
    pub near: u64,
    /// Bytes to other data centres of the region.
    pub region: u64,
    /// Bytes to other regions.
    pub remote: u64,
    /// Bytes of configuration fetched from other regions.
    pub remote_config: u64,
    /// Messages sent.
    pub messages: u64,
    /// Requests for configuration made.
    pub pulls: u64,
}

impl Counts {
    /// Returns what came after an earlier reading.
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
    pub(crate) fn record_sent(&self, distance: Distance, bytes: usize) {
        let counter = match distance {
            Distance::Near => &self.near,
            Distance::Region => &self.region,
            Distance::Remote => &self.remote,
        };
        counter.fetch_add(bytes as u64, Ordering::Relaxed);
        self.messages.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts configuration fetched by this daemon from another region.
    pub(crate) fn record_fetched(&self, distance: Distance, bytes: usize) {
        if distance == Distance::Remote {
            self.remote_config.fetch_add(bytes as u64, Ordering::Relaxed);
        }
    }

    /// Counts a request for configuration.
    pub(crate) fn record_pull(&self) {
        self.pulls.fetch_add(1, Ordering::Relaxed);
    }

    /// Reads the counters.
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
