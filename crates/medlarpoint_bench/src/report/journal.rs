//! Reads the scores that the journal of the bench holds.

use std::path::Path;

use indexmap::IndexMap;
use serde::Deserialize;

use super::Series;
use crate::Failure;

/// An entry of the journal, as far as it is drawn.
#[derive(Debug, Deserialize)]
struct Entry {
    #[serde(rename = "cmd")]
    command: String,
    site: Option<String>,
    #[serde(default)]
    days: Vec<Day>,
}

#[derive(Debug, Deserialize)]
struct Day {
    name: String,
    /// Worth served, less prices, as a share of the worth asked for.
    #[serde(rename = "G")]
    worth: Option<f64>,
}

/// Returns the worth of each standard day over the scores of each site.
pub(super) fn rounds(folder: &Path) -> Result<IndexMap<String, Vec<Series>>, Failure> {
    let mut paths: Vec<_> = std::fs::read_dir(folder)?
        .map(|entry| entry.map(|entry| entry.path()))
        .collect::<Result<_, _>>()?;
    // Names begin with the time.
    paths.sort();
    paths.retain(|path| path.extension().is_some_and(|extension| extension == "json"));
    let mut sites = IndexMap::new();
    let mut scores: IndexMap<String, usize> = IndexMap::new();
    for path in paths {
        let entry: Entry = super::read(&path)?;
        let Some(site) = entry.site.filter(|_| entry.command == "score") else {
            continue;
        };
        let round = scores.entry(site.clone()).or_default();
        *round += 1;
        let series = sites.entry(site).or_default();
        for day in entry.days.iter().filter(|day| !day.name.starts_with("fresh")) {
            if let Some(worth) = day.worth {
                point(series, &day.name, (*round as f64, worth));
            }
        }
    }
    Ok(sites)
}

fn point(series: &mut Vec<Series>, name: &str, point: (f64, f64)) {
    if let Some(known) = series.iter_mut().find(|series| series.name == name) {
        known.points.push(point);
        return;
    }
    series.push(Series { name: name.to_owned(), points: vec![point] });
}
