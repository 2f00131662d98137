//! Progressive rollouts: an operator's order moves a service to a new version of its targets.
//!
//! [`Book`] merges what daemons tell each other of orders. [`Split`] decides for each call of
//! one daemon between the targets of the old and of the new version, and counts their
//! responses. [`Judge`] compares the counts of all daemons. [`Review`] combines the reports of
//! the daemons with the time of the order, and decides on its phase.

mod book;
mod canary;
mod counts;
mod exposure;
mod judge;
mod order;
mod review;
mod split;

pub use book::{Book, Rollout};
pub use canary::{canary_size, canary_targets};
pub use counts::{Counts, RouteCounts, Tally};
pub use exposure::Exposure;
pub use judge::{Judge, Verdict};
pub use order::{Order, OrderId, Phase};
pub use review::{DaemonReport, Decision, FleetView, Review};
pub use split::{Choice, Group, Observation, Split, Target};
