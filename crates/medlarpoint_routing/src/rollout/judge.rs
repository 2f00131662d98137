//! Compares the new version with the old one: a sequential probability ratio test for each
//! route and for all routes together.
//!
//! The test is started anew at each step and all of these tests run on (a cumulative sum), so
//! that a version that turns bad late is found as quickly as one that is bad from the start.
//! The old version is counted over the same steps: a disturbance that hits both versions
//! raises the rate that the new one is compared with.

use std::collections::VecDeque;

use indexmap::IndexMap;
use medlarpoint_model::{Name, Vm};

use super::{RouteCounts, Tally};

/// Lowest rate of bad responses that is assumed of the old version.
const MIN_BASE_RATE: f64 = 0.03;
/// Number of responses of the old version in the last steps below which the rate of the whole
/// order is taken: a single failure among a few would hide a bad version.
const MIN_RECENT_RESPONSES: u64 = 20;
/// Smallest increase of the rate of bad responses that the test is designed to detect.
const RATE_INCREASE: f64 = 0.2;
/// Rate of bad responses of the old version above which nothing can be concluded.
const MAX_BASE_RATE: f64 = 0.7;
/// Probability with which the tests of a good version on a route err together.
const ERROR_RATE: f64 = 0.001;
/// Mean number of responses after which a test accepts a version whose rate is
/// [`MIN_BASE_RATE`]. About one test is begun per so many responses.
const RESPONSES_PER_TEST: f64 = 40.0;
/// Number of steps over which the rate of the old version is taken: 2 s of reports.
const BASE_STEPS: usize = 4;
/// Limit on the steps that are remembered, which bounds memory. Earlier evidence is dropped.
const MAX_STEPS: usize = 64;
/// One in this many new targets, and at least one, is left out in the second test: targets
/// and VMs may fail or be slow by themselves.
const TARGETS_PER_LEFT_OUT: usize = 12;

/// The new version is bad.
#[derive(Clone, Debug, PartialEq)]
pub struct Verdict {
    /// Route on which it is; `None` for all routes together.
    pub route: Option<Name>,
    /// Responses of the new version in the steps that decided.
    pub new: Tally,
    /// Rate of bad responses of the old version at the same time.
    pub base_rate: f64,
}

impl std::fmt::Display for Verdict {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Tally { responses, failures, slow } = self.new;
        let percent = self.base_rate * 100.0;
        match &self.route {
            Some(route) => write!(f, "route {route}: ")?,
            None => f.write_str("all routes: ")?,
        }
        write!(f, "{failures} failed, {slow} slow of {responses}; old version {percent:.0}% bad")
    }
}

/// Counts of one step.
#[derive(Clone, Debug)]
struct Step {
    /// Logarithm of the likelihood ratio of a bad and of another response.
    weights: (f64, f64),
    base_rate: f64,
    new: Tally,
    targets: IndexMap<Vm, Tally>,
}

impl Step {
    fn evidence(&self, tally: Tally) -> f64 {
        let bad = tally.bad().min(tally.responses);
        bad as f64 * self.weights.0 + (tally.responses - bad) as f64 * self.weights.1
    }
}

/// Counts of a route, or of all routes together.
#[derive(Clone, Debug, Default)]
struct Scope {
    total: RouteCounts,
    /// Responses of the old version in the last steps.
    recent_old: VecDeque<Tally>,
    steps: VecDeque<Step>,
}

/// Compares two versions by the counts of all daemons.
#[derive(Clone, Debug, Default)]
pub struct Judge {
    scopes: IndexMap<Option<Name>, Scope>,
}

impl Judge {
    /// Takes the counts since the start of the order in another step. Returns the verdict if
    /// the new version is bad. `new_targets` is the number of targets that it has.
    pub fn step(
        &mut self,
        routes: &IndexMap<Name, RouteCounts>,
        new_targets: usize,
    ) -> Option<Verdict> {
        let mut all = RouteCounts::default();
        let mut verdict = None;
        for (route, counts) in routes {
            all.add(counts);
            let found = self.scopes.entry(Some(route.clone())).or_default();
            let found = found.step(counts, new_targets);
            verdict = verdict.or(found.map(|found| (Some(route.clone()), found)));
        }
        let found = self.scopes.entry(None).or_default().step(&all, new_targets);
        verdict = verdict.or(found.map(|found| (None, found)));
        verdict.map(|(route, (new, base_rate))| Verdict { route, new, base_rate })
    }
}

impl Scope {
    /// Returns the counts that decided and the rate of the old version, if the new version
    /// is bad.
    fn step(&mut self, total: &RouteCounts, new_targets: usize) -> Option<(Tally, f64)> {
        if self.recent_old.len() >= BASE_STEPS {
            self.recent_old.pop_front();
        }
        self.recent_old.push_back(total.old.since(self.total.old));
        let base_rate = self.base_rate(total.old);
        let new = total.new.since(self.total.new);
        let since = |(vm, tally): (&Vm, &Tally)| {
            let earlier = self.total.targets.get(vm).copied().unwrap_or_default();
            let tally = tally.since(earlier);
            (tally.responses > 0).then(|| (vm.clone(), tally))
        };
        let mut targets: IndexMap<Vm, Tally> = total.targets.iter().filter_map(since).collect();
        let named: u64 = targets.values().map(|tally| tally.responses).sum();
        if named != new.responses {
            // Reports name a few targets only, and others in each step. Only what is bad is
            // then known to be of this step.
            for tally in targets.values_mut() {
                tally.responses = tally.bad();
            }
        }
        self.total = total.clone();
        if new.responses > 0 && base_rate <= MAX_BASE_RATE {
            let raised = base_rate + RATE_INCREASE;
            let weights = ((raised / base_rate).ln(), ((1.0 - raised) / (1.0 - base_rate)).ln());
            if self.steps.len() >= MAX_STEPS {
                self.steps.pop_front();
            }
            self.steps.push_back(Step { weights, base_rate, new, targets });
        }
        self.decide(new_targets)
    }

    /// Returns the rate of bad responses that is assumed of the old version: that of the last
    /// steps or of the whole order, whichever is higher, with one standard error on top.
    fn base_rate(&self, total: Tally) -> f64 {
        let recent = self.recent_old.iter().fold(Tally::default(), |sum, tally| sum.plus(*tally));
        let is_known = recent.responses >= MIN_RECENT_RESPONSES;
        let recent = if is_known { upper_rate(recent) } else { 0.0 };
        recent.max(upper_rate(total)).max(MIN_BASE_RATE)
    }

    /// Sums the evidence over the last steps, for each number of them.
    fn decide(&self, new_targets: usize) -> Option<(Tally, f64)> {
        // Canary targets are few of the new targets, so only those that were named count.
        let named = self.total.targets.len();
        let left_out = if new_targets < 2 { 0 } else { (named / TARGETS_PER_LEFT_OUT).max(1) };
        let limit = bad_evidence(self.total.new.responses);
        let mut evidence = 0.0;
        let mut new = Tally::default();
        let mut by_target: IndexMap<&Vm, f64> = IndexMap::new();
        for step in self.steps.iter().rev() {
            evidence += step.evidence(step.new);
            new = new.plus(step.new);
            for (vm, tally) in &step.targets {
                *by_target.entry(vm).or_default() += step.evidence(*tally);
            }
            if evidence < limit {
                continue;
            }
            let mut worst: Vec<f64> = by_target.values().copied().filter(|e| *e > 0.0).collect();
            worst.sort_by(|a, b| b.total_cmp(a));
            let without: f64 = evidence - worst.iter().take(left_out).sum::<f64>();
            if without >= limit {
                return Some((new, step.base_rate));
            }
        }
        None
    }
}

/// Returns the logarithm of the likelihood ratio at which the new version is bad, after a
/// number of its responses: each of the tests begun so far has its part of the error rate.
fn bad_evidence(responses: u64) -> f64 {
    let tests = (responses as f64 / RESPONSES_PER_TEST).max(1.0);
    (tests / ERROR_RATE).ln()
}

/// Returns the rate of bad responses plus its standard error; zero without responses.
fn upper_rate(tally: Tally) -> f64 {
    if tally.responses == 0 {
        return 0.0;
    }
    let responses = tally.responses as f64;
    let rate = (tally.bad() as f64 / responses).min(1.0);
    rate + (rate * (1.0 - rate) / responses).sqrt()
}

#[cfg(test)]
mod tests;
