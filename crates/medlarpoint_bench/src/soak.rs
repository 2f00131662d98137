//! A randomized soak: real daemons as processes, disturbed from outside while
//! callers, targets and an operator go on; the promises are checked from what
//! these see.

mod caller;
mod judge;
mod link;
mod member;
mod plan;
mod stage;

use std::time::Duration;

use serde::Serialize;

use crate::Failure;
use judge::{Evidence, Violation, judge};
use stage::Stage;

pub use stage::Mutation;

/// Violations printed at the most.
const MAX_PRINTED: usize = 20;

/// Flags.
#[derive(Clone, Debug, clap::Args)]
pub struct Flags {
    /// Seed of the plan and of the callers.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Length of the disturbed part, in seconds.
    #[arg(long, default_value_t = 20)]
    pub seconds: u64,
    /// Daemons.
    #[arg(long, default_value_t = 8, value_parser = clap::value_parser!(u16).range(3..=200))]
    pub daemons: u16,
    /// Breaks a promise on purpose, to see that the soak finds it.
    #[arg(long, value_enum)]
    pub plant: Option<Mutation>,
    /// Folder for the daemons' logs; without one they are not kept.
    #[arg(long)]
    pub logs: Option<std::path::PathBuf>,
}

/// What a soak saw.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Seed.
    pub seed: u64,
    /// Disturbances.
    pub disturbances: usize,
    /// Calls by end.
    pub calls: judge::Counts,
    /// Committed changes.
    pub changes: usize,
    /// Longest time until a change was in force on an undisturbed daemon, in
    /// milliseconds.
    pub slowest_change_ms: u64,
    /// Time from the end of the disturbances until everything was served
    /// again, in milliseconds; `None` if it was not.
    pub recovery_ms: Option<u64>,
    /// Number of broken promises.
    pub broken: usize,
    /// The first of them.
    pub violations: Vec<Violation>,
}

/// Runs a soak.
pub async fn run(flags: &Flags) -> Result<Report, Failure> {
    let steps = plan::plan(flags.seed, Duration::from_secs(flags.seconds), flags.daemons.into());
    if let Some(logs) = &flags.logs {
        std::fs::create_dir_all(logs)?;
        let lines: Vec<String> = steps.iter().map(|step| format!("{step:?}\n")).collect();
        std::fs::write(logs.join("plan.txt"), lines.concat())?;
    }
    let stage = Stage::start(flags).await?;
    let evidence: Evidence = stage.play(&steps).await?;
    let mut violations = judge(&evidence);
    let broken = violations.len();
    violations.truncate(MAX_PRINTED);
    Ok(Report {
        seed: flags.seed,
        disturbances: steps.len(),
        calls: judge::Counts::of(&evidence.calls),
        changes: evidence.changes.len(),
        slowest_change_ms: judge::slowest_change(&evidence).as_millis() as u64,
        recovery_ms: evidence.recovered.map(|took| took.as_millis() as u64),
        broken,
        violations,
    })
}
