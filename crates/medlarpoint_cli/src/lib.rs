//! Command-line tool for operators.

mod arguments;
mod client;
mod command;
mod diff;
mod exit;
mod explain;
mod output;
mod progress;

pub use arguments::{Arguments, Command, OutputFormat};
pub use command::run;
pub use exit::Exit;
