//! Rules that a whole configuration must satisfy.

use std::collections::HashMap;

use crate::{Diagnostic, Diagnostics, Matcher, Policy, Resource, Route, Rule, Service, Snapshot};

/// Longest permitted deadline, in milliseconds.
const MAX_DEADLINE_MS: u64 = 600_000;
/// Most targets that one call may be given.
const MAX_ATTEMPTS: u32 = 100;
/// Longest permitted ramp, in milliseconds.
const MAX_RAMP_MS: u64 = 600_000;

/// Checks every rule and returns all the faults.
pub fn validate(snapshot: &Snapshot) -> Result<(), Diagnostics> {
    let mut faults = Vec::new();
    let mut matchers = HashMap::new();
    for entry in snapshot.entries.values() {
        match &entry.resource {
            Resource::Policy(policy) => check_policy(policy, &mut faults),
            Resource::Service(service) => check_service(snapshot, service, &mut faults),
            Resource::Route(route) => {
                check_route(snapshot, route, &mut faults);
                check_ambiguity(route, &mut matchers, &mut faults);
            }
        }
    }
    if faults.is_empty() { Ok(()) } else { Err(Diagnostics(faults)) }
}

fn check_policy(policy: &Policy, faults: &mut Vec<Diagnostic>) {
    let mut range = |field: &str, value: u64, low: u64, high: u64| {
        if (low..=high).contains(&value) {
            return;
        }
        faults.push(Diagnostic {
            rule: Rule::Range,
            path: format!("policy[{}].{field}", policy.name),
            message: format!("{value} is outside {low} to {high}"),
        });
    };
    range("long_share_percent", policy.long_share_percent.into(), 1, 100);
    range("queue_per_slot", policy.queue_per_slot.into(), 0, 1_000);
    range("retry_budget_percent", policy.retry_budget_percent.into(), 0, 100);
    range("hedge_budget_percent", policy.hedge_budget_percent.into(), 0, 100);
    range("ramp_ms", policy.ramp_ms, 0, MAX_RAMP_MS);
    for (tenant, weight) in &policy.tenant_weights {
        range(&format!("tenant_weights.{tenant}"), (*weight).into(), 1, 1_000);
    }
}

fn check_service(snapshot: &Snapshot, service: &Service, faults: &mut Vec<Diagnostic>) {
    let Some(policy) = &service.policy else {
        return;
    };
    if snapshot.policy(policy).is_some() {
        return;
    }
    faults.push(Diagnostic {
        rule: Rule::UnknownPolicy,
        path: format!("service[{}].policy", service.name),
        message: format!("there is no policy {policy}: declare it or leave the field out"),
    });
}

fn check_route(snapshot: &Snapshot, route: &Route, faults: &mut Vec<Diagnostic>) {
    let path = |field: &str| format!("route[{}].{field}", route.name);
    let parts = route.split.iter().map(|share| (&share.service, "split"));
    for (service, field) in std::iter::once((&route.service, "service")).chain(parts) {
        if snapshot.service(service).is_none() {
            faults.push(Diagnostic {
                rule: Rule::DanglingService,
                path: path(field),
                message: format!("there is no service {service}: declare it first"),
            });
        }
    }
    if !route.split.is_empty() && route.split.iter().all(|share| share.weight == 0) {
        faults.push(Diagnostic {
            rule: Rule::Range,
            path: path("split"),
            message: "all weights are 0: give one part a weight".to_owned(),
        });
    }
    if !(1..=MAX_ATTEMPTS).contains(&route.attempts) {
        faults.push(Diagnostic {
            rule: Rule::Range,
            path: path("attempts"),
            message: format!("{} is outside 1 to {MAX_ATTEMPTS}", route.attempts),
        });
    }
    if !(1..=MAX_DEADLINE_MS).contains(&route.deadline_ms) {
        faults.push(Diagnostic {
            rule: Rule::Range,
            path: path("deadline_ms"),
            message: format!("{} is outside 1 to {MAX_DEADLINE_MS}", route.deadline_ms),
        });
    }
    for (field, message) in matcher_faults(&route.matcher) {
        faults.push(Diagnostic { rule: Rule::Matcher, path: path(&field), message });
    }
}

fn matcher_faults(matcher: &Matcher) -> Vec<(String, String)> {
    let mut found = Vec::new();
    if let Some(prefix) = &matcher.path_prefix
        && (!prefix.starts_with('/') || prefix.contains(['?', '#', ' ']))
    {
        let message = format!("{prefix:?} must start with / and hold no ?, # or space");
        found.push(("match.path_prefix".to_owned(), message));
    }
    if let Some(host) = &matcher.host
        && (host.is_empty() || host.contains([':', '/', ' ']))
    {
        let message = format!("{host:?} must be a host without port or path");
        found.push(("match.host".to_owned(), message));
    }
    for method in &matcher.methods {
        if method.is_empty() || !method.bytes().all(|b| b.is_ascii_uppercase()) {
            let message = format!("{method:?} must be a method in upper case");
            found.push(("match.methods".to_owned(), message));
        }
    }
    for name in matcher.headers.keys() {
        let token = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-' || b == b'_';
        if name.is_empty() || !name.bytes().all(token) {
            let message = format!("{name:?} must be a header name in lower case");
            found.push((format!("match.headers.{name}"), message));
        }
    }
    found
}

type MatcherKey = (String, String, Vec<String>, Vec<(String, String)>);

fn check_ambiguity<'a>(
    route: &'a Route,
    seen: &mut HashMap<MatcherKey, &'a Route>,
    faults: &mut Vec<Diagnostic>,
) {
    let matcher = &route.matcher;
    let mut methods = matcher.methods.clone();
    methods.sort_unstable();
    let mut headers: Vec<_> = matcher.headers.clone().into_iter().collect();
    headers.sort_unstable();
    let host = matcher.host.as_deref().unwrap_or("").to_ascii_lowercase();
    let prefix = matcher.path_prefix.as_deref().unwrap_or("/").trim_end_matches('/').to_owned();
    let Some(other) = seen.insert((host, prefix, methods, headers), route) else {
        return;
    };
    faults.push(Diagnostic {
        rule: Rule::Ambiguous,
        path: format!("route[{}].match", route.name),
        message: format!("route {} matches the same calls: change one of them", other.name),
    });
}
