//! Measures tail latency while one target at a time, of five in the default
//! preset, is slow for a short period.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use indexmap::IndexMap;
use medlarpoint_routing::Strategy;
use medlarpoint_standin::Load;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use strum::IntoEnumIterator;

use crate::experiment::{CallFlags, quantile_ms};
use crate::{Failure, Fleet};

/// Demand, as a share of capacity.
const DEMAND: f64 = 0.2;
/// Factor by which the service time of a straggler grows.
const SLOWDOWN: f64 = 10.0;
/// Range of the time for which a target stays slow, in milliseconds.
const SLOW_PERIOD_MS: std::ops::Range<u64> = 300..1_500;

/// Flags of the command `stragglers`.
#[derive(Clone, Debug, clap::Args)]
pub struct Flags {
    #[command(flatten)]
    setting: CallFlags,
}

/// Measurements of one variant: a selection strategy with or without hedging.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Figures {
    /// 99th percentile of the latency without stragglers.
    pub p99_without_ms: f64,
    /// 99th percentile of the latency with stragglers.
    pub p99_with_ms: f64,
    /// Ratio of the percentile with stragglers to that without.
    pub p99_ratio: f64,
    /// Executions beyond one for each call, as a share of the calls with stragglers.
    pub extra_work_share: f64,
    /// Number of calls with stragglers that got no successful response.
    pub failed: u64,
}

/// Report of the experiment.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Measurements of the product: the default strategy with hedging.
    #[serde(flatten)]
    pub figures: Figures,
    /// Measurements by selection strategy, without hedging.
    pub baseline: IndexMap<String, Figures>,
}

/// Runs the experiment.
pub async fn run(flags: &Flags) -> Result<Report, Failure> {
    let figures = measure(flags, Strategy::default(), true).await?;
    let mut baseline = IndexMap::new();
    for strategy in Strategy::iter() {
        baseline.insert(strategy.to_string(), measure(flags, strategy, false).await?);
    }
    Ok(Report { figures, baseline })
}

async fn measure(flags: &Flags, strategy: Strategy, hedged: bool) -> Result<Figures, Failure> {
    let setting = &flags.setting;
    let service = setting.service(0);
    let extra_settings = format!("routing = {{ strategy = \"{strategy}\" }}");
    let fleet = setting.fleet(service, &extra_settings).await?;
    if !hedged {
        let policies = "[[policy]]\nname = \"writers\"\nhedge_budget_percent = 0\n\
                        [[policy]]\nname = \"board\"\nhedge_budget_percent = 0\n";
        let (_, version) = fleet.apply(0, policies).await?;
        fleet.wait_version(version).await?;
    }
    let rate = setting.capacity(service) * DEMAND;
    let template = setting.preset.request_mix().swap_remove(0);
    let name = template.name;
    let calls = [fleet.last_call_address()?];
    let load = |label: &str| Load {
        timeout: Duration::from_secs(5),
        ..setting.load(&calls, &template, rate, label)
    };
    let without = load("without").run().await.tally(name);
    let executions_before = fleet.execution_log.total();
    let with = with_stragglers(&fleet, setting.seed, load("with").run()).await.tally(name);
    let executions = fleet.execution_log.total() - executions_before;
    fleet.close().await;
    let (without_ms, with_ms) =
        (quantile_ms(&without.success_latency, 0.99), quantile_ms(&with.success_latency, 0.99));
    Ok(Figures {
        p99_without_ms: without_ms,
        p99_with_ms: with_ms,
        p99_ratio: with_ms / without_ms.max(1e-9),
        extra_work_share: executions as f64 / with.total().max(1) as f64 - 1.0,
        failed: with.total() - with.success_latency.len(),
    })
}

/// Slows down one random target at a time while `work` runs.
async fn with_stragglers<T>(fleet: &Fleet, seed: u64, work: impl Future<Output = T>) -> T {
    let finished = Arc::new(AtomicBool::new(false));
    let targets: Vec<_> = fleet.members.iter().filter_map(|m| m.target.as_ref()).collect();
    let slow_targets = async {
        let mut rng = StdRng::seed_from_u64(seed);
        while !finished.load(Ordering::Acquire) {
            let target = targets[rng.random_range(0..targets.len())];
            target.set_slowdown(SLOWDOWN);
            tokio::time::sleep(Duration::from_millis(rng.random_range(SLOW_PERIOD_MS))).await;
            target.set_slowdown(1.0);
        }
    };
    let work = async {
        let result = work.await;
        finished.store(true, Ordering::Release);
        result
    };
    let ((), result) = tokio::join!(slow_targets, work);
    result
}
