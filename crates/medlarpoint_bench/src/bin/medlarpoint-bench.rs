//! Experiments and long fuzz runs.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand, ValueEnum};
use medlarpoint_bench::experiment::{
    blocking, capacity, convergence, crest, faults, overhead, stragglers,
};
use medlarpoint_bench::{Failure, fuzz, node, report, soak};
use serde::Serialize;

/// Experiments and long fuzz runs.
#[derive(Debug, Parser)]
#[command(name = "medlarpoint-bench", version)]
struct Arguments {
    /// Shape of the output: one line of JSON at the end, or the same indented.
    #[arg(long, global = true, value_enum, default_value_t)]
    output_format: OutputFormat,
    #[command(subcommand)]
    command: Command,
}

/// Shapes of the output.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, ValueEnum)]
enum OutputFormat {
    /// Indented.
    #[default]
    Text,
    /// One line.
    Json,
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
    /// Time until a change is in force everywhere, and its cost; each daemon is a process.
    Convergence(convergence::Flags),
    /// Slopes at several sizes, worked out for 1,100 daemons.
    Capacity(capacity::Flags),
    /// A direct call against one through the proxies.
    Overhead(overhead::Flags),
    /// Demand that swings to three times the capacity.
    Crest(crest::Flags),
    /// Short work beside long work.
    Blocking(blocking::Flags),
    /// One target in five slow for moments.
    Stragglers(stragglers::Flags),
    /// Kills, silent connections and a cut, all at once.
    Faults(faults::Flags),
    /// Draws figures from the journal and from experiments.
    Report(report::Flags),
    /// Disturbs real processes from outside and checks the promises.
    Soak(soak::Flags),
    /// Runs one daemon for an experiment.
    #[command(hide = true)]
    Node {
        /// Settings of the daemon.
        #[arg(long, required_unless_present = "watch")]
        settings: Option<PathBuf>,
        /// Only watches this store.
        #[arg(long)]
        watch: Option<SocketAddr>,
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
    let arguments = Arguments::parse();
    if let Command::Fuzz { subject, steps, seed } = arguments.command {
        return run_fuzz(subject, steps, seed);
    }
    let mut builder = match &arguments.command {
        Command::Node { .. } => tokio::runtime::Builder::new_current_thread(),
        _ => tokio::runtime::Builder::new_multi_thread(),
    };
    let result = match builder.enable_all().build() {
        Ok(runtime) => runtime.block_on(run(arguments.command, arguments.output_format)),
        Err(error) => Err(error.into()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("medlarpoint-bench: {failure}");
            ExitCode::FAILURE
        }
    }
}

async fn run(command: Command, format: OutputFormat) -> Result<(), Failure> {
    match command {
        Command::Fuzz { .. } => Ok(()),
        Command::Convergence(flags) => print(&convergence::run(&flags).await?, format),
        Command::Capacity(flags) => print(&capacity::run(&flags).await?, format),
        Command::Overhead(flags) => print(&overhead::run(&flags).await?, format),
        Command::Crest(flags) => print(&crest::run(&flags).await?, format),
        Command::Blocking(flags) => print(&blocking::run(&flags).await?, format),
        Command::Stragglers(flags) => print(&stragglers::run(&flags).await?, format),
        Command::Faults(flags) => print(&faults::run(&flags).await?, format),
        Command::Report(flags) => print(&report::run(&flags)?, format),
        Command::Soak(flags) => run_soak(&flags, format).await,
        Command::Node { settings, watch } => match (settings, watch) {
            (Some(settings), _) => node::run(&settings).await,
            (None, Some(store)) => node::run_baseline(store).await,
            (None, None) => Err(Failure::Node("name settings or a store".to_owned())),
        },
    }
}

async fn run_soak(flags: &soak::Flags, format: OutputFormat) -> Result<(), Failure> {
    let report = soak::run(flags).await?;
    print(&report, format)?;
    if report.broken == 0 { Ok(()) } else { Err(Failure::Violations(report.broken)) }
}

fn print<T: Serialize>(report: &T, format: OutputFormat) -> Result<(), Failure> {
    match format {
        OutputFormat::Text => println!("{}", serde_json::to_string_pretty(report)?),
        OutputFormat::Json => println!("{}", serde_json::to_string(report)?),
    }
    Ok(())
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
