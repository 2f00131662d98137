//! Measures the latency and processor time that two proxies add to a direct call.

use std::net::SocketAddr;
use std::time::Duration;

use medlarpoint_standin::{Load, RequestTemplate};
use serde::Serialize;

use crate::Failure;
use crate::experiment::{CallFlags, quantile_ms};
use crate::usage::Usage;

/// Rate of the warm-up and of the measurement of processor time, relative to the
/// rate of the latency measurement.
const HIGH_RATE_FACTOR: f64 = 3.0;

/// Flags of the command `overhead`.
#[derive(Clone, Debug, clap::Args)]
pub struct Flags {
    #[command(flatten)]
    setting: CallFlags,
    /// Calls per second of the direct load and of the proxied load.
    #[arg(long, default_value_t = 500.0)]
    rate: f64,
}

/// Report of the experiment.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Number of direct calls in the latency measurement.
    pub calls: u64,
    /// Median latency of direct calls.
    pub direct_p50_ms: f64,
    /// 99th percentile of the latency of direct calls.
    pub direct_p99_ms: f64,
    /// Median latency of proxied calls minus that of direct calls.
    pub p50_added_ms: f64,
    /// 99th percentile of the latency of proxied calls minus that of direct calls.
    pub p99_added_ms: f64,
    /// Calls per second that the two proxies of a call carry with one core, from
    /// the processor time that they add to a direct call.
    pub calls_per_s_per_core: f64,
    /// Number of proxied calls without a successful response.
    pub failed: u64,
}

fn template(setting: &CallFlags) -> RequestTemplate {
    let mut template = setting.preset.request_mix().swap_remove(0);
    template.headers =
        vec![("x-work-us", "0".to_owned()), ("medlarpoint-tenant", setting.tenant.clone())];
    template
}

fn load(flags: &Flags, addresses: &[SocketAddr], label: &str, rate: f64) -> Load {
    let setting = &flags.setting;
    Load {
        timeout: Duration::from_secs(5),
        ..setting.load(addresses, &template(setting), rate, label)
    }
}

/// Returns the processor time that this process has used, in seconds.
fn cpu_s() -> f64 {
    Usage::read("self").unwrap_or_default().cpu_s
}

/// Runs the experiment.
pub async fn run(flags: &Flags) -> Result<Report, Failure> {
    let service = flags.setting.service(0);
    let fleet = flags.setting.fleet(service, "").await?;
    let targets = fleet.target_addresses();
    let callers = vec![fleet.last_call_address()?];
    // The warm-up opens connections before anything is measured.
    for addresses in [&targets, &callers] {
        load(flags, addresses, "warm", flags.rate * HIGH_RATE_FACTOR).run().await;
    }
    // Both loads run at once, so that other work on the machine affects both alike.
    let direct = tokio::spawn(load(flags, &targets, "direct", flags.rate).run());
    let proxied = tokio::spawn(load(flags, &callers, "proxied", flags.rate).run());
    let name = flags.setting.preset.request_mix().swap_remove(0).name;
    let direct = direct.await.unwrap_or_default().tally(name);
    let proxied = proxied.await.unwrap_or_default().tally(name);
    // The loads run one after the other, as processor time is measured for the
    // entire process.
    let high_rate = flags.rate * HIGH_RATE_FACTOR;
    let (direct_cpu_s, _) = cpu_s_per_call(load(flags, &targets, "direct2", high_rate), name).await;
    let (proxied_cpu_s, failed) =
        cpu_s_per_call(load(flags, &callers, "proxied2", high_rate), name).await;
    fleet.close().await;
    Ok(Report {
        calls: direct.total(),
        direct_p50_ms: quantile_ms(&direct.success_latency, 0.5),
        direct_p99_ms: quantile_ms(&direct.success_latency, 0.99),
        p50_added_ms: quantile_ms(&proxied.success_latency, 0.5)
            - quantile_ms(&direct.success_latency, 0.5),
        p99_added_ms: quantile_ms(&proxied.success_latency, 0.99)
            - quantile_ms(&direct.success_latency, 0.99),
        calls_per_s_per_core: 1.0 / (proxied_cpu_s - direct_cpu_s).max(1e-9),
        failed: failed + proxied.total() - proxied.success_latency.len(),
    })
}

/// Runs a load and returns the processor time per call, in seconds, and the
/// number of calls without a successful response.
async fn cpu_s_per_call(load: Load, name: &str) -> (f64, u64) {
    let before = cpu_s();
    let tally = load.run().await.tally(name);
    let used = cpu_s() - before;
    (used / tally.total().max(1) as f64, tally.total() - tally.success_latency.len())
}
