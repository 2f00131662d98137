//! Renders documentation from code and checks that it is up to date.

mod cli;
mod events;
mod generate;
mod outcomes;
mod settings;

pub use generate::{GenerateError, Mode, generate_all};
