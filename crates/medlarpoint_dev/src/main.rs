//! Tools for developers.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use medlarpoint_dev::{Mode, generate_all};

/// Tools for developers of medlarpoint.
#[derive(Debug, Parser)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Renders the documents that come from code.
    GenerateAll {
        /// Only checks that they are current.
        #[arg(long)]
        check: bool,
    },
}

fn main() -> ExitCode {
    let Command::GenerateAll { check } = Arguments::parse().command;
    let mode = if check { Mode::Check } else { Mode::Write };
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..");
    match generate_all(&root, mode) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("medlarpoint_dev: {failure}");
            ExitCode::FAILURE
        }
    }
}
