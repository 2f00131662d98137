//! Stateful fuzzing of the decisions against simple oracles.

mod calls;
mod config;
mod members;
mod runner;
mod steps;

pub use calls::{CallPlant, Calls};
pub use config::{Config, ConfigPlant};
pub use members::{MemberPlant, Members};
pub use runner::{Found, Summary, run};
