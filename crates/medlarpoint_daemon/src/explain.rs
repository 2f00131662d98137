//! Explains a resource, a version or a target as this daemon sees it.

use medlarpoint_api::{Explanation, Finding};
use medlarpoint_model::{Entry, Key, Name, Resource, Version, Vm};
use medlarpoint_wire::{Readiness, Record};

use crate::state::{Control, Shared, lock};

fn finding(kind: &str, text: String) -> Finding {
    Finding { kind: kind.to_owned(), text }
}

fn explanation(shared: &Shared, resource: Option<Key>, findings: Vec<Finding>) -> Explanation {
    let vm = shared.settings.options.vm.clone();
    Explanation { vm, version: shared.version(), resource, findings }
}

/// Explains whether a resource is in force here, and which targets serve it.
pub(crate) fn resource(shared: &Shared, key: Key) -> Explanation {
    let in_force = shared.in_force.load_full();
    let control = lock(&shared.control);
    let mut findings = Vec::new();
    match in_force.snapshot.entries.get(&key) {
        None => findings.push(absent(&control, &key)),
        Some(entry) => {
            findings.push(present(&control, entry));
            findings.extend(service_of(entry).iter().flat_map(|s| targets(shared, &control, s)));
        }
    }
    drop(control);
    explanation(shared, Some(key), findings)
}

fn absent(control: &Control, key: &Key) -> Finding {
    let deletion = control.history.entries().rev().find(|committed| {
        let mut changes = committed.delta.changes.iter();
        changes.any(|change| change.key() == *key)
    });
    match deletion {
        Some(committed) => finding(
            "deleted",
            format!(
                "{key} was deleted in {} by {}",
                committed.delta.version, committed.delta.author
            ),
        ),
        None => finding("absent", format!("{key} is not declared in the version in force here")),
    }
}

fn present(control: &Control, entry: &Entry) -> Finding {
    let key = entry.resource.key();
    let committed =
        control.history.entries().find(|committed| committed.delta.version == entry.changed);
    let text = match committed {
        Some(committed) => format!(
            "{key} is as {} committed it in {} at {} ms (commit {})",
            committed.delta.author, entry.changed, committed.delta.at_ms, committed.delta.commit,
        ),
        None => format!("{key} is as committed in {}", entry.changed),
    };
    finding("in-force", text)
}

fn service_of(entry: &Entry) -> Option<Name> {
    match &entry.resource {
        Resource::Route(route) => Some(route.service.clone()),
        Resource::Service(service) => Some(service.name.clone()),
        Resource::Policy(_) | Resource::Workspace(_) => None,
    }
}

fn targets(shared: &Shared, control: &Control, service: &Name) -> Vec<Finding> {
    let serves =
        |record: &&Record| record.target.as_ref().is_some_and(|target| target.service == *service);
    let members = control.detector.table().members().map(|member| &member.record);
    let found: Vec<Finding> =
        members.filter(serves).map(|record| target_finding(shared, record)).collect();
    if found.is_empty() {
        let text = format!("no target is registered for {service}");
        return vec![finding("no-target", text)];
    }
    found
}

fn target_finding(shared: &Shared, record: &Record) -> Finding {
    let location = format!("{} in {}", record.vm, record.data_centre);
    if !record.is_live() {
        return finding("excluded", format!("{location} is {}", record.status));
    }
    let Some(target) = &record.target else {
        return finding("excluded", format!("{location} has no target"));
    };
    if target.readiness == Readiness::Draining {
        return finding("excluded", format!("{location} is draining"));
    }
    let now = shared.now();
    let ejected = shared.service(&target.service).and_then(|service| {
        let picker = lock(&service.picker);
        picker.ejected_until(now, &record.vm)
    });
    match ejected {
        Some(until) => {
            let wait_ms = until.saturating_sub(now).as_millis();
            let text = format!("{location} is unreachable from here; next try in {wait_ms} ms");
            finding("set-aside", text)
        }
        None => finding("eligible", format!("{location} accepts calls, {} slots", target.slots)),
    }
}

/// Explains who committed a version and where it is in force.
pub(crate) fn version(shared: &Shared, requested: Version) -> Explanation {
    let control = lock(&shared.control);
    let current = control.replica.current().version;
    let mut findings = Vec::new();
    let committed =
        control.history.entries().find(|committed| committed.delta.version == requested);
    match committed {
        Some(committed) => {
            let delta = &committed.delta;
            let text = format!(
                "{requested} was committed by {} at {} ms (commit {}) and changes {} resources",
                delta.author,
                delta.at_ms,
                delta.commit,
                delta.changes.len(),
            );
            findings.push(finding("committed", text));
            for (data_centre, activation) in &committed.in_force {
                let text = format!(
                    "in force in {data_centre} at {} ms, observed when {} was in force here",
                    activation.at_ms, activation.seen
                );
                findings.push(finding("in-force", text));
            }
        }
        None => findings
            .push(finding("unknown", format!("{requested} is not in the history of this daemon"))),
    }
    let text = if requested > current {
        format!("{current} is in force here: {requested} has not arrived")
    } else {
        format!("{current} is in force here, which includes {requested}")
    };
    findings.push(finding("local", text));
    if let Some((at_ms, reason)) = &control.last_rejection {
        findings.push(finding("refused", format!("last rejection here, at {at_ms} ms: {reason}")));
    }
    drop(control);
    explanation(shared, None, findings)
}

/// Explains whether the target of a VM receives calls from here.
pub(crate) fn target(shared: &Shared, vm: &Vm) -> Explanation {
    let control = lock(&shared.control);
    let found = match control.detector.table().get(vm) {
        Some(member) => {
            let age = shared.now().saturating_sub(member.status_since).as_secs();
            let text = format!("{vm} has been {} for {age} s", member.record.status);
            vec![finding("member", text), target_finding(shared, &member.record)]
        }
        None => vec![finding("unknown", format!("{vm} is not a known member"))],
    };
    drop(control);
    explanation(shared, None, found)
}
