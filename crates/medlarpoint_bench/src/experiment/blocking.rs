//! Measures the latency of short calls while long calls occupy the same targets.

use std::time::Duration;

use medlarpoint_standin::Tally;
use serde::Serialize;

use crate::Failure;
use crate::experiment::{CallFlags, quantile_ms};

/// Demand of short calls, as a share of capacity.
const SHORT_DEMAND: f64 = 0.2;
/// Demand of long calls, as a share of the slots that they would occupy.
const LONG_DEMAND: f64 = 1.0;
/// Mean service time of long calls, which equals that in the presets.
const LONG_SERVICE_TIME: Duration = Duration::from_millis(200);

/// Flags of the command `blocking`.
#[derive(Clone, Debug, clap::Args)]
pub struct Flags {
    #[command(flatten)]
    setting: CallFlags,
}

/// Measurements of one variant: the product or the baseline.
#[derive(Clone, Debug, Serialize)]
pub struct Figures {
    /// 99th percentile of the latency of short calls alone.
    pub short_p99_alone_ms: f64,
    /// 99th percentile of the latency of short calls beside long calls.
    pub short_p99_beside_ms: f64,
    /// Ratio of the percentile beside long calls to that alone.
    pub short_p99_ratio: f64,
    /// Number of short calls, beside long calls, without a successful response.
    pub short_failed: u64,
    /// Number of long calls with a successful response.
    pub long_good: u64,
    /// Number of long calls rejected as not run.
    pub long_refused: u64,
}

/// Report of the experiment.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Measurements of the product.
    #[serde(flatten)]
    pub figures: Figures,
    /// Measurements of direct calls, with one shared queue at each target.
    pub baseline: Figures,
}

fn figures(alone: &Tally, beside: &Tally, long: &Tally) -> Figures {
    let (alone_ms, beside_ms) =
        (quantile_ms(&alone.success_latency, 0.99), quantile_ms(&beside.success_latency, 0.99));
    Figures {
        short_p99_alone_ms: alone_ms,
        short_p99_beside_ms: beside_ms,
        short_p99_ratio: beside_ms / alone_ms.max(1e-9),
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
    let templates = setting.preset.request_mix();
    let (short, long) = (templates[2].clone(), templates[3].clone());
    let slots = service.targets as f64 * f64::from(service.slots);
    let short_rate = setting.capacity(service) * SHORT_DEMAND;
    let long_rate = slots / LONG_SERVICE_TIME.as_secs_f64() * LONG_DEMAND;
    let mut variants = Vec::new();
    for (variant, addresses) in
        [("proxied", fleet.call_addresses()), ("direct", fleet.target_addresses())]
    {
        let alone =
            setting.load(&addresses, &short, short_rate, &format!("{variant}-alone")).run().await;
        let long_load = tokio::spawn(
            setting.load(&addresses, &long, long_rate, &format!("{variant}-long")).run(),
        );
        // Long calls get time to occupy all their slots before short calls are
        // measured.
        tokio::time::sleep(LONG_SERVICE_TIME * 3).await;
        let beside =
            setting.load(&addresses, &short, short_rate, &format!("{variant}-beside")).run().await;
        let long_load = long_load.await.unwrap_or_default();
        let (alone, beside) = (alone.tally(short.name), beside.tally(short.name));
        variants.push(figures(&alone, &beside, &long_load.tally(long.name)));
    }
    fleet.close().await;
    let baseline = variants.pop().ok_or(Failure::Timeout("the baseline"))?;
    let figures = variants.pop().ok_or(Failure::Timeout("the product"))?;
    Ok(Report { figures, baseline })
}
