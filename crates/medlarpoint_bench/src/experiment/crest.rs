//! Service at the crest of a demand swing.

use std::net::SocketAddr;
use std::time::Duration;

use medlarpoint_standin::{Load, Phase, RequestTemplate, Tally};
use serde::Serialize;

use crate::Failure;
use crate::experiment::{Setting, quantile_ms};

/// Deadline of each call.
const DEADLINE: Duration = Duration::from_secs(1);
/// Demand before and after the crest, as a share of capacity.
const TROUGH: f64 = 0.5;
/// Demand at the crest, as a share of capacity.
const CREST: f64 = 3.0;
/// Length of the trough before the crest, in seconds.
const TROUGH_SECONDS: u64 = 3;
/// Time for the swing.
const SWING: Duration = Duration::from_secs(2);
/// Steps of the swing.
const STEPS: u32 = 8;

/// Flags.
#[derive(Clone, Debug, clap::Args)]
pub struct Flags {
    #[command(flatten)]
    setting: Setting,
}

/// Figures of one way.
#[derive(Clone, Debug, Serialize)]
pub struct Figures {
    /// Good answers at the crest, as a share of capacity.
    pub goodput_share: f64,
    /// Good answers in their deadline, as a share of the calls that were not
    /// refused.
    pub deadline_met_share: f64,
    /// 99th percentile of the time until a refusal.
    pub refused_p99_ms: f64,
    /// 99th percentile of good answers.
    pub good_p99_ms: f64,
    /// Calls refused as not run.
    pub refused: u64,
    /// Calls without a good answer or a refusal.
    pub lost: u64,
    /// Good answers in each second.
    pub good_by_second: Vec<u64>,
}

/// Figures.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Calls per second that the targets can run.
    pub capacity: f64,
    /// Figures of the product.
    #[serde(flatten)]
    pub figures: Figures,
    /// Figures without admission: calls go to the targets in turn.
    pub baseline: Figures,
}

fn phases(capacity: f64, crest: Duration) -> Vec<Phase> {
    let trough = Phase { duration: Duration::from_secs(TROUGH_SECONDS), rate: capacity * TROUGH };
    let step = |number: u32| {
        let share = TROUGH + (CREST - TROUGH) * f64::from(number) / f64::from(STEPS);
        Phase { duration: SWING / STEPS, rate: capacity * share }
    };
    let mut phases = vec![trough];
    phases.extend((1..=STEPS).map(step));
    phases.push(Phase { duration: crest, rate: capacity * CREST });
    phases.push(trough);
    phases
}

fn figures(tally: &Tally, capacity: f64, crest_seconds: u64) -> Figures {
    // Whole seconds that lie at the crest, the first of which sees it arrive.
    let first = TROUGH_SECONDS + SWING.as_secs() + 1;
    let seconds = first..first + crest_seconds - 1;
    let good: u64 =
        seconds.clone().filter_map(|second| tally.successes_by_second.get(&second)).sum();
    let admitted = tally.success_latency.len() + tally.unknown + tally.failed;
    let met = tally.success_latency.count_between(0, DEADLINE.as_micros() as u64);
    Figures {
        goodput_share: good as f64 / (capacity * (crest_seconds - 1) as f64),
        deadline_met_share: met as f64 / admitted.max(1) as f64,
        refused_p99_ms: quantile_ms(&tally.rejected_latency, 0.99),
        good_p99_ms: quantile_ms(&tally.success_latency, 0.99),
        refused: tally.rejected_latency.len(),
        lost: tally.unknown + tally.failed,
        good_by_second: by_second(tally),
    }
}

fn by_second(tally: &Tally) -> Vec<u64> {
    let last = tally.successes_by_second.keys().max().copied().unwrap_or_default();
    (0..=last).map(|second| tally.successes_by_second.get(&second).copied().unwrap_or(0)).collect()
}

/// Runs the experiment.
pub async fn run(flags: &Flags) -> Result<Report, Failure> {
    let setting = &flags.setting;
    let service = setting.service(0);
    let fleet = setting.fleet(service, "").await?;
    let capacity = setting.capacity(service);
    let mut kind: RequestTemplate = setting.preset.kinds().swap_remove(0);
    let name = kind.name;
    kind.headers.push(("medlarpoint-deadline-ms", DEADLINE.as_millis().to_string()));
    let load = |addresses: &[SocketAddr], label: &str| Load {
        phases: phases(capacity, setting.duration()),
        timeout: DEADLINE + Duration::from_millis(200),
        ..setting.load(addresses, &kind, capacity, label)
    };
    let proxied = load(&fleet.calls(), "proxied").run().await.tally(name);
    let direct = load(&fleet.targets(), "direct").run().await.tally(name);
    fleet.close().await;
    Ok(Report {
        capacity,
        figures: figures(&proxied, capacity, setting.seconds),
        baseline: figures(&direct, capacity, setting.seconds),
    })
}
