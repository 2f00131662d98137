//! Draws figures from the journal of the bench and from experiments.

mod chart;
mod journal;

use std::path::{Path, PathBuf};

use serde::Deserialize;
use serde::de::DeserializeOwned;

use crate::Failure;
use chart::Series;

/// Flags.
#[derive(Clone, Debug, clap::Args)]
pub struct Flags {
    /// Folder of the journal.
    #[arg(long, default_value = "journal")]
    journal: PathBuf,
    /// Output of the experiment `crest` in JSON, for goodput over a burst.
    #[arg(long)]
    crest: Option<PathBuf>,
    /// Output of the experiment `blocking` in JSON, for latency by class.
    #[arg(long)]
    blocking: Option<PathBuf>,
    /// Folder for the drawings.
    #[arg(long, default_value = "docs/figures")]
    out: PathBuf,
}

/// What is drawn of the experiment `crest`.
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

/// What is drawn of the experiment `blocking`.
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

/// Reads what an experiment printed with `--output-format json`: its report is
/// the last line.
fn read_output<T: DeserializeOwned>(path: &Path) -> Result<T, Failure> {
    let text = std::fs::read_to_string(path)?;
    Ok(serde_json::from_str(text.lines().next_back().unwrap_or_default())?)
}

/// Draws every figure for which there is data; returns their paths.
pub fn run(flags: &Flags) -> Result<Vec<PathBuf>, Failure> {
    std::fs::create_dir_all(&flags.out)?;
    let mut drawn = Vec::new();
    for (site, days) in journal::rounds(&flags.journal)? {
        let path = flags.out.join(format!("worth-{site}.svg"));
        let caption = format!("worth by day over the scores of {site}");
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
    let points = |seconds: &[u64]| {
        let shares = seconds.iter().map(|good| *good as f64 / crest.capacity);
        shares.enumerate().map(|(second, share)| (second as f64, share)).collect()
    };
    let series = [
        Series { name: "medlarpoint".to_owned(), points: points(&crest.good_by_second) },
        Series { name: "calls in turn".to_owned(), points: points(&crest.baseline.good_by_second) },
    ];
    let caption = "good answers over a burst of three times the capacity";
    chart::lines(path, caption, "second", "share of the capacity", &series)
}

fn draw_blocking(path: &Path, blocking: &Blocking) -> Result<(), Failure> {
    let bars = [
        ("medlarpoint, alone", blocking.short_p99_alone_ms),
        ("medlarpoint, beside long work", blocking.short_p99_beside_ms),
        ("calls in turn, alone", blocking.baseline.short_p99_alone_ms),
        ("calls in turn, beside long work", blocking.baseline.short_p99_beside_ms),
    ];
    chart::bars(path, "99th percentile of short calls", "ms", &bars)
}

#[cfg(test)]
mod tests;
