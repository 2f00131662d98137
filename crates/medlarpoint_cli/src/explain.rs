//! Follows one call through the logs of several daemons.

use std::io::{BufRead, Read};

use serde::Deserialize;

/// A line of a daemon's log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Line {
    /// Wall-clock time, in milliseconds since the Unix epoch.
    pub(crate) at_ms: u64,
    /// VM of the daemon.
    pub(crate) vm: String,
    /// What happened, with the event's number first.
    pub(crate) text: String,
}

#[derive(Deserialize)]
struct Written {
    timestamp: u64,
    payload: String,
    kv: Fields,
}

#[derive(Deserialize)]
struct Fields {
    #[serde(default)]
    vm: String,
}

/// Returns the lines about a call, in order of time. Lines in another shape
/// than JSON are skipped; what stands before the JSON of a line, as a collector
/// may write it, is left out.
pub(crate) fn lines_about(id: &str, logs: impl Read) -> std::io::Result<Vec<Line>> {
    let mut found = Vec::new();
    for line in std::io::BufReader::new(logs).split(b'\n') {
        let line = String::from_utf8_lossy(&line?).into_owned();
        let Some(start) = line.find('{').filter(|_| line.contains(id)) else {
            continue;
        };
        let Ok(written) = serde_json::from_str::<Written>(&line[start..]) else {
            continue;
        };
        let words = written.payload.split([' ', ',', ':']);
        // Calls that a target made for this one carry its identity first.
        let names = |word: &str| {
            word.strip_prefix(id).is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
        };
        if words.into_iter().any(names) {
            let Written { timestamp, payload, kv } = written;
            found.push(Line { at_ms: timestamp, vm: kv.vm, text: payload });
        }
    }
    found.sort_by_key(|line| line.at_ms);
    Ok(found)
}

/// Writes lines with the time since the first.
pub(crate) fn render(lines: &[Line]) -> String {
    let first = lines.first().map_or(0, |line| line.at_ms);
    let width = lines.iter().map(|line| line.vm.len()).max().unwrap_or(0);
    let row =
        |line: &Line| format!("{:>7} ms  {:width$}  {}\n", line.at_ms - first, line.vm, line.text);
    lines.iter().map(row).collect()
}

#[cfg(test)]
mod tests;
