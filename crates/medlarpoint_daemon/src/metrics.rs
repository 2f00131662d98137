//! Metrics recorder of the process.

use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};

/// Upper bounds of the latency histogram buckets, in seconds.
const LATENCY_BUCKETS: [f64; 16] = [
    0.000_25, 0.000_5, 0.001, 0.002, 0.004, 0.008, 0.016, 0.032, 0.064, 0.125, 0.25, 0.5, 1.0, 2.0,
    5.0, 30.0,
];

/// Error while installing the metrics recorder.
#[derive(Debug, thiserror::Error)]
#[error("cannot install the metrics recorder: {0}")]
pub struct InstallError(#[from] metrics_exporter_prometheus::BuildError);

/// Installs the metrics recorder of this process and returns a handle that
/// renders its metrics.
pub fn install() -> Result<PrometheusHandle, InstallError> {
    let latencies = Matcher::Suffix("_seconds".to_owned());
    let builder = PrometheusBuilder::new().set_buckets_for_metric(latencies, &LATENCY_BUCKETS)?;
    Ok(builder.install_recorder()?)
}
