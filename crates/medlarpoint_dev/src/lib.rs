//! Generated documentation and its check.

mod cli;
mod events;
mod generate;
mod outcomes;
mod settings;

pub use generate::{GenerateError, Mode, generate_all};
