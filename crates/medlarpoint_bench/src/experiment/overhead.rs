//! What a call through two proxies costs over a direct one.

use std::net::SocketAddr;
use std::time::Duration;

use medlarpoint_standin::{Load, RequestTemplate};
use serde::Serialize;

use crate::Failure;
use crate::experiment::{Setting, quantile_ms};
use crate::usage::Usage;

/// Rate before the measurement, relative to the measured one.
const WARM_FACTOR: f64 = 3.0;

/// Flags.
#[derive(Clone, Debug, clap::Args)]
pub struct Flags {
    #[command(flatten)]
    setting: Setting,
    /// Calls per second, each way.
    #[arg(long, default_value_t = 500.0)]
    rate: f64,
}

/// Figures.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Calls each way.
    pub calls: u64,
    /// Median of direct calls.
    pub direct_p50_ms: f64,
    /// 99th percentile of direct calls.
    pub direct_p99_ms: f64,
    /// Difference of the medians.
    pub p50_added_ms: f64,
    /// Difference of the 99th percentiles.
    pub p99_added_ms: f64,
    /// Calls that both proxies carry per second and core, from the processor
    /// time that they add to direct calls.
    pub calls_per_s_per_core: f64,
    /// Calls that did not get a good answer.
    pub failed: u64,
}

fn kind(setting: &Setting) -> RequestTemplate {
    let mut kind = setting.preset.kinds().swap_remove(0);
    kind.headers =
        vec![("x-work-us", "0".to_owned()), ("medlarpoint-tenant", setting.tenant.clone())];
    kind
}

fn load(flags: &Flags, addresses: &[SocketAddr], label: &str, rate: f64) -> Load {
    let setting = &flags.setting;
    Load { timeout: Duration::from_secs(5), ..setting.load(addresses, &kind(setting), rate, label) }
}

/// Returns the processor time of this process, in seconds.
fn cpu() -> f64 {
    Usage::read("self").unwrap_or_default().cpu_s
}

/// Runs the experiment.
pub async fn run(flags: &Flags) -> Result<Report, Failure> {
    let service = flags.setting.service(0);
    let fleet = flags.setting.fleet(service, "").await?;
    let targets = fleet.targets();
    let callers = vec![fleet.caller()?];
    // Connections are opened before anything is measured.
    for addresses in [&targets, &callers] {
        load(flags, addresses, "warm", flags.rate * WARM_FACTOR).run().await;
    }
    // Both at once, so that they meet the same machine.
    let direct = tokio::spawn(load(flags, &targets, "direct", flags.rate).run());
    let proxied = tokio::spawn(load(flags, &callers, "proxied", flags.rate).run());
    let name = flags.setting.preset.kinds().swap_remove(0).name;
    let direct = direct.await.unwrap_or_default().tally(name);
    let proxied = proxied.await.unwrap_or_default().tally(name);
    // One after the other, to tell their processor time apart.
    let busy = flags.rate * WARM_FACTOR;
    let (direct_cost, _) = cost(load(flags, &targets, "direct2", busy), name).await;
    let (proxied_cost, failed) = cost(load(flags, &callers, "proxied2", busy), name).await;
    fleet.close().await;
    Ok(Report {
        calls: direct.total(),
        direct_p50_ms: quantile_ms(&direct.success_latency, 0.5),
        direct_p99_ms: quantile_ms(&direct.success_latency, 0.99),
        p50_added_ms: quantile_ms(&proxied.success_latency, 0.5)
            - quantile_ms(&direct.success_latency, 0.5),
        p99_added_ms: quantile_ms(&proxied.success_latency, 0.99)
            - quantile_ms(&direct.success_latency, 0.99),
        calls_per_s_per_core: 1.0 / (proxied_cost - direct_cost).max(1e-9),
        failed: failed + proxied.total() - proxied.success_latency.len(),
    })
}

/// Returns the processor time per call, in seconds.
async fn cost(load: Load, name: &str) -> (f64, u64) {
    let before = cpu();
    let tally = load.run().await.tally(name);
    let spent = cpu() - before;
    (spent / tally.total().max(1) as f64, tally.total() - tally.success_latency.len())
}
