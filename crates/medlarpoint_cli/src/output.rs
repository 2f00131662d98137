//! Renders answers for people.

use std::fmt::Write as _;
use std::io::IsTerminal;

use anstyle::{AnsiColor, Style};
use indexmap::IndexMap;
use medlarpoint_api::{
    Activation, DataCentreState, DataCentreStatus, Explanation, History, HistoryEntry, Resources,
    Status,
};
use medlarpoint_model::{Resource, Version};
use serde_json::Value;

use crate::diff::{Difference, Relation};

/// Colours, used on a terminal only.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Palette {
    on: bool,
}

impl Palette {
    pub(crate) fn detect() -> Self {
        Self { on: std::io::stdout().is_terminal() && std::env::var_os("NO_COLOR").is_none() }
    }

    pub(crate) fn plain() -> Self {
        Self { on: false }
    }

    fn paint(self, color: AnsiColor, text: &str) -> String {
        if !self.on {
            return text.to_owned();
        }
        let style = Style::new().fg_color(Some(color.into()));
        format!("{style}{text}{style:#}")
    }
}

/// Renders resources as a document that can be applied again.
pub(crate) fn resources(resources: &Resources) -> String {
    let mut document: IndexMap<String, Vec<Value>> = IndexMap::new();
    for entry in &resources.entries {
        let kind = entry.resource.key().kind.to_string();
        document.entry(kind).or_default().push(value(&entry.resource));
    }
    let text = toml::to_string_pretty(&document).unwrap_or_default();
    format!("# {} {}\n{text}", resources.version, resources.digest)
}

pub(crate) fn differences(differences: &[Difference], palette: Palette) -> String {
    let mut text = String::new();
    for difference in differences {
        let key = difference.wanted.key();
        let line = match difference.relation {
            Relation::Same => continue,
            Relation::Create => palette.paint(AnsiColor::Green, &format!("+ {key}")),
            Relation::Replace => palette.paint(AnsiColor::Yellow, &format!("~ {key}")),
        };
        let _ = writeln!(text, "{line}");
        let before = difference.present.as_ref().map(|entry| fields(&entry.resource));
        for (name, value) in fields(&difference.wanted) {
            let old = before.as_ref().and_then(|before| before.get(&name));
            if difference.relation == Relation::Replace && old != Some(&value) {
                let old = old.map_or("unset".to_owned(), Value::to_string);
                let _ = writeln!(text, "    {name}: {old} -> {value}");
            }
        }
    }
    if text.is_empty() { "no differences\n".to_owned() } else { text }
}

fn fields(resource: &Resource) -> IndexMap<String, Value> {
    serde_json::from_value(value(resource)).unwrap_or_default()
}

/// Renders a resource as a document has it, without its kind.
fn value(resource: &Resource) -> Value {
    let value = match resource {
        Resource::Policy(policy) => serde_json::to_value(policy),
        Resource::Route(route) => serde_json::to_value(route),
        Resource::Service(service) => serde_json::to_value(service),
    };
    value.unwrap_or_default()
}

pub(crate) fn status(status: &Status, now_ms: u64, palette: Palette) -> String {
    let mut text = String::new();
    let serving = match (&status.waiting, status.serving) {
        (_, true) => palette.paint(AnsiColor::Green, "serving"),
        (Some(reason), false) => palette.paint(AnsiColor::Red, &format!("not serving: {reason}")),
        (None, false) => palette.paint(AnsiColor::Yellow, "stopping"),
    };
    let _ =
        writeln!(text, "{} in {}: {serving}, {}", status.vm, status.data_centre, status.version);
    let store = match (&status.store.reason, status.store.down_since_ms) {
        (Some(reason), Some(since)) => {
            let age = age(now_ms, since);
            let line = format!("down for {age}, writes are refused ({reason})");
            palette.paint(AnsiColor::Red, &line)
        }
        _ => palette.paint(AnsiColor::Green, "available"),
    };
    let _ = writeln!(text, "store: {store}");
    if let Some(target) = &status.target {
        let state = match (target.down, target.draining) {
            (true, _) => palette.paint(AnsiColor::Red, "refuses connections"),
            (false, true) => palette.paint(AnsiColor::Yellow, "draining"),
            (false, false) => palette.paint(AnsiColor::Green, "takes calls"),
        };
        let _ = writeln!(
            text,
            "target of {}: {state}, {} of {} slots busy, {} waiting",
            target.service, target.running, target.usable, target.queued,
        );
    }
    let _ = writeln!(text, "newest version: {}", status.newest);
    let width = status.data_centres.iter().map(|p| p.data_centre.as_str().len()).max();
    for place in &status.data_centres {
        let _ = writeln!(text, "  {}", place_line(place, width.unwrap_or(0), now_ms, palette));
    }
    text
}

fn place_line(place: &DataCentreStatus, width: usize, now_ms: u64, palette: Palette) -> String {
    let name = format!("{:width$}", place.data_centre.as_str());
    match place.state {
        DataCentreState::InForce => {
            let state = palette.paint(AnsiColor::Green, "in force  ");
            let age = age(now_ms, place.since_ms);
            format!("{name}  {state}  {} for {age}, {} members", place.version, place.live)
        }
        DataCentreState::Converging => {
            let state = palette.paint(AnsiColor::Yellow, "converging");
            let mut line = format!(
                "{name}  {state}  {} on all, {} of {} behind",
                place.version, place.behind, place.live,
            );
            for laggard in &place.laggards {
                let has =
                    laggard.applied.map_or("no report yet".to_owned(), |v| format!("has {v}"));
                let _ = write!(line, "; {} {has}", laggard.vm);
            }
            line
        }
        DataCentreState::Unknown => {
            let state = palette.paint(AnsiColor::Red, "unknown   ");
            let silence = place.heard_ms_ago / 1_000;
            format!("{name}  {state}  not heard of for {silence} s, had {}", place.version)
        }
    }
}

/// Renders the time since a moment.
pub(crate) fn age(now_ms: u64, since_ms: u64) -> String {
    let seconds = now_ms.saturating_sub(since_ms) / 1_000;
    match seconds {
        0..=119 => format!("{seconds} s"),
        120..=7_199 => format!("{} min", seconds / 60),
        _ => format!("{} h", seconds / 3_600),
    }
}

pub(crate) fn history(history: &History, now_ms: u64) -> String {
    let mut text = String::new();
    for line in &history.lines {
        let ago = age(now_ms, line.at_ms);
        let _ = writeln!(
            text,
            "{} by {} {ago} ago (commit {})",
            line.version, line.author, line.commit
        );
        for changed in &line.changes {
            let _ = writeln!(text, "    {} {}", changed.action, changed.key);
        }
        let _ = writeln!(text, "    in force: {}", reached(line));
    }
    if text.is_empty() { "no version is known here\n".to_owned() } else { text }
}

fn reached(line: &HistoryEntry) -> String {
    let one = |reached: &Activation| match (reached.at_ms, reached.with) {
        (Some(at), with) => {
            let after = at.saturating_sub(line.at_ms);
            let with: String = with.map(|v| format!(" with {v}")).unwrap_or_default();
            format!("{} after {after} ms{with}", reached.data_centre)
        }
        (None, _) => format!("{} not seen", reached.data_centre),
    };
    let all: Vec<String> = line.in_force.iter().map(one).collect();
    all.join(", ")
}

pub(crate) fn why(why: &Explanation) -> String {
    let mut text = format!("as {} sees it, with {} in force:\n", why.vm, why.version);
    for finding in &why.findings {
        let _ = writeln!(text, "  {:<10} {}", finding.kind, finding.text);
    }
    text
}

/// Renders progress towards a version in one line.
pub(crate) fn progress(status: &Status, version: Version) -> String {
    let reached = |place: &&DataCentreStatus| place.version >= version;
    let count = status.data_centres.iter().filter(reached).count();
    let waiting: Vec<String> = status
        .data_centres
        .iter()
        .filter(|place| place.version < version)
        .map(|place| match place.state {
            DataCentreState::Unknown => format!("{} unknown", place.data_centre),
            _ => format!("{} {} of {} behind", place.data_centre, place.behind, place.live),
        })
        .collect();
    let total = status.data_centres.len();
    let tail = if waiting.is_empty() { String::new() } else { format!(": {}", waiting.join(", ")) };
    format!("{version} in force in {count} of {total} data centres{tail}")
}
