//! Collects the log lines of one call from several daemons.

use std::io::{BufRead, Read};

use serde::Deserialize;

/// A log line of a daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Line {
    /// Wall-clock time, in milliseconds since the Unix epoch.
    pub(crate) at_ms: u64,
    /// VM of the daemon.
    pub(crate) vm: String,
    /// Message, starting with the event's number.
    pub(crate) text: String,
}

#[derive(Deserialize)]
struct JsonLine {
    timestamp: u64,
    payload: String,
    kv: JsonFields,
}

#[derive(Deserialize)]
struct JsonFields {
    #[serde(default)]
    vm: String,
}

/// Returns the lines about a call, ordered by time. Lines without valid JSON are
/// skipped; a prefix before the JSON, as log collectors write it, is ignored.
pub(crate) fn lines_about(id: &str, logs: impl Read) -> std::io::Result<Vec<Line>> {
    let mut found = Vec::new();
    for line in std::io::BufReader::new(logs).split(b'\n') {
        let line = String::from_utf8_lossy(&line?).into_owned();
        let Some(start) = line.find('{').filter(|_| line.contains(id)) else {
            continue;
        };
        let Ok(parsed) = serde_json::from_str::<JsonLine>(&line[start..]) else {
            continue;
        };
        let words = parsed.payload.split([' ', ',', ':']);
        // Nested calls, made by a target for this one, have `<id>.` as a prefix.
        let matches_id = |word: &str| {
            word.strip_prefix(id).is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
        };
        if words.into_iter().any(matches_id) {
            let JsonLine { timestamp, payload, kv } = parsed;
            found.push(Line { at_ms: timestamp, vm: kv.vm, text: payload });
        }
    }
    found.sort_by_key(|line| line.at_ms);
    Ok(found)
}

/// Renders the lines with the time since the first one.
pub(crate) fn render(lines: &[Line]) -> String {
    let first = lines.first().map_or(0, |line| line.at_ms);
    let width = lines.iter().map(|line| line.vm.len()).max().unwrap_or(0);
    let row =
        |line: &Line| format!("{:>7} ms  {:width$}  {}\n", line.at_ms - first, line.vm, line.text);
    lines.iter().map(row).collect()
}

#[cfg(test)]
mod tests;
