//! Stateful fuzzing of the decision logic against simple oracles.

mod calls;
mod config;
mod members;
mod reference;
mod runner;

pub use calls::{CallMutation, Calls};
pub use config::{Config, ConfigMutation};
pub use members::{MemberMutation, Members};
pub use runner::{Counterexample, Summary, run};
