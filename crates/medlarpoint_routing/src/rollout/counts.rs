//! Counts of responses by route and version.

use indexmap::{IndexMap, IndexSet};
use medlarpoint_model::{Name, Vm};

/// Limit on routes that are counted.
const MAX_ROUTES: usize = 256;
/// Number of new targets of a route that a report names: those with the most bad responses.
const MAX_TARGETS_PER_ROUTE: usize = 4;

/// Numbers of responses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Attempts that ended with a response or a failure of the target.
    pub responses: u64,
    /// Failures of the target.
    pub failures: u64,
    /// Responses, not failures, that were much slower than the old version is.
    pub slow: u64,
}

impl Tally {
    /// Returns the number of bad responses.
    pub fn bad(self) -> u64 {
        self.failures + self.slow
    }

    /// Returns the counts that came after `earlier`.
    #[must_use]
    pub fn since(self, earlier: Self) -> Self {
        Self {
            responses: self.responses.saturating_sub(earlier.responses),
            failures: self.failures.saturating_sub(earlier.failures),
            slow: self.slow.saturating_sub(earlier.slow),
        }
    }

    /// Returns the sum of two counts.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            responses: self.responses + other.responses,
            failures: self.failures + other.failures,
            slow: self.slow + other.slow,
        }
    }

    /// Returns the later of two reports of the same counts.
    #[must_use]
    pub fn max(self, other: Self) -> Self {
        if other.responses > self.responses { other } else { self }
    }
}

/// Counts of one route since the start of an order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RouteCounts {
    /// Targets of the old version together.
    pub old: Tally,
    /// Targets of the new version together.
    pub new: Tally,
    /// Targets of the new version; in reports only those with the most bad responses.
    pub targets: IndexMap<Vm, Tally>,
}

impl RouteCounts {
    /// Merges another report of the same counts, in any order of arrival.
    pub(crate) fn merge(&mut self, other: &Self) {
        self.old = self.old.max(other.old);
        self.new = self.new.max(other.new);
        for (vm, tally) in &other.targets {
            let known = self.targets.entry(vm.clone()).or_default();
            *known = known.max(*tally);
        }
    }

    /// Adds the counts of another daemon.
    pub(crate) fn add(&mut self, other: &Self) {
        self.old = self.old.plus(other.old);
        self.new = self.new.plus(other.new);
        for (vm, tally) in &other.targets {
            let known = self.targets.entry(vm.clone()).or_default();
            *known = known.plus(*tally);
        }
    }

    /// Returns the counts as they are reported.
    fn report(&self) -> Self {
        let mut targets: Vec<(&Vm, Tally)> =
            self.targets.iter().map(|(vm, tally)| (vm, *tally)).collect();
        targets.sort_by_key(|(_, tally)| std::cmp::Reverse(tally.bad()));
        targets.truncate(MAX_TARGETS_PER_ROUTE);
        let targets = targets.into_iter().map(|(vm, tally)| (vm.clone(), tally)).collect();
        Self { old: self.old, new: self.new, targets }
    }
}

/// Counts of one daemon since the start of an order.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    routes: IndexMap<Name, RouteCounts>,
    /// Routes whose counts have changed since they were last reported.
    changed: IndexSet<Name>,
}

impl Counts {
    /// Counts a response. `new_target` is the target if it is of the new version.
    pub fn record(&mut self, route: &Name, new_target: Option<&Vm>, response: Tally) {
        if self.routes.len() >= MAX_ROUTES && !self.routes.contains_key(route) {
            return;
        }
        let counts = self.routes.entry(route.clone()).or_default();
        match new_target {
            Some(vm) => {
                counts.new = counts.new.plus(response);
                let tally = counts.targets.entry(vm.clone()).or_default();
                *tally = tally.plus(response);
            }
            None => counts.old = counts.old.plus(response),
        }
        self.changed.insert(route.clone());
    }

    /// Returns the counts to report: of all routes if `full` is set, else of those that have
    /// changed.
    pub fn take_report(&mut self, full: bool) -> Vec<(Name, RouteCounts)> {
        let changed = std::mem::take(&mut self.changed);
        let due = self.routes.iter().filter(|(route, _)| full || changed.contains(*route));
        due.map(|(route, counts)| (route.clone(), counts.report())).collect()
    }

    /// Returns the sum over all routes: old version, new version.
    pub fn totals(&self) -> (Tally, Tally) {
        let mut sum = RouteCounts::default();
        for counts in self.routes.values() {
            sum.old = sum.old.plus(counts.old);
            sum.new = sum.new.plus(counts.new);
        }
        (sum.old, sum.new)
    }
}
