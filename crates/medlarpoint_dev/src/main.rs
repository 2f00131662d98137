//! Command-line program with tools for developers.

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
    /// Renders the documents that are generated from code.
    GenerateAll {
        /// Checks that the documents are up to date, without writing them.
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
        Err(error) => {
            eprintln!("medlarpoint_dev: {error}");
            ExitCode::FAILURE
        }
    }
}
