//! Reads score runs from the journal of benchmark runs.

use std::path::Path;

use indexmap::IndexMap;
use serde::Deserialize;

use super::Series;
use crate::Failure;

/// Fields of a journal entry that are drawn.
#[derive(Debug, Deserialize)]
struct Entry {
    #[serde(rename = "cmd")]
    command: String,
    site: Option<String>,
    #[serde(default)]
    days: Vec<Day>,
}

/// Result of one day of a benchmark run.
#[derive(Debug, Deserialize)]
struct Day {
    name: String,
    /// Worth of the served calls minus their costs, as a share of the worth of all
    /// calls.
    #[serde(rename = "G")]
    worth: Option<f64>,
}

/// Returns, by site, a series for each standard day: its worth by the number of
/// the score run.
///
/// Only entries of the command `score` count; days whose name starts with
/// `fresh` are not standard days.
pub(super) fn scores_by_site(folder: &Path) -> Result<IndexMap<String, Vec<Series>>, Failure> {
    let mut paths: Vec<_> = std::fs::read_dir(folder)?
        .map(|entry| entry.map(|entry| entry.path()))
        .collect::<Result<_, _>>()?;
    // File names begin with the time, so sorting by name is chronological.
    paths.sort();
    paths.retain(|path| path.extension().is_some_and(|extension| extension == "json"));
    let mut sites = IndexMap::new();
    let mut run_counts: IndexMap<String, usize> = IndexMap::new();
    for path in paths {
        let entry: Entry = super::read(&path)?;
        let Some(site) = entry.site.filter(|_| entry.command == "score") else {
            continue;
        };
        let run = run_counts.entry(site.clone()).or_default();
        *run += 1;
        let series = sites.entry(site).or_default();
        for day in entry.days.iter().filter(|day| !day.name.starts_with("fresh")) {
            if let Some(worth) = day.worth {
                add_point(series, &day.name, (*run as f64, worth));
            }
        }
    }
    Ok(sites)
}

/// Adds a point to the series of that name, which is created if missing.
fn add_point(series: &mut Vec<Series>, name: &str, point: (f64, f64)) {
    if let Some(existing) = series.iter_mut().find(|series| series.name == name) {
        existing.points.push(point);
        return;
    }
    series.push(Series { name: name.to_owned(), points: vec![point] });
}
