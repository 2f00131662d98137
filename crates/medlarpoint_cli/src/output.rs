//! Renders results as text for people.

use std::fmt::Write as _;
use std::io::IsTerminal;

use anstyle::{AnsiColor, Style};
use indexmap::IndexMap;
use medlarpoint_api::{
    Activation, DataCentreState, DataCentreStatus, Explanation, History, HistoryEntry, Resources,
    Status,
};
use medlarpoint_model::{Resource, Version, Vm};
use serde_json::Value;

use crate::diff::{Difference, Relation};

/// Colours of the output, used only on a terminal.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Palette {
    enabled: bool,
}

impl Palette {
    /// Enables colours on a terminal, unless `NO_COLOR` is set.
    pub(crate) fn detect() -> Self {
        Self { enabled: std::io::stdout().is_terminal() && std::env::var_os("NO_COLOR").is_none() }
    }

    /// Disables colours.
    pub(crate) fn plain() -> Self {
        Self { enabled: false }
    }

    fn paint(self, color: AnsiColor, text: &str) -> String {
        if !self.enabled {
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

/// Renders what a document would change.
pub(crate) fn differences(differences: &[Difference], palette: Palette) -> String {
    let mut text = String::new();
    for difference in differences {
        let key = difference.declared.key();
        let line = match difference.relation {
            Relation::Same => continue,
            Relation::Create => palette.paint(AnsiColor::Green, &format!("+ {key}")),
            Relation::Replace => palette.paint(AnsiColor::Yellow, &format!("~ {key}")),
        };
        let _ = writeln!(text, "{line}");
        let before = difference.current.as_ref().map(|entry| fields(&entry.resource));
        for (name, value) in fields(&difference.declared) {
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

/// Returns a resource as a document contains it, without its kind.
fn value(resource: &Resource) -> Value {
    let value = match resource {
        Resource::Policy(policy) => serde_json::to_value(policy),
        Resource::Route(route) => serde_json::to_value(route),
        Resource::Service(service) => serde_json::to_value(service),
        Resource::Workspace(workspace) => serde_json::to_value(workspace),
    };
    value.unwrap_or_default()
}

/// Renders the status of the fleet.
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
            let line = format!("unavailable for {age}, writes are rejected ({reason})");
            palette.paint(AnsiColor::Red, &line)
        }
        _ => palette.paint(AnsiColor::Green, "available"),
    };
    let _ = writeln!(text, "store: {store}");
    if let Some(target) = &status.target {
        let state = match (target.down, target.draining) {
            (true, _) => palette.paint(AnsiColor::Red, "refuses connections"),
            (false, true) => palette.paint(AnsiColor::Yellow, "draining"),
            (false, false) => palette.paint(AnsiColor::Green, "accepts calls"),
        };
        let _ = writeln!(
            text,
            "target of {}: {state}, {} of {} slots in use, {} calls queued",
            target.service, target.running, target.usable, target.queued,
        );
    }
    if !status.allocators.is_empty() {
        let allocators: Vec<&str> = status.allocators.iter().map(Vm::as_str).collect();
        let _ = writeln!(text, "allocators of quotas: {}", allocators.join(", "));
    }
    let _ = writeln!(text, "newest version: {}", status.newest);
    let width = status.data_centres.iter().map(|p| p.data_centre.as_str().len()).max();
    for data_centre in &status.data_centres {
        let _ = writeln!(
            text,
            "  {}",
            data_centre_line(data_centre, width.unwrap_or(0), now_ms, palette)
        );
    }
    text
}

/// Renders the state of a data centre in one line.
fn data_centre_line(
    data_centre: &DataCentreStatus,
    width: usize,
    now_ms: u64,
    palette: Palette,
) -> String {
    let name = format!("{:width$}", data_centre.data_centre.as_str());
    match data_centre.state {
        DataCentreState::InForce => {
            let state = palette.paint(AnsiColor::Green, "in force  ");
            let age = age(now_ms, data_centre.since_ms);
            format!(
                "{name}  {state}  {} for {age}, {} members",
                data_centre.version, data_centre.live
            )
        }
        DataCentreState::Converging => {
            let state = palette.paint(AnsiColor::Yellow, "converging");
            let mut line = format!(
                "{name}  {state}  {} on all, {} of {} behind",
                data_centre.version, data_centre.behind, data_centre.live,
            );
            for laggard in &data_centre.laggards {
                let has =
                    laggard.applied.map_or("no report yet".to_owned(), |v| format!("has {v}"));
                let _ = write!(line, "; {} {has}", laggard.vm);
            }
            line
        }
        DataCentreState::Unknown => {
            let state = palette.paint(AnsiColor::Red, "unknown   ");
            let silence = data_centre.heard_ms_ago / 1_000;
            format!("{name}  {state}  no report for {silence} s, last had {}", data_centre.version)
        }
    }
}

/// Renders the time that has passed since `since_ms`.
pub(crate) fn age(now_ms: u64, since_ms: u64) -> String {
    let seconds = now_ms.saturating_sub(since_ms) / 1_000;
    match seconds {
        0..=119 => format!("{seconds} s"),
        120..=7_199 => format!("{} min", seconds / 60),
        _ => format!("{} h", seconds / 3_600),
    }
}

/// Renders recent versions with their changes.
pub(crate) fn history(history: &History, now_ms: u64) -> String {
    let mut text = String::new();
    for entry in &history.lines {
        let ago = age(now_ms, entry.at_ms);
        let _ = writeln!(
            text,
            "{} by {} {ago} ago (commit {})",
            entry.version, entry.author, entry.commit
        );
        for change in &entry.changes {
            let _ = writeln!(text, "    {} {}", change.action, change.key);
        }
        let _ = writeln!(text, "    in force: {}", activations(entry));
    }
    if text.is_empty() { "the daemon knows no version\n".to_owned() } else { text }
}

/// Renders when a version came into force in each data centre.
fn activations(entry: &HistoryEntry) -> String {
    let render = |activation: &Activation| match (activation.at_ms, activation.with) {
        (Some(at), with) => {
            let after = at.saturating_sub(entry.at_ms);
            let with: String = with.map(|v| format!(" with {v}")).unwrap_or_default();
            format!("{} after {after} ms{with}", activation.data_centre)
        }
        (None, _) => format!("{} not seen in force", activation.data_centre),
    };
    let all: Vec<String> = entry.in_force.iter().map(render).collect();
    all.join(", ")
}

pub(crate) fn explanation(explanation: &Explanation) -> String {
    let mut text =
        format!("as seen by {}, with {} in force:\n", explanation.vm, explanation.version);
    for finding in &explanation.findings {
        let _ = writeln!(text, "  {:<10} {}", finding.kind, finding.text);
    }
    text
}

/// Renders in one line how far a version is in force.
pub(crate) fn progress(status: &Status, version: Version) -> String {
    let in_force = |data_centre: &&DataCentreStatus| data_centre.version >= version;
    let count = status.data_centres.iter().filter(in_force).count();
    let pending: Vec<String> = status
        .data_centres
        .iter()
        .filter(|data_centre| data_centre.version < version)
        .map(|data_centre| match data_centre.state {
            DataCentreState::Unknown => format!("{} unknown", data_centre.data_centre),
            _ => format!(
                "{} {} of {} behind",
                data_centre.data_centre, data_centre.behind, data_centre.live
            ),
        })
        .collect();
    let total = status.data_centres.len();
    let tail = if pending.is_empty() { String::new() } else { format!(": {}", pending.join(", ")) };
    format!("{version} in force in {count} of {total} data centres{tail}")
}
