//! Experiments; each of them returns a report that is printed as one JSON object.

pub mod blocking;
mod call_flags;
pub mod capacity;
pub mod convergence;
pub mod crest;
pub mod faults;
pub mod overhead;
pub mod quota;
pub mod stragglers;

pub use call_flags::{CallFlags, quantile_ms};
