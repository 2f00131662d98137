//! Slopes measured at several sizes, and what they come to at the size of two
//! years from now.

use indexmap::IndexMap;
use serde::Serialize;

use crate::Failure;
use crate::experiment::{convergence, overhead};

/// Daemons at the size worked out.
const DAEMONS: f64 = 1_100.0;
/// Changes of configuration per second at that size.
const CHANGES_PER_S: f64 = 1_400.0 / 86_400.0;
/// Calls per second at that size.
const CALLS_PER_S: f64 = 110_000.0;
/// Control bytes per daemon and second that are allowed.
const BYTES_BUDGET: f64 = 3_000.0;
/// Share of a core per daemon that is allowed for control.
const CPU_BUDGET: f64 = 0.046;
/// Memory per daemon that is allowed, in megabytes.
const MEMORY_BUDGET: f64 = 128.0;
/// Time allowed for a change to be in force everywhere, in milliseconds.
const CONVERGENCE_BUDGET: f64 = 9_000.0;

/// Flags.
#[derive(Clone, Debug, clap::Args)]
pub struct Flags {
    /// Sizes to measure.
    #[arg(long, value_delimiter = ',', default_values_t = [10, 30, 100])]
    pub sizes: Vec<usize>,
    /// Changes at each size.
    #[arg(long, default_value_t = 30)]
    pub changes: usize,
    /// Flags of the measurement of calls.
    #[command(flatten)]
    pub overhead: overhead::Flags,
}

/// A figure that grows with the number of daemons.
#[derive(Clone, Debug, Serialize)]
pub struct Fit {
    /// Measured figure by size.
    pub measured: IndexMap<usize, f64>,
    /// Figure of an empty fleet, by least squares.
    pub intercept: f64,
    /// Growth per daemon, by least squares.
    pub slope: f64,
    /// Figure at 1,100 daemons: on that line, or that of the largest size where
    /// the figure falls.
    pub at_1100: f64,
    /// What is allowed, if anything is.
    pub budget: Option<f64>,
}

/// Figures.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Figures by name.
    pub lines: IndexMap<&'static str, Fit>,
    /// Control bytes per daemon and second at 1,100 daemons with 1,400 changes
    /// a day.
    pub control_bytes_per_daemon_per_s: f64,
    /// Share of a core per daemon for control at that size.
    pub control_cpu_share_per_daemon: f64,
    /// Calls that both proxies carry per second and core.
    pub calls_per_s_per_core: f64,
    /// Share of a core per daemon for calls at that size.
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
    // What falls with the size levels off above zero: the largest size bounds it.
    let largest = measured.last().map_or(0.0, |(_, figure)| *figure);
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
    let line = |figure: fn(&convergence::Report) -> f64, budget| {
        fit(reports.iter().map(|report| (report.daemons, figure(report))).collect(), budget)
    };
    let herd = |report: &convergence::Report| report.herd.clone().unwrap_or_default();
    let herd_line = |figure: fn(&convergence::Herd) -> f64| {
        fit(reports.iter().map(|r| (r.daemons, figure(&herd(r)))).collect(), None)
    };
    let mut lines = IndexMap::new();
    lines.insert("everywhere_p99_ms", line(|r| r.figures.p99_ms, Some(CONVERGENCE_BUDGET)));
    lines.insert(
        "idle_bytes_per_daemon_per_s",
        line(|r| r.figures.idle_bytes_per_daemon_per_s, Some(BYTES_BUDGET)),
    );
    lines.insert(
        "bytes_per_daemon_per_change",
        line(|r| r.figures.bytes_per_daemon_per_change, None),
    );
    lines.insert(
        "idle_messages_per_daemon_per_s",
        line(|r| r.figures.idle_messages_per_daemon_per_s, None),
    );
    lines.insert(
        "cross_region_bytes_per_change",
        line(|r| r.figures.cross_region_bytes_per_change, None),
    );
    lines.insert("idle_store_calls_per_s", line(|r| r.figures.idle_store_calls_per_s, None));
    lines.insert(
        "idle_cpu_core_share_per_daemon",
        line(|r| r.figures.idle_cpu_core_share_per_daemon, Some(CPU_BUDGET)),
    );
    lines.insert(
        "cpu_ms_per_daemon_per_change",
        line(|r| r.figures.cpu_ms_per_daemon_per_change, None),
    );
    lines.insert("rss_mb_per_daemon", line(|r| r.figures.rss_mb_per_daemon, Some(MEMORY_BUDGET)));
    lines.insert("herd_current_ms", herd_line(|h| h.current_ms));
    lines.insert("herd_store_calls", herd_line(|h| h.store_calls as f64));
    lines.insert("herd_bytes_per_daemon", herd_line(|h| h.bytes_per_daemon));
    let calls = overhead::run(&flags.overhead).await?;
    let at = |name: &str| lines.get(name).map_or(0.0, |line: &Fit| line.at_1100);
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
