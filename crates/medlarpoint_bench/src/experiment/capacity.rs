//! Measures costs at several fleet sizes and extrapolates them linearly to the
//! size expected in two years: 1,100 daemons.

use indexmap::IndexMap;
use serde::Serialize;

use crate::Failure;
use crate::experiment::{convergence, overhead};

/// Number of daemons at the expected size.
const DAEMONS: f64 = 1_100.0;
/// Configuration changes per second at the expected size: 1,400 a day.
const CHANGES_PER_S: f64 = 1_400.0 / 86_400.0;
/// Calls per second of all callers at the expected size.
const CALLS_PER_S: f64 = 110_000.0;
/// Limit of control traffic, in bytes per daemon and second.
const CONTROL_BYTES_LIMIT: f64 = 3_000.0;
/// Limit of processor time per daemon for control, as a share of a core.
const CONTROL_CPU_LIMIT: f64 = 0.046;
/// Limit of resident memory per daemon, in megabytes.
const MEMORY_LIMIT_MB: f64 = 128.0;
/// Time limit for a change to be in force on every daemon, in milliseconds.
const CONVERGENCE_LIMIT_MS: f64 = 9_000.0;

/// Flags of the command `capacity`.
#[derive(Clone, Debug, clap::Args)]
pub struct Flags {
    /// Fleet sizes to measure, as numbers of daemons.
    #[arg(long, value_delimiter = ',', default_values_t = [10, 30, 100])]
    pub sizes: Vec<usize>,
    /// Number of configuration changes at each size.
    #[arg(long, default_value_t = 30)]
    pub changes: usize,
    /// Flags of the measurement of call overhead.
    #[command(flatten)]
    pub overhead: overhead::Flags,
}

/// Linear fit of a measurement over the number of daemons.
#[derive(Clone, Debug, Serialize)]
pub struct Fit {
    /// Measured values by number of daemons.
    pub measured: IndexMap<usize, f64>,
    /// Value of the fit at zero daemons.
    pub intercept: f64,
    /// Growth of the fit per daemon.
    pub slope: f64,
    /// Value at 1,100 daemons: that of the fit, or the value measured at the
    /// largest size if the slope is not positive.
    pub at_1100: f64,
    /// Limit of the value, if there is one.
    pub budget: Option<f64>,
}

/// Report of the experiment.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Linear fits by name of the measurement.
    pub lines: IndexMap<&'static str, Fit>,
    /// Control bytes sent per daemon and second at 1,100 daemons with 1,400
    /// changes a day.
    pub control_bytes_per_daemon_per_s: f64,
    /// Processor time per daemon for control at that size, as a share of a core.
    pub control_cpu_share_per_daemon: f64,
    /// Calls per second that the two proxies of a call carry with one core.
    pub calls_per_s_per_core: f64,
    /// Processor time per daemon for calls at that size, as a share of a core.
    pub call_cpu_share_per_daemon: f64,
}

/// Fits a line by least squares.
fn fit(measured: IndexMap<usize, f64>, budget: Option<f64>) -> Fit {
    let count = measured.len().max(1) as f64;
    let mean_x = measured.keys().map(|x| *x as f64).sum::<f64>() / count;
    let mean_y = measured.values().sum::<f64>() / count;
    let covariance: f64 = measured.iter().map(|(x, y)| (*x as f64 - mean_x) * (y - mean_y)).sum();
    let variance: f64 = measured.keys().map(|x| (*x as f64 - mean_x).powi(2)).sum();
    let slope = if variance > 0.0 { covariance / variance } else { 0.0 };
    let intercept = mean_y - slope * mean_x;
    // A value that falls with the size levels off above zero, where a line could
    // go below zero; the value at the largest size is an upper bound.
    let largest = measured.last().map_or(0.0, |(_, value)| *value);
    let at_1100 = if slope > 0.0 { intercept + slope * DAEMONS } else { largest };
    Fit { measured, intercept, slope, at_1100, budget }
}

/// Runs the experiment.
pub async fn run(flags: &Flags) -> Result<Report, Failure> {
    let mut reports = Vec::new();
    for daemons in &flags.sizes {
        let flags = convergence::Flags {
            daemons: *daemons,
            changes: flags.changes,
            seed: 1,
            no_baseline: true,
            herd: true,
        };
        reports.push(convergence::run(&flags).await?);
    }
    let fit_report = |value: fn(&convergence::Report) -> f64, budget| {
        fit(reports.iter().map(|report| (report.daemons, value(report))).collect(), budget)
    };
    let herd = |report: &convergence::Report| report.herd.clone().unwrap_or_default();
    let fit_herd = |value: fn(&convergence::Herd) -> f64| {
        fit(reports.iter().map(|r| (r.daemons, value(&herd(r)))).collect(), None)
    };
    let mut lines = IndexMap::new();
    lines.insert("everywhere_p99_ms", fit_report(|r| r.figures.p99_ms, Some(CONVERGENCE_LIMIT_MS)));
    lines.insert(
        "idle_bytes_per_daemon_per_s",
        fit_report(|r| r.figures.idle_bytes_per_daemon_per_s, Some(CONTROL_BYTES_LIMIT)),
    );
    lines.insert(
        "bytes_per_daemon_per_change",
        fit_report(|r| r.figures.bytes_per_daemon_per_change, None),
    );
    lines.insert(
        "idle_messages_per_daemon_per_s",
        fit_report(|r| r.figures.idle_messages_per_daemon_per_s, None),
    );
    lines.insert(
        "cross_region_bytes_per_change",
        fit_report(|r| r.figures.cross_region_bytes_per_change, None),
    );
    lines.insert("idle_store_calls_per_s", fit_report(|r| r.figures.idle_store_calls_per_s, None));
    lines.insert(
        "idle_cpu_core_share_per_daemon",
        fit_report(|r| r.figures.idle_cpu_core_share_per_daemon, Some(CONTROL_CPU_LIMIT)),
    );
    lines.insert(
        "cpu_ms_per_daemon_per_change",
        fit_report(|r| r.figures.cpu_ms_per_daemon_per_change, None),
    );
    lines.insert(
        "rss_mb_per_daemon",
        fit_report(|r| r.figures.rss_mb_per_daemon, Some(MEMORY_LIMIT_MB)),
    );
    lines.insert("herd_current_ms", fit_herd(|h| h.current_ms));
    lines.insert("herd_store_calls", fit_herd(|h| h.store_calls as f64));
    lines.insert("herd_bytes_per_daemon", fit_herd(|h| h.bytes_per_daemon));
    let calls = overhead::run(&flags.overhead).await?;
    let at = |name: &str| lines.get(name).map_or(0.0, |fit: &Fit| fit.at_1100);
    Ok(Report {
        control_bytes_per_daemon_per_s: at("idle_bytes_per_daemon_per_s")
            + at("bytes_per_daemon_per_change") * CHANGES_PER_S,
        control_cpu_share_per_daemon: at("idle_cpu_core_share_per_daemon")
            + at("cpu_ms_per_daemon_per_change") / 1e3 * CHANGES_PER_S,
        calls_per_s_per_core: calls.calls_per_s_per_core,
        call_cpu_share_per_daemon: CALLS_PER_S / DAEMONS / calls.calls_per_s_per_core,
        lines,
    })
}
