//! Finds the route of a call.

use std::sync::Arc;

use http::{HeaderMap, Method};
use indexmap::IndexMap;
use medlarpoint_model::{Name, Policy, Route, Snapshot, WeightedService};

/// A route with the policy of its service.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The route.
    pub route: Route,
    /// Policy of the route's service.
    pub policy: Arc<Policy>,
}

impl Plan {
    /// Returns the service of a call; `roll` is a random number below 1 that
    /// chooses among the parts of a split.
    pub fn service(&self, roll: f64) -> &Name {
        let total: u64 = self.route.split.iter().map(|share| u64::from(share.weight)).sum();
        let mut left = roll * total as f64;
        let mut chosen = self.route.split.iter().filter(|share| share.weight > 0);
        let holds = |share: &&WeightedService| {
            left -= f64::from(share.weight);
            left < 0.0
        };
        chosen.find(holds).map_or(&self.route.service, |share| &share.service)
    }
}

/// The routes of one version, indexed by host.
///
/// Invariant: within a host, plans are in order of preference.
#[derive(Clone, Debug, Default)]
pub struct Routes {
    by_host: IndexMap<String, Vec<Arc<Plan>>>,
    any_host: Vec<Arc<Plan>>,
}

impl Routes {
    /// Compiles the routes of a version.
    pub fn compile(snapshot: &Snapshot) -> Self {
        let default = Arc::new(Policy::default());
        let mut routes = Self::default();
        for route in snapshot.routes() {
            let policy = snapshot.service(&route.service).and_then(|s| s.policy.as_ref());
            let policy = policy.and_then(|name| snapshot.policy(name));
            let policy = policy.map_or_else(|| Arc::clone(&default), |p| Arc::new(p.clone()));
            let plan = Arc::new(Plan { route: route.clone(), policy });
            match &route.matcher.host {
                Some(host) => {
                    routes.by_host.entry(host.to_ascii_lowercase()).or_default().push(plan);
                }
                None => routes.any_host.push(plan),
            }
        }
        routes.by_host.values_mut().for_each(|plans| sort(plans));
        sort(&mut routes.any_host);
        routes
    }

    /// Returns the most specific route that matches.
    pub fn find(
        &self,
        host: Option<&str>,
        method: &Method,
        path: &str,
        headers: &HeaderMap,
    ) -> Option<&Arc<Plan>> {
        let host = host.map(strip_port).map(str::to_ascii_lowercase);
        let exact = host.and_then(|host| self.by_host.get(&host));
        let candidates = exact.into_iter().flatten().chain(&self.any_host);
        candidates.into_iter().find(|plan| matches(&plan.route, method, path, headers))
    }
}

fn strip_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|b| b.is_ascii_digit()) => name,
        _ => host,
    }
}

/// Longer prefixes go first, then more headers, then named methods, then name.
fn sort(plans: &mut [Arc<Plan>]) {
    plans.sort_by_key(|plan| {
        let matcher = &plan.route.matcher;
        let prefix = matcher.path_prefix.as_ref().map_or(0, String::len);
        let headers = matcher.headers.len();
        let methods = u8::from(!matcher.methods.is_empty());
        (std::cmp::Reverse((prefix, headers, methods)), plan.route.name.clone())
    });
}

fn matches(route: &Route, method: &Method, path: &str, headers: &HeaderMap) -> bool {
    let matcher = &route.matcher;
    let method_fits =
        matcher.methods.is_empty() || matcher.methods.iter().any(|m| m == method.as_str());
    let path_fits = matcher.path_prefix.as_ref().is_none_or(|prefix| has_prefix(path, prefix));
    let header_fits = |(name, value): (&String, &String)| {
        headers.get(name).is_some_and(|found| found.as_bytes() == value.as_bytes())
    };
    method_fits && path_fits && matcher.headers.iter().all(header_fits)
}

fn has_prefix(path: &str, prefix: &str) -> bool {
    let prefix = prefix.trim_end_matches('/');
    let Some(rest) = path.strip_prefix(prefix) else {
        return false;
    };
    rest.is_empty() || rest.starts_with('/')
}

#[cfg(test)]
mod tests;
