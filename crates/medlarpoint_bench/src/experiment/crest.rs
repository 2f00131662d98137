//! Measures goodput and latency while demand peaks at three times the capacity.

use std::net::SocketAddr;
use std::time::Duration;

use medlarpoint_standin::{Load, Phase, RequestTemplate, Tally};
use serde::Serialize;

use crate::Failure;
use crate::experiment::{CallFlags, quantile_ms};

/// Deadline of each call.
const DEADLINE: Duration = Duration::from_secs(1);
/// Demand before and after the peak, as a share of capacity.
const BASE_DEMAND: f64 = 0.5;
/// Demand at the peak, as a share of capacity.
const PEAK_DEMAND: f64 = 3.0;
/// Length of the base phases before and after the peak, in seconds.
const BASE_SECONDS: u64 = 3;
/// Time in which demand rises to the peak.
const RISE_TIME: Duration = Duration::from_secs(2);
/// Number of steps in which demand rises.
const RISE_STEPS: u32 = 8;

/// Flags of the command `crest`.
#[derive(Clone, Debug, clap::Args)]
pub struct Flags {
    #[command(flatten)]
    setting: CallFlags,
}

/// Measurements of one variant: the product or the baseline.
#[derive(Clone, Debug, Serialize)]
pub struct Figures {
    /// Successful responses per second at the peak, as a share of capacity.
    pub goodput_share: f64,
    /// Successful responses within the deadline, as a share of the calls that were
    /// not rejected.
    pub deadline_met_share: f64,
    /// 99th percentile of the latency of rejections.
    pub refused_p99_ms: f64,
    /// 99th percentile of the latency of successful responses.
    pub good_p99_ms: f64,
    /// Number of calls rejected as not run.
    pub refused: u64,
    /// Number of calls with neither a successful response nor a rejection.
    pub lost: u64,
    /// Number of successful responses in each second since the start.
    pub good_by_second: Vec<u64>,
}

/// Report of the experiment.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Calls per second that the targets can execute.
    pub capacity: f64,
    /// Measurements of the product.
    #[serde(flatten)]
    pub figures: Figures,
    /// Measurements without admission control: calls go to the targets round robin.
    pub baseline: Figures,
}

fn phases(capacity: f64, peak: Duration) -> Vec<Phase> {
    let base = Phase { duration: Duration::from_secs(BASE_SECONDS), rate: capacity * BASE_DEMAND };
    let rise = |number: u32| {
        let share =
            BASE_DEMAND + (PEAK_DEMAND - BASE_DEMAND) * f64::from(number) / f64::from(RISE_STEPS);
        Phase { duration: RISE_TIME / RISE_STEPS, rate: capacity * share }
    };
    let mut phases = vec![base];
    phases.extend((1..=RISE_STEPS).map(rise));
    phases.push(Phase { duration: peak, rate: capacity * PEAK_DEMAND });
    phases.push(base);
    phases
}

fn figures(tally: &Tally, capacity: f64, peak_seconds: u64) -> Figures {
    // Only full seconds at the peak count; the first one, in which the peak load
    // starts, is excluded.
    let first = BASE_SECONDS + RISE_TIME.as_secs() + 1;
    let seconds = first..first + peak_seconds - 1;
    let good: u64 =
        seconds.clone().filter_map(|second| tally.successes_by_second.get(&second)).sum();
    let not_rejected = tally.success_latency.len() + tally.unknown + tally.failed;
    let met = tally.success_latency.count_between(0, DEADLINE.as_micros() as u64);
    Figures {
        goodput_share: good as f64 / (capacity * (peak_seconds - 1) as f64),
        deadline_met_share: met as f64 / not_rejected.max(1) as f64,
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
    let mut template: RequestTemplate = setting.preset.request_mix().swap_remove(0);
    let name = template.name;
    template.headers.push(("medlarpoint-deadline-ms", DEADLINE.as_millis().to_string()));
    let load = |addresses: &[SocketAddr], label: &str| Load {
        phases: phases(capacity, setting.duration()),
        timeout: DEADLINE + Duration::from_millis(200),
        ..setting.load(addresses, &template, capacity, label)
    };
    let proxied = load(&fleet.call_addresses(), "proxied").run().await.tally(name);
    let direct = load(&fleet.target_addresses(), "direct").run().await.tally(name);
    fleet.close().await;
    Ok(Report {
        capacity,
        figures: figures(&proxied, capacity, setting.seconds),
        baseline: figures(&direct, capacity, setting.seconds),
    })
}
