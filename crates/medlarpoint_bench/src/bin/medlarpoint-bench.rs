//! Runs experiments, fuzzers and soak tests.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand, ValueEnum};
use medlarpoint_bench::experiment::{
    blocking, capacity, convergence, crest, faults, overhead, quota, stragglers,
};
use medlarpoint_bench::{Failure, fuzz, node, report, soak};
use serde::Serialize;

/// Runs experiments, fuzzers and soak tests.
#[derive(Debug, Parser)]
#[command(name = "medlarpoint-bench", version)]
struct Arguments {
    /// Format of the JSON output: indented, or on one line.
    #[arg(long, global = true, value_enum, default_value_t)]
    output_format: OutputFormat,
    #[command(subcommand)]
    command: Command,
}

/// Formats of the JSON output.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, ValueEnum)]
enum OutputFormat {
    /// Indented JSON.
    #[default]
    Text,
    /// JSON on one line.
    Json,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Fuzzes a part of the system against an oracle.
    Fuzz {
        /// Part of the system to fuzz.
        #[arg(value_enum)]
        subject: Subject,
        /// Number of steps, rounded up to complete cases.
        #[arg(long, default_value_t = 1_000_000)]
        steps: usize,
        /// Seed of the generated steps.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Measures the time until a change is in force everywhere, and its cost, with one process per daemon.
    Convergence(convergence::Flags),
    /// Measures costs at several fleet sizes and extrapolates them to 1,100 daemons.
    Capacity(capacity::Flags),
    /// Compares calls through the proxies with direct calls.
    Overhead(overhead::Flags),
    /// Varies the demand up to three times the capacity.
    Crest(crest::Flags),
    /// Runs short calls beside long calls.
    Blocking(blocking::Flags),
    /// Slows down one target in five for short periods.
    Stragglers(stragglers::Flags),
    /// Combines killed daemons, silent connections and a network partition.
    Faults(faults::Flags),
    /// Measures the admission of calls by the quota of their workspace.
    Quota(quota::Flags),
    /// Draws charts from the journal and from experiments.
    Report(report::Flags),
    /// Disturbs real processes from outside and checks the guarantees.
    Soak(soak::Flags),
    /// Runs one daemon for an experiment.
    #[command(hide = true)]
    Node {
        /// Settings file of the daemon.
        #[arg(long, required_unless_present = "watch")]
        settings: Option<PathBuf>,
        /// Address of a store to watch instead of running a daemon, as a baseline.
        #[arg(long)]
        watch: Option<SocketAddr>,
    },
}

/// Parts of the system that can be fuzzed.
#[derive(Clone, Copy, Debug, ValueEnum)]
enum Subject {
    /// Commits, propagation and recovery of configuration.
    Config,
    /// Routing, retries and at-most-once execution of calls.
    Calls,
    /// Failure detection between members.
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
        Command::Quota(flags) => print(&quota::run(&flags)?, format),
        Command::Report(flags) => print(&report::run(&flags)?, format),
        Command::Soak(flags) => run_soak(&flags, format).await,
        Command::Node { settings, watch } => match (settings, watch) {
            (Some(settings), _) => node::run(&settings).await,
            (None, Some(store)) => node::run_baseline(store).await,
            (None, None) => {
                Err(Failure::Node("either --settings or --watch is required".to_owned()))
            }
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
            println!("{} steps in {} cases, no violations", summary.steps, summary.cases);
            ExitCode::SUCCESS
        }
        Err(counterexample) => {
            eprintln!("{counterexample}");
            ExitCode::FAILURE
        }
    }
}
