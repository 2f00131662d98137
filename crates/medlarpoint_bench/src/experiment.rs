//! Experiments: each ends in one JSON object.

pub mod blocking;
pub mod capacity;
pub mod convergence;
pub mod crest;
pub mod faults;
pub mod overhead;
mod setting;
pub mod stragglers;

pub use setting::{Setting, quantile_ms};
