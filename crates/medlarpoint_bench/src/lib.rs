//! Load, experiments, fuzz runs and the demo.

pub mod demo;
mod failure;
mod fleet;
pub mod fuzz;
mod preset;

pub use failure::Failure;
pub use fleet::{Fleet, Member, Site, settings};
pub use preset::{Preset, Service};
