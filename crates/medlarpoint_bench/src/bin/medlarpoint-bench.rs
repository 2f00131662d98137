//! Experiments and long fuzz runs.

use std::process::ExitCode;

use clap::{Parser, Subcommand, ValueEnum};
use medlarpoint_bench::fuzz;

/// Experiments and long fuzz runs.
#[derive(Debug, Parser)]
#[command(name = "medlarpoint-bench", version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Fuzzes decisions against an oracle.
    Fuzz {
        /// What to fuzz.
        #[arg(value_enum)]
        subject: Subject,
        /// Steps to take.
        #[arg(long, default_value_t = 1_000_000)]
        steps: usize,
        /// Seed.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
}

/// What can be fuzzed.
#[derive(Clone, Copy, Debug, ValueEnum)]
enum Subject {
    /// Commits, propagation, recovery.
    Config,
    /// Routing, retries, at-most-once.
    Calls,
    /// Failure detection.
    Members,
}

fn main() -> ExitCode {
    match Arguments::parse().command {
        Command::Fuzz { subject, steps, seed } => run_fuzz(subject, steps, seed),
    }
}

fn run_fuzz(subject: Subject, steps: usize, seed: u64) -> ExitCode {
    let result = match subject {
        Subject::Config => fuzz::run::<fuzz::Config<()>>(steps, seed),
        Subject::Calls => fuzz::run::<fuzz::Calls<()>>(steps, seed),
        Subject::Members => fuzz::run::<fuzz::Members<()>>(steps, seed),
    };
    match result {
        Ok(summary) => {
            println!("{} steps in {} cases, nothing found", summary.steps, summary.cases);
            ExitCode::SUCCESS
        }
        Err(found) => {
            eprintln!("{found}");
            ExitCode::FAILURE
        }
    }
}
