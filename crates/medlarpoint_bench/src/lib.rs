//! Experiments under load, fuzzers, soak tests and the demo.

pub mod demo;
pub mod experiment;
mod failure;
mod fleet;
pub mod fuzz;
pub mod node;
mod preset;
mod processes;
pub mod report;
pub mod soak;
mod usage;

pub use failure::Failure;
pub use fleet::{Fleet, Member, Site, settings};
pub use preset::{Preset, Service};
