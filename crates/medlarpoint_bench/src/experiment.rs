//! Experiments: each ends in one JSON object.

pub mod blocking;
mod call_flags;
pub mod capacity;
pub mod convergence;
pub mod crest;
pub mod faults;
pub mod overhead;
pub mod stragglers;

pub use call_flags::{CallFlags, quantile_ms};
