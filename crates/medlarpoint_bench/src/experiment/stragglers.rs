//! Tail latency while one target in five is slow for moments.

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

use crate::experiment::{Setting, quantile_ms};
use crate::{Failure, Fleet};

/// Demand, as a share of capacity.
const DEMAND: f64 = 0.2;
/// Factor by which a straggler is slower.
const SLOW: f64 = 10.0;
/// Shortest and longest moment, in milliseconds.
const MOMENT_MS: std::ops::Range<u64> = 300..1_500;

/// Flags.
#[derive(Clone, Debug, clap::Args)]
pub struct Flags {
    #[command(flatten)]
    setting: Setting,
}

/// Figures of one way.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Figures {
    /// 99th percentile without stragglers.
    pub p99_without_ms: f64,
    /// 99th percentile with stragglers.
    pub p99_with_ms: f64,
    /// The second over the first.
    pub p99_ratio: f64,
    /// Executions beyond one for each call, with stragglers.
    pub extra_work_share: f64,
    /// Calls without a good answer.
    pub failed: u64,
}

/// Figures.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Figures of the product: expected wait with hedges.
    #[serde(flatten)]
    pub figures: Figures,
    /// Figures of each way to choose, without hedges.
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
    let extra = format!("routing = {{ strategy = \"{strategy}\" }}");
    let fleet = setting.fleet(service, &extra).await?;
    if !hedged {
        let policies = "[[policy]]\nname = \"writers\"\nhedge_budget_percent = 0\nramp_ms = 500\n\
                        [[policy]]\nname = \"board\"\nhedge_budget_percent = 0\nramp_ms = 500\n";
        let (_, version) = fleet.apply(0, policies).await?;
        fleet.wait_version(version).await?;
    }
    let rate = setting.capacity(service) * DEMAND;
    let kind = setting.preset.kinds().swap_remove(0);
    let name = kind.name;
    let calls = [fleet.caller()?];
    let load = |label: &str| Load {
        timeout: Duration::from_secs(5),
        ..setting.load(&calls, &kind, rate, label)
    };
    let without = load("without").run().await.tally(name);
    let before = fleet.ledger.total();
    let with = with_stragglers(&fleet, setting.seed, load("with").run()).await.tally(name);
    let executions = fleet.ledger.total() - before;
    fleet.close().await;
    let (before_ms, after_ms) =
        (quantile_ms(&without.success_latency, 0.99), quantile_ms(&with.success_latency, 0.99));
    Ok(Figures {
        p99_without_ms: before_ms,
        p99_with_ms: after_ms,
        p99_ratio: after_ms / before_ms.max(1e-9),
        extra_work_share: executions as f64 / with.total().max(1) as f64 - 1.0,
        failed: with.total() - with.success_latency.len(),
    })
}

/// Slows one random target at a time while `work` runs.
async fn with_stragglers<T>(fleet: &Fleet, seed: u64, work: impl Future<Output = T>) -> T {
    let stop = Arc::new(AtomicBool::new(false));
    let targets: Vec<_> = fleet.members.iter().filter_map(|m| m.target.as_ref()).collect();
    let slow = async {
        let mut rng = StdRng::seed_from_u64(seed);
        while !stop.load(Ordering::Acquire) {
            let target = targets[rng.random_range(0..targets.len())];
            target.set_slowdown(SLOW);
            tokio::time::sleep(Duration::from_millis(rng.random_range(MOMENT_MS))).await;
            target.set_slowdown(1.0);
        }
    };
    let work = async {
        let result = work.await;
        stop.store(true, Ordering::Release);
        result
    };
    let ((), result) = tokio::join!(slow, work);
    result
}
