//! Stateful fuzzing of the decisions against simple oracles.

mod calls;
mod config;
mod members;
mod runner;
mod steps;

pub use calls::{CallMutation, Calls};
pub use config::{Config, ConfigMutation};
pub use members::{MemberMutation, Members};
pub use runner::{Counterexample, Summary, run};
