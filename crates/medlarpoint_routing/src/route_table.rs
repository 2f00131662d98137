//! Matching of calls to routes.

use std::sync::Arc;

use http::{HeaderMap, Method};
use indexmap::IndexMap;
use medlarpoint_model::{Name, PathPrefix, Policy, Route, Snapshot, WeightedService};

/// Route with the policy of its service.
#[derive(Clone, Debug, PartialEq)]
pub struct ResolvedRoute {
    /// Route as configured.
    pub route: Route,
    /// Policy of the route's service, or the default policy if it names none.
    pub policy: Arc<Policy>,
}

impl ResolvedRoute {
    /// Returns the service of a call. `random` is a random number from 0 up to, but not
    /// including, 1 that selects among the weighted services of a split.
    pub fn select_service(&self, random: f64) -> &Name {
        let total: u64 = self.route.split.iter().map(|share| u64::from(share.weight)).sum();
        let mut remaining = random * total as f64;
        let mut weighted = self.route.split.iter().filter(|share| share.weight > 0);
        let is_selected = |share: &&WeightedService| {
            remaining -= f64::from(share.weight);
            remaining < 0.0
        };
        weighted.find(is_selected).map_or(&self.route.service, |share| &share.service)
    }
}

/// Routes of one configuration version, indexed by host.
///
/// Invariant: within a host, routes are in descending order of specificity.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    by_host: IndexMap<String, Vec<Arc<ResolvedRoute>>>,
    any_host: Vec<Arc<ResolvedRoute>>,
}

impl RouteTable {
    /// Builds the table from a configuration snapshot.
    pub fn compile(snapshot: &Snapshot) -> Self {
        let default = Arc::new(Policy::default());
        let mut table = Self::default();
        for route in snapshot.routes() {
            let policy = snapshot.service(&route.service).and_then(|s| s.policy.as_ref());
            let policy = policy.and_then(|name| snapshot.policy(name));
            let policy = policy.map_or_else(|| Arc::clone(&default), |p| Arc::new(p.clone()));
            let resolved = Arc::new(ResolvedRoute { route: route.clone(), policy });
            match &route.matcher.host {
                Some(host) => {
                    table.by_host.entry(host.to_ascii_lowercase()).or_default().push(resolved);
                }
                None => table.any_host.push(resolved),
            }
        }
        table.by_host.values_mut().for_each(|routes| sort(routes));
        sort(&mut table.any_host);
        table
    }

    /// Returns the most specific route that matches a call.
    pub fn find(
        &self,
        host: Option<&str>,
        method: &Method,
        path: &str,
        headers: &HeaderMap,
    ) -> Option<&Arc<ResolvedRoute>> {
        let host = host.map(strip_port).map(str::to_ascii_lowercase);
        let exact = host.and_then(|host| self.by_host.get(&host));
        let candidates = exact.into_iter().flatten().chain(&self.any_host);
        candidates.into_iter().find(|resolved| matches(&resolved.route, method, path, headers))
    }
}

fn strip_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|b| b.is_ascii_digit()) => name,
        _ => host,
    }
}

/// Sorts by specificity: longer path prefixes first, then more headers, then
/// restricted methods, then the name.
fn sort(routes: &mut [Arc<ResolvedRoute>]) {
    routes.sort_by_key(|resolved| {
        let matcher = &resolved.route.matcher;
        let prefix = matcher.path_prefix.as_ref().map_or(0, PathPrefix::specificity);
        let headers = matcher.headers.len();
        let methods = u8::from(!matcher.methods.is_empty());
        (std::cmp::Reverse((prefix, headers, methods)), resolved.route.name.clone())
    });
}

fn matches(route: &Route, method: &Method, path: &str, headers: &HeaderMap) -> bool {
    let matcher = &route.matcher;
    let method_matches =
        matcher.methods.is_empty() || matcher.methods.iter().any(|m| m == method.as_str());
    let path_matches = matcher.path_prefix.as_ref().is_none_or(|prefix| prefix.matches(path));
    let header_matches = |(name, value): (&String, &String)| {
        headers.get(name).is_some_and(|actual| actual.as_bytes() == value.as_bytes())
    };
    method_matches && path_matches && matcher.headers.iter().all(header_matches)
}

#[cfg(test)]
mod tests;
