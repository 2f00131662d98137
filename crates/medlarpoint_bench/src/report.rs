//! Draws charts from the journal of benchmark runs and from reports of
//! experiments.

mod chart;
mod journal;

use std::path::{Path, PathBuf};

use serde::Deserialize;
use serde::de::DeserializeOwned;

use crate::Failure;
use chart::Series;

/// Flags of the command `report`.
#[derive(Clone, Debug, clap::Args)]
pub struct Flags {
    /// Folder of the journal, which holds one JSON file for each benchmark run.
    #[arg(long, default_value = "journal")]
    journal: PathBuf,
    /// JSON output of the experiment `crest`; goodput is drawn from it.
    #[arg(long)]
    crest: Option<PathBuf>,
    /// JSON output of the experiment `blocking`; latency of short calls is drawn
    /// from it.
    #[arg(long)]
    blocking: Option<PathBuf>,
    /// Folder for the charts, as SVG files.
    #[arg(long, default_value = "docs/figures")]
    out: PathBuf,
}

/// Fields of the report of the experiment `crest` that are drawn.
#[derive(Debug, Deserialize)]
struct Crest {
    capacity: f64,
    good_by_second: Vec<u64>,
    baseline: CrestBaseline,
}

#[derive(Debug, Deserialize)]
struct CrestBaseline {
    good_by_second: Vec<u64>,
}

/// Fields of the report of the experiment `blocking` that are drawn.
#[derive(Debug, Deserialize)]
struct Blocking {
    short_p99_alone_ms: f64,
    short_p99_beside_ms: f64,
    baseline: BlockingBaseline,
}

#[derive(Debug, Deserialize)]
struct BlockingBaseline {
    short_p99_alone_ms: f64,
    short_p99_beside_ms: f64,
}

fn read<T: DeserializeOwned>(path: &Path) -> Result<T, Failure> {
    Ok(serde_json::from_slice(&std::fs::read(path)?)?)
}

/// Reads the report of an experiment from its output with
/// `--output-format json`, of which it is the last line.
fn read_output<T: DeserializeOwned>(path: &Path) -> Result<T, Failure> {
    let text = std::fs::read_to_string(path)?;
    Ok(serde_json::from_str(text.lines().next_back().unwrap_or_default())?)
}

/// Draws every chart for which there is data and returns the paths.
pub fn run(flags: &Flags) -> Result<Vec<PathBuf>, Failure> {
    std::fs::create_dir_all(&flags.out)?;
    let mut drawn = Vec::new();
    for (site, days) in journal::scores_by_site(&flags.journal)? {
        let path = flags.out.join(format!("worth-{site}.svg"));
        let caption = format!("worth of each day by score run of {site}");
        chart::lines(&path, &caption, "score", "worth", &days)?;
        drawn.push(path);
    }
    if let Some(file) = &flags.crest {
        let path = flags.out.join("goodput.svg");
        draw_crest(&path, &read_output(file)?)?;
        drawn.push(path);
    }
    if let Some(file) = &flags.blocking {
        let path = flags.out.join("latency.svg");
        draw_blocking(&path, &read_output(file)?)?;
        drawn.push(path);
    }
    Ok(drawn)
}

fn draw_crest(path: &Path, crest: &Crest) -> Result<(), Failure> {
    let points = |counts: &[u64]| {
        let shares = counts.iter().map(|count| *count as f64 / crest.capacity);
        shares.enumerate().map(|(second, share)| (second as f64, share)).collect()
    };
    let series = [
        Series { name: "medlarpoint".to_owned(), points: points(&crest.good_by_second) },
        Series { name: "round robin".to_owned(), points: points(&crest.baseline.good_by_second) },
    ];
    let caption = "successful responses during a burst of three times the capacity";
    chart::lines(path, caption, "second", "share of capacity", &series)
}

fn draw_blocking(path: &Path, blocking: &Blocking) -> Result<(), Failure> {
    let bars = [
        ("medlarpoint, alone", blocking.short_p99_alone_ms),
        ("medlarpoint, beside long calls", blocking.short_p99_beside_ms),
        ("round robin, alone", blocking.baseline.short_p99_alone_ms),
        ("round robin, beside long calls", blocking.baseline.short_p99_beside_ms),
    ];
    chart::bars(path, "99th percentile of short calls", "ms", &bars)
}

#[cfg(test)]
mod tests;
