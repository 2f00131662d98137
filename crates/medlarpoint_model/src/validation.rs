//! Rules that a complete configuration must satisfy.

use std::collections::HashMap;

use crate::{
    Diagnostic, Diagnostics, KeyDigest, Matcher, PathPrefix, Policy, Resource, Route, Rule,
    Service, Snapshot, Workspace,
};

/// Upper limit for the deadline of a route, in milliseconds.
const MAX_DEADLINE_MS: u64 = 600_000;
/// Upper limit for the number of attempts of a call.
const MAX_ATTEMPTS: u32 = 100;
/// Upper limit for the slow-start period of a policy, in milliseconds.
const MAX_RAMP_MS: u64 = 600_000;

/// Checks every rule and returns a diagnostic for each violation.
pub fn validate(snapshot: &Snapshot) -> Result<(), Diagnostics> {
    let mut diagnostics = Vec::new();
    let mut matchers = HashMap::new();
    let mut key_owners = HashMap::new();
    for entry in snapshot.entries.values() {
        match &entry.resource {
            Resource::Policy(policy) => check_policy(policy, &mut diagnostics),
            Resource::Service(service) => check_service(snapshot, service, &mut diagnostics),
            Resource::Route(route) => {
                check_route(snapshot, route, &mut diagnostics);
                check_ambiguity(route, &mut matchers, &mut diagnostics);
            }
            Resource::Workspace(workspace) => {
                check_workspace(workspace, &mut key_owners, &mut diagnostics);
            }
        }
    }
    if diagnostics.is_empty() { Ok(()) } else { Err(Diagnostics(diagnostics)) }
}

fn check_policy(policy: &Policy, diagnostics: &mut Vec<Diagnostic>) {
    let mut check_range = |field: &str, value: u64, low: u64, high: u64| {
        if (low..=high).contains(&value) {
            return;
        }
        diagnostics.push(Diagnostic {
            rule: Rule::Range,
            path: format!("policy[{}].{field}", policy.name),
            message: format!("{value} is outside {low} to {high}"),
        });
    };
    check_range("long_share_percent", policy.long_share_percent.into(), 1, 100);
    check_range("queue_per_slot", policy.queue_per_slot.into(), 0, 1_000);
    check_range("retry_budget_percent", policy.retry_budget_percent.into(), 0, 100);
    check_range("hedge_budget_percent", policy.hedge_budget_percent.into(), 0, 100);
    check_range("ramp_ms", policy.ramp_ms, 0, MAX_RAMP_MS);
    for (tenant, weight) in &policy.tenant_weights {
        check_range(&format!("tenant_weights.{tenant}"), (*weight).into(), 1, 1_000);
    }
}

fn check_service(snapshot: &Snapshot, service: &Service, diagnostics: &mut Vec<Diagnostic>) {
    let Some(policy) = &service.policy else {
        return;
    };
    if snapshot.policy(policy).is_some() {
        return;
    }
    diagnostics.push(Diagnostic {
        rule: Rule::UnknownPolicy,
        path: format!("service[{}].policy", service.name),
        message: format!("policy {policy} does not exist: declare it or leave the field out"),
    });
}

fn check_workspace<'a>(
    workspace: &'a Workspace,
    key_owners: &mut HashMap<KeyDigest, &'a Workspace>,
    diagnostics: &mut Vec<Diagnostic>,
) {
    for key in &workspace.keys {
        let Some(other) = key_owners.insert(*key, workspace) else {
            continue;
        };
        diagnostics.push(Diagnostic {
            rule: Rule::SharedKey,
            path: format!("workspace[{}].keys", workspace.name),
            message: format!("workspace {} has the same key: remove one of them", other.name),
        });
    }
    if workspace.quota.is_some_and(|quota| quota.calls_per_1000_s == 0) {
        diagnostics.push(Diagnostic {
            rule: Rule::Range,
            path: format!("workspace[{}].quota.calls_per_1000_s", workspace.name),
            message: "must not be 0: leave the quota out for no limit".to_owned(),
        });
    }
}

fn check_route(snapshot: &Snapshot, route: &Route, diagnostics: &mut Vec<Diagnostic>) {
    let path = |field: &str| format!("route[{}].{field}", route.name);
    let split = route.split.iter().map(|share| (&share.service, "split"));
    for (service, field) in std::iter::once((&route.service, "service")).chain(split) {
        if snapshot.service(service).is_none() {
            diagnostics.push(Diagnostic {
                rule: Rule::DanglingService,
                path: path(field),
                message: format!("service {service} does not exist: declare it first"),
            });
        }
    }
    if !route.split.is_empty() && route.split.iter().all(|share| share.weight == 0) {
        diagnostics.push(Diagnostic {
            rule: Rule::Range,
            path: path("split"),
            message: "all weights are 0: give at least one service a higher weight".to_owned(),
        });
    }
    if !(1..=MAX_ATTEMPTS).contains(&route.attempts) {
        diagnostics.push(Diagnostic {
            rule: Rule::Range,
            path: path("attempts"),
            message: format!("{} is outside 1 to {MAX_ATTEMPTS}", route.attempts),
        });
    }
    if !(1..=MAX_DEADLINE_MS).contains(&route.deadline_ms) {
        diagnostics.push(Diagnostic {
            rule: Rule::Range,
            path: path("deadline_ms"),
            message: format!("{} is outside 1 to {MAX_DEADLINE_MS}", route.deadline_ms),
        });
    }
    for (field, message) in matcher_violations(&route.matcher) {
        diagnostics.push(Diagnostic { rule: Rule::Matcher, path: path(&field), message });
    }
}

fn matcher_violations(matcher: &Matcher) -> Vec<(String, String)> {
    let mut violations = Vec::new();
    if let Some(prefix) = &matcher.path_prefix
        && !prefix.is_valid()
    {
        let message =
            format!("{:?} must start with / and contain no ?, # or space", prefix.as_str());
        violations.push(("match.path_prefix".to_owned(), message));
    }
    if let Some(host) = &matcher.host
        && (host.is_empty() || host.contains([':', '/', ' ']))
    {
        let message = format!("{host:?} must be a host name without port or path");
        violations.push(("match.host".to_owned(), message));
    }
    for method in &matcher.methods {
        if method.is_empty() || !method.bytes().all(|b| b.is_ascii_uppercase()) {
            let message = format!("{method:?} must be a method in upper case");
            violations.push(("match.methods".to_owned(), message));
        }
    }
    for name in matcher.headers.keys() {
        let is_token =
            |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-' || b == b'_';
        if name.is_empty() || !name.bytes().all(is_token) {
            let message = format!("{name:?} must be a header name in lower case");
            violations.push((format!("match.headers.{name}"), message));
        }
    }
    violations
}

type MatcherKey = (String, String, Vec<String>, Vec<(String, String)>);

fn check_ambiguity<'a>(
    route: &'a Route,
    seen: &mut HashMap<MatcherKey, &'a Route>,
    diagnostics: &mut Vec<Diagnostic>,
) {
    let matcher = &route.matcher;
    let mut methods = matcher.methods.clone();
    methods.sort_unstable();
    let mut headers: Vec<_> = matcher.headers.clone().into_iter().collect();
    headers.sort_unstable();
    let host = matcher.host.as_deref().unwrap_or("").to_ascii_lowercase();
    let prefix = matcher.path_prefix.as_ref().map_or("/", PathPrefix::as_str).to_owned();
    let Some(other) = seen.insert((host, prefix, methods, headers), route) else {
        return;
    };
    diagnostics.push(Diagnostic {
        rule: Rule::Ambiguous,
        path: format!("route[{}].match", route.name),
        message: format!("route {} matches the same calls: change one of them", other.name),
    });
}
