//! Short work beside long work.

use std::time::Duration;

use medlarpoint_standin::Tally;
use serde::Serialize;

use crate::Failure;
use crate::experiment::{Setting, quantile_ms};

/// Short work offered, as a share of capacity.
const SHORT_SHARE: f64 = 0.2;
/// Long work offered, as a share of the slots it would hold.
const LONG_SHARE: f64 = 1.0;
/// Mean service time of long work, as in the presets.
const LONG_WORK: Duration = Duration::from_millis(200);

/// Flags.
#[derive(Clone, Debug, clap::Args)]
pub struct Flags {
    #[command(flatten)]
    setting: Setting,
}

/// Figures of one way.
#[derive(Clone, Debug, Serialize)]
pub struct Figures {
    /// 99th percentile of short work alone.
    pub short_p99_alone_ms: f64,
    /// 99th percentile of short work beside long work.
    pub short_p99_beside_ms: f64,
    /// The second over the first.
    pub short_p99_ratio: f64,
    /// Short work without a good answer.
    pub short_failed: u64,
    /// Long work with a good answer.
    pub long_good: u64,
    /// Long work refused as not run.
    pub long_refused: u64,
}

/// Figures.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Figures of the product.
    #[serde(flatten)]
    pub figures: Figures,
    /// Figures with one shared queue at each target.
    pub baseline: Figures,
}

fn figures(alone: &Tally, beside: &Tally, long: &Tally) -> Figures {
    let (before, after) =
        (quantile_ms(&alone.success_latency, 0.99), quantile_ms(&beside.success_latency, 0.99));
    Figures {
        short_p99_alone_ms: before,
        short_p99_beside_ms: after,
        short_p99_ratio: after / before.max(1e-9),
        short_failed: beside.total() - beside.success_latency.len(),
        long_good: long.success_latency.len(),
        long_refused: long.rejected_latency.len(),
    }
}

/// Runs the experiment.
pub async fn run(flags: &Flags) -> Result<Report, Failure> {
    let setting = &flags.setting;
    let service = setting.service(2);
    let fleet = setting.fleet(service, "").await?;
    let kinds = setting.preset.kinds();
    let (short, long) = (kinds[2].clone(), kinds[3].clone());
    let slots = service.targets as f64 * f64::from(service.slots);
    let short_rate = setting.capacity(service) * SHORT_SHARE;
    let long_rate = slots / LONG_WORK.as_secs_f64() * LONG_SHARE;
    let mut ways = Vec::new();
    for (way, addresses) in [("proxied", fleet.calls()), ("direct", fleet.targets())] {
        let alone =
            setting.load(&addresses, &short, short_rate, &format!("{way}-alone")).run().await;
        let other =
            tokio::spawn(setting.load(&addresses, &long, long_rate, &format!("{way}-long")).run());
        // Long work has filled its share before the short work is measured.
        tokio::time::sleep(LONG_WORK * 3).await;
        let beside =
            setting.load(&addresses, &short, short_rate, &format!("{way}-beside")).run().await;
        let other = other.await.unwrap_or_default();
        let (alone, beside) = (alone.tally(short.name), beside.tally(short.name));
        ways.push(figures(&alone, &beside, &other.tally(long.name)));
    }
    fleet.close().await;
    let baseline = ways.pop().ok_or(Failure::Patience("the baseline"))?;
    let figures = ways.pop().ok_or(Failure::Patience("the product"))?;
    Ok(Report { figures, baseline })
}
