//! Orders carried out by simulated daemons: splits, reports, two deciding daemons, and targets
//! that are bad in different ways.

use std::time::Duration;

use indexmap::IndexMap;
use medlarpoint_model::{Name, Vm};
use medlarpoint_routing::rollout::{
    DaemonReport, Decision, FleetView, Group, Observation, Order, OrderId, Phase, Review, Rollout,
    Split, Target,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const STEP: Duration = Duration::from_millis(10);
const PERIOD: Duration = Duration::from_secs(12);
const MEAN_MS: f64 = 20.0;
const SEEDS: u64 = 12;

/// A call at a target, as the model of the target sees it.
struct Call<'a> {
    now: Duration,
    is_new: bool,
    route: usize,
    target: &'a str,
    /// Calls at this target in the last second, relative to an old target's usual number.
    load: f64,
}

/// Probability of a failure, and factor on the service time.
type Model = fn(&Call<'_>) -> (f64, f64);

struct Setup {
    model: Model,
    rate: f64,
    daemons: usize,
    targets: usize,
    /// Time after which the first deciding daemon is lost.
    decider_lost: Option<Duration>,
    /// Delay after which the last daemon hears of a phase, if nobody else reminds it.
    late: Duration,
    /// Time at which the daemons restart, one after the other.
    restarts: Option<Duration>,
}

impl Setup {
    fn new(model: Model, rate: f64) -> Self {
        let late = Duration::from_millis(300);
        Self { model, rate, daemons: 6, targets: 20, decider_lost: None, late, restarts: None }
    }
}

#[derive(Debug, Default)]
struct Outcome {
    calls: u64,
    exposed: u64,
    rolled_back: Option<String>,
    completed_at: Option<Duration>,
    /// Time of the 50th bad response of the new version.
    fiftieth_bad: Option<Duration>,
    /// Time of the last call that the new version got.
    last_new: Duration,
    /// Time of the last call that the old version got.
    last_old: Duration,
}

struct Node {
    split: Split,
    phase: Phase,
    boot: u64,
    /// Phases that the daemon will hear of.
    inbox: Vec<(Duration, Phase)>,
}

fn vms(prefix: &str, count: usize) -> Vec<Vm> {
    (0..count).map(|index| format!("{prefix}-{index}").parse().unwrap()).collect()
}

fn rollout(phase: Phase, age: Duration) -> Rollout {
    let id = OrderId { era: 0, revision: 7 };
    let service = "desk".parse().unwrap();
    let order = Order { id, service, version: "v2".into(), period: PERIOD };
    Rollout { order, phase, reason: String::new(), age }
}

struct Simulation {
    setup: Setup,
    rng: StdRng,
    old: Vec<Vm>,
    new: Vec<Vm>,
    routes: Vec<Name>,
    nodes: Vec<Node>,
    usual: Vec<f64>,
    recent: IndexMap<Vm, Vec<Duration>>,
    bad: u64,
    outcome: Outcome,
}

impl Simulation {
    fn new(setup: Setup, seed: u64) -> Self {
        let routes = (0..3).map(|index| format!("route-{index}").parse().unwrap()).collect();
        let node =
            || Node { split: Split::default(), phase: Phase::Canary, boot: 1, inbox: Vec::new() };
        Self {
            rng: StdRng::seed_from_u64(seed),
            old: vms("old", setup.targets),
            new: vms("new", setup.targets),
            routes,
            nodes: (0..setup.daemons).map(|_| node()).collect(),
            usual: vec![MEAN_MS; 3],
            recent: IndexMap::new(),
            bad: 0,
            outcome: Outcome::default(),
            setup,
        }
    }

    fn assign(&mut self, index: usize, now: Duration) {
        let old = self.old.iter().map(|vm| Target { vm, version: Some("v1"), order: None });
        let new = self.new.iter().map(|vm| Target { vm, version: Some("v2"), order: Some(7) });
        let targets: Vec<Target<'_>> = old.chain(new).collect();
        let node = &mut self.nodes[index];
        let rollout = rollout(node.phase, now);
        node.split.assign(now, Some(&rollout), &targets, true, self.rng.random());
    }

    fn call(&mut self, now: Duration) {
        let index = self.rng.random_range(0..self.nodes.len());
        let route = self.rng.random_range(0..self.routes.len());
        let choice = self.nodes[index].split.choose(now, true, false);
        self.outcome.calls += 1;
        let groups = self.nodes[index].split.groups();
        let allowed: Vec<(Vm, Group)> = groups
            .iter()
            .filter(|(_, group)| choice.allows(**group))
            .map(|(vm, group)| (vm.clone(), *group))
            .collect();
        let (vm, group) = allowed[self.rng.random_range(0..allowed.len())].clone();
        let is_new = group != Group::Old;
        if is_new {
            self.outcome.last_new = now;
            self.outcome.exposed += u64::from(self.nodes[index].phase == Phase::Canary);
        } else {
            self.outcome.last_old = now;
        }
        let recent = self.recent.entry(vm.clone()).or_default();
        recent.retain(|at| now.saturating_sub(*at) < Duration::from_secs(1));
        recent.push(now);
        let load = recent.len() as f64 * self.setup.targets as f64 / self.setup.rate;
        let call = Call { now, is_new, route, target: vm.as_str(), load };
        let (failure, factor) = (self.setup.model)(&call);
        let failed = self.rng.random_bool(failure);
        let took = MEAN_MS * factor * self.rng.random_range(0.5..1.5);
        if !is_new {
            self.usual[route] += (took - self.usual[route]) * 0.05;
        }
        if is_new && (failed || took > 3.0 * self.usual[route]) {
            self.bad += 1;
            if self.bad == 50 {
                self.outcome.fiftieth_bad = Some(now);
            }
        }
        let usual = Some(Duration::from_secs_f64(self.usual[route] / 1e3));
        let took = Duration::from_secs_f64(took / 1e3);
        let observation = Observation { failed, took, abandoned: false };
        let route = self.routes[route].clone();
        self.nodes[index].split.observe(now, &vm, &route, usual, observation);
    }

    fn broadcast(&mut self, now: Duration, phase: Phase) {
        let last = self.nodes.len() - 1;
        for (index, node) in self.nodes.iter_mut().enumerate() {
            let delay = Duration::from_millis(self.rng.random_range(10..150));
            let delay = if index == last { self.setup.late } else { delay };
            node.inbox.push((now + delay, phase));
        }
    }

    /// Carries out the order until it is decided, and then for some time more.
    fn run(mut self) -> Outcome {
        let live = vms("vm", self.nodes.len());
        let mut reviews = [Review::default(), Review::default()];
        let mut phase = Phase::Canary;
        let mut now = Duration::ZERO;
        for index in 0..self.nodes.len() {
            self.assign(index, now);
        }
        while now < PERIOD + Duration::from_secs(4) && self.outcome.completed_at.is_none() {
            now += STEP;
            self.hear(now);
            let mut due = self.setup.rate * STEP.as_secs_f64();
            while due > 0.0 && self.rng.random_bool(due.min(1.0)) {
                self.call(now);
                due -= 1.0;
            }
            if now.as_millis().is_multiple_of(500) {
                for (node, vm) in self.nodes.iter_mut().zip(&live) {
                    let settled = node.split.has_shifted();
                    let routes = node.split.counts_mut().take_report(false);
                    let report = DaemonReport { boot: node.boot, settled, routes };
                    for review in &mut reviews {
                        review.on_report(now, vm, &report);
                    }
                }
            }
            if !now.as_millis().is_multiple_of(100) {
                continue;
            }
            let lost = self.setup.decider_lost.is_some_and(|at| now >= at);
            for review in reviews.iter_mut().skip(usize::from(lost)) {
                let fleet = FleetView { live: &live, new_targets: self.setup.targets };
                let next = match review.tick(now, now, PERIOD, phase, fleet) {
                    Some(Decision::RollBack(reason)) => {
                        self.outcome.rolled_back = Some(reason);
                        Phase::RolledBack
                    }
                    Some(Decision::Shift) => Phase::Shifting,
                    Some(Decision::Complete) => {
                        self.outcome.completed_at = Some(now);
                        continue;
                    }
                    None => continue,
                };
                if next > phase {
                    phase = next;
                    self.broadcast(now, phase);
                }
            }
        }
        self.outcome
    }

    /// Lets the daemons hear of phases, and restart.
    fn hear(&mut self, now: Duration) {
        for index in 0..self.nodes.len() {
            let due = |(at, phase): &(Duration, Phase)| (*at <= now).then_some(*phase);
            let node = &mut self.nodes[index];
            let heard = node.inbox.iter().filter_map(due).max();
            let restart = self
                .setup
                .restarts
                .is_some_and(|first| now == first + Duration::from_millis(200) * index as u32);
            if restart {
                node.split = Split::default();
                node.boot += 1;
            }
            if restart || heard.is_some_and(|phase| phase > node.phase) {
                node.phase = heard.unwrap_or(node.phase).max(node.phase);
                self.assign(index, now);
            }
        }
    }
}

fn outcomes(setup: impl Fn() -> Setup) -> Vec<Outcome> {
    (0..SEEDS).map(|seed| Simulation::new(setup(), seed).run()).collect()
}

fn assert_exposure(outcome: &Outcome) {
    let limit = outcome.calls as f64 * 0.1 + 50.0;
    assert!(outcome.exposed as f64 <= limit, "{outcome:?}");
}

/// Asserts that a bad version was rolled back, and got its last call in time.
fn assert_stopped(outcomes: &[Outcome]) {
    for outcome in outcomes {
        assert!(outcome.rolled_back.is_some(), "{outcome:?}");
        assert_eq!(outcome.completed_at, None);
        assert_exposure(outcome);
        if let Some(fiftieth) = outcome.fiftieth_bad {
            assert!(outcome.last_new <= fiftieth + Duration::from_secs(5), "{outcome:?}");
        }
    }
}

/// Asserts that a good version was completed within the period.
fn assert_completed(outcomes: &[Outcome]) {
    for outcome in outcomes {
        assert_eq!(outcome.rolled_back, None);
        assert!(outcome.completed_at.is_some_and(|at| at <= PERIOD), "{outcome:?}");
        let quiet_since = outcome.last_old + Duration::from_millis(1_500);
        assert!(outcome.completed_at.is_some_and(|at| at >= quiet_since), "{outcome:?}");
        assert_exposure(outcome);
    }
}

/// A version that is good, with the failures that any version has, on targets that start cold.
fn good(call: &Call<'_>) -> (f64, f64) {
    let is_cold = call.is_new && call.now < Duration::from_millis(3_500);
    (0.01, if is_cold { 2.0 } else { 1.0 })
}

fn bad_if(is_bad: bool) -> (f64, f64) {
    (if is_bad { 0.3 } else { 0.01 }, 1.0)
}

#[test]
fn a_good_version_is_completed_within_the_period() {
    assert_completed(&outcomes(|| Setup::new(good, 300.0)));
}

#[test]
fn a_good_version_is_completed_on_a_quiet_service() {
    assert_completed(&outcomes(|| Setup::new(good, 3.0)));
}

#[test]
fn a_version_that_is_bad_from_the_start_is_stopped() {
    let bad: Model = |call| bad_if(call.is_new);
    assert_stopped(&outcomes(|| Setup::new(bad, 300.0)));
    assert_stopped(&outcomes(|| Setup::new(bad, 20.0)));
}

#[test]
fn a_version_that_fails_only_at_production_load_per_target_is_stopped() {
    let bad: Model = |call| bad_if(call.is_new && call.load > 0.6);
    assert_stopped(&outcomes(|| Setup::new(bad, 300.0)));
}

#[test]
fn a_version_that_is_bad_on_one_of_three_routes_is_stopped() {
    let bad: Model = |call| bad_if(call.is_new && call.route == 1);
    assert_stopped(&outcomes(|| Setup::new(bad, 300.0)));
    assert_stopped(&outcomes(|| Setup::new(bad, 60.0)));
}

#[test]
fn a_version_that_is_only_slow_is_stopped() {
    // The targets are not cold in this test, but their first 4 s are not counted.
    let slow: Model = |call| (0.01, if call.is_new { 8.0 } else { 1.0 });
    for outcome in outcomes(|| Setup::new(slow, 300.0)) {
        assert!(outcome.rolled_back.is_some(), "{outcome:?}");
        assert_exposure(&outcome);
        assert!(outcome.last_new <= Duration::from_secs(6), "{outcome:?}");
    }
}

#[test]
fn a_version_that_is_bad_from_3_s_on_is_stopped() {
    let bad: Model = |call| bad_if(call.is_new && call.now >= Duration::from_secs(3));
    assert_stopped(&outcomes(|| Setup::new(bad, 300.0)));
}

#[test]
fn a_version_that_turns_bad_after_it_has_all_calls_is_stopped() {
    let bad: Model = |call| bad_if(call.is_new && call.now >= Duration::from_secs(8));
    assert_stopped(&outcomes(|| Setup::new(bad, 300.0)));
}

#[test]
fn a_disturbance_that_hits_both_versions_does_not_decide() {
    let trouble: Model = |call| {
        let seconds = call.now.as_secs_f64();
        if (2.0..5.0).contains(&seconds) { (0.35, 6.0) } else { (0.01, 1.0) }
    };
    assert_completed(&outcomes(|| Setup::new(trouble, 300.0)));
}

#[test]
fn a_single_failing_target_does_not_decide() {
    // `new-3` is the first of the canary targets of this order.
    let failing: Model = |call| (if call.target == "new-3" { 0.9 } else { 0.01 }, 1.0);
    assert_completed(&outcomes(|| Setup::new(failing, 300.0)));
    let all: Model = |call| (if call.target.ends_with("-7") { 0.9 } else { 0.01 }, 1.0);
    assert_completed(&outcomes(|| Setup::new(all, 300.0)));
}

#[test]
fn the_second_deciding_daemon_decides_if_the_first_is_lost() {
    let bad: Model = |call| bad_if(call.is_new);
    let lost = || Setup { decider_lost: Some(Duration::from_secs(1)), ..Setup::new(bad, 300.0) };
    assert_stopped(&outcomes(lost));
    let lost = || Setup { decider_lost: Some(Duration::from_secs(1)), ..Setup::new(good, 300.0) };
    assert_completed(&outcomes(lost));
}

/// Guards against an order that counts as completed while a daemon still sends calls to old
/// targets.
#[test]
fn a_daemon_that_hears_late_neither_exposes_nor_hurries() {
    let late = Duration::from_millis(1_900);
    let bad: Model = |call| bad_if(call.is_new);
    assert_stopped(&outcomes(|| Setup { late, ..Setup::new(bad, 300.0) }));
    assert_completed(&outcomes(|| Setup { late, ..Setup::new(good, 300.0) }));
}

#[test]
fn restarts_of_all_daemons_keep_the_bounds() {
    for seconds in [1, 4, 8] {
        let restarts = Some(Duration::from_secs(seconds));
        let bad: Model = |call| bad_if(call.is_new);
        assert_stopped(&outcomes(|| Setup { restarts, ..Setup::new(bad, 300.0) }));
        assert_completed(&outcomes(|| Setup { restarts, ..Setup::new(good, 300.0) }));
    }
}
