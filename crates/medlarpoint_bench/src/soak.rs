//! A randomized soak test. Disturbs real daemon processes from outside while
//! callers, targets and an operator work, and checks the guarantees against what
//! these observe.

mod caller;
mod checker;
mod harness;
mod link;
mod member;
mod plan;

use std::time::Duration;

use serde::Serialize;

use crate::Failure;
use checker::{Observations, Violation, check};
use harness::Harness;

pub use harness::Mutation;

/// Limit on the number of violations in a report.
const MAX_PRINTED: usize = 20;

/// Flags of the soak.
#[derive(Clone, Debug, clap::Args)]
pub struct Flags {
    /// Seed of the plan and of the callers.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Duration of the phase with disturbances, in seconds.
    #[arg(long, default_value_t = 20)]
    pub seconds: u64,
    /// Number of daemons.
    #[arg(long, default_value_t = 8, value_parser = clap::value_parser!(u16).range(3..=200))]
    pub daemons: u16,
    /// Violates a guarantee on purpose, to show that the soak detects it.
    #[arg(long, value_enum)]
    pub plant: Option<Mutation>,
    /// Directory for the plan and the daemons' logs; without it, they are discarded.
    #[arg(long)]
    pub logs: Option<std::path::PathBuf>,
}

/// Result of a soak.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Seed of the plan and of the callers.
    pub seed: u64,
    /// Number of disturbances.
    pub disturbances: usize,
    /// Number of calls by outcome.
    pub calls: checker::Counts,
    /// Number of committed changes.
    pub changes: usize,
    /// Longest time until a change was in force on a daemon that ran throughout,
    /// in milliseconds.
    pub slowest_change_ms: u64,
    /// Time from the end of the disturbances until everything was served
    /// again, in milliseconds; `None` if the fleet did not recover in time.
    pub recovery_ms: Option<u64>,
    /// Number of violations.
    pub broken: usize,
    /// The first violations, up to a limit.
    pub violations: Vec<Violation>,
}

/// Runs a soak and returns its result.
pub async fn run(flags: &Flags) -> Result<Report, Failure> {
    let steps = plan::plan(flags.seed, Duration::from_secs(flags.seconds), flags.daemons.into());
    if let Some(logs) = &flags.logs {
        std::fs::create_dir_all(logs)?;
        let lines: Vec<String> = steps.iter().map(|step| format!("{step:?}\n")).collect();
        std::fs::write(logs.join("plan.txt"), lines.concat())?;
    }
    let harness = Harness::start(flags).await?;
    let observations: Observations = harness.run(&steps).await?;
    let mut violations = check(&observations);
    let broken = violations.len();
    violations.truncate(MAX_PRINTED);
    Ok(Report {
        seed: flags.seed,
        disturbances: steps.len(),
        calls: checker::Counts::of(&observations.calls),
        changes: observations.changes.len(),
        slowest_change_ms: checker::slowest_change(&observations).as_millis() as u64,
        recovery_ms: observations.recovery.map(|time| time.as_millis() as u64),
        broken,
        violations,
    })
}
