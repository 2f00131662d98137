//! Selection of a target for an attempt.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;
use medlarpoint_model::{Name, Vm};
use rand::rngs::StdRng;
use rand::seq::IteratorRandom;
use rand::{RngExt, SeedableRng};

use crate::candidate::Candidate;
use crate::rollout::{Choice, Group};
use crate::{AttemptId, IdempotencyKey, Load};

/// Service time assumed for a route until a target has responded on it.
const DEFAULT_SERVICE_TIME: Duration = Duration::from_millis(20);
/// Cost of the delay of a call that queues at a busy target, on the scale of
/// [`NetworkCosts`].
const LATE_COST: Duration = Duration::from_millis(1_500);
/// Relative random variation of costs, so that proxies with the same state do not
/// all select the same target.
const COST_JITTER: f64 = 0.15;
/// Weight of the newest size in the mean size of responses.
const SIZE_SMOOTHING: f64 = 0.1;
/// Limit on routes whose response sizes are kept.
const MAX_ROUTES: usize = 256;

/// Distance between a caller's data centre and a target's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Locality {
    /// The same data centre.
    Near,
    /// Another data centre of the region.
    Region,
    /// Another region, across the paid link.
    Remote,
}

/// Costs of sending a call to another data centre, expressed as the extra wait at
/// a near target that a call accepts instead.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NetworkCosts {
    /// Cost of a round trip to another data centre of the region.
    pub region_round_trip: Duration,
    /// Cost per kilobyte sent to or received from another data centre of the region.
    pub region_per_kilobyte: Duration,
    /// Cost of a round trip to another region.
    pub remote_round_trip: Duration,
    /// Cost per kilobyte sent to or received from another region.
    pub remote_per_kilobyte: Duration,
}

impl Default for NetworkCosts {
    fn default() -> Self {
        Self {
            region_round_trip: Duration::from_millis(3),
            region_per_kilobyte: Duration::from_millis(25),
            remote_round_trip: Duration::from_millis(20),
            remote_per_kilobyte: Duration::from_millis(250),
        }
    }
}

/// Target that an attempt is sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Destination {
    /// VM of the target.
    pub vm: Vm,
    /// Boot identifier of its daemon, which changes with each restart.
    pub boot: u64,
    /// Address of its inbound proxy.
    pub address: SocketAddr,
}

/// Target as known from membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Destination of attempts.
    pub destination: Destination,
    /// Distance from this data centre.
    pub locality: Locality,
    /// Number of calls that the target runs at a time.
    pub slots: u32,
}

/// Properties of a call that the selection depends on.
#[derive(Clone, Copy, Debug)]
pub struct CallInfo<'a> {
    /// Route of the call. Calls of one route have similar service times.
    pub route: &'a Name,
    /// Size of the request body, in bytes.
    pub body_bytes: usize,
}

/// Feedback that came with a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResponseInfo {
    /// Load of the target.
    pub load: Option<Load>,
    /// Time that the target took, without the wait for a slot.
    pub service_time: Option<Duration>,
    /// Size of the response body, in bytes.
    pub body_bytes: Option<u64>,
    /// Whether the target failed the call or rejected it itself.
    pub failed: bool,
}

/// Strategy for selecting targets. All but the last are baselines.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Hash,
    strum::Display,
    strum::EnumString,
    strum::EnumIter,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Strategy {
    /// Selects a target at random.
    Random,
    /// Selects each target in turn.
    RoundRobin,
    /// Selects the target with the fewest outstanding requests of this proxy.
    LeastRequests,
    /// Selects by expected wait among the targets whose circuit breaker allows it.
    ExpectedWaitBreaker,
    /// Selects the target with the shortest expected wait, including network costs.
    #[default]
    ExpectedWait,
}

/// Targets of one service as seen by one outbound proxy.
#[derive(Debug)]
pub struct Picker {
    strategy: Strategy,
    network_costs: NetworkCosts,
    targets: IndexMap<Vm, Candidate>,
    /// Mean size of the responses by route, in bytes.
    response_sizes: IndexMap<Name, f64>,
    next_index: usize,
    rng: StdRng,
}

impl Picker {
    /// Creates a picker without targets.
    pub fn new(strategy: Strategy, network_costs: NetworkCosts, seed: u64) -> Self {
        let rng = StdRng::seed_from_u64(seed);
        let (targets, response_sizes) = (IndexMap::new(), IndexMap::new());
        Self { strategy, network_costs, targets, response_sizes, next_index: 0, rng }
    }

    /// Replaces the targets, keeping the state of those with the same boot identifier.
    pub fn update(&mut self, endpoints: Vec<Endpoint>) {
        let mut old = std::mem::take(&mut self.targets);
        for endpoint in endpoints {
            let vm = endpoint.destination.vm.clone();
            let previous = old.swap_remove(&vm);
            let same =
                previous.filter(|c| c.endpoint.destination.boot == endpoint.destination.boot);
            let candidate = match same {
                Some(mut candidate) => {
                    candidate.endpoint = endpoint;
                    candidate
                }
                None => Candidate::new(endpoint),
            };
            self.targets.insert(vm, candidate);
        }
    }

    /// Sets the group of each target with respect to the order of the service.
    pub fn set_groups(&mut self, groups: &IndexMap<Vm, Group>) {
        for (vm, candidate) in &mut self.targets {
            candidate.group = groups.get(vm).copied().unwrap_or_default();
        }
    }

    /// Returns the number of attempts of this proxy that are outstanding at a group of targets.
    pub fn outstanding(&self, choice: Choice) -> usize {
        let chosen = self.targets.values().filter(|c| choice.allows(c.group));
        chosen.map(Candidate::outstanding).sum()
    }

    /// Returns whether there is no target.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// Returns the destination of the target on a VM.
    pub fn locate(&self, vm: &Vm) -> Option<Destination> {
        Some(self.targets.get(vm)?.endpoint.destination.clone())
    }

    /// Selects a target for an attempt. Targets in `exclude` are skipped; a call
    /// sent to a target in `busy` would be late.
    pub fn pick(
        &mut self,
        now: Duration,
        call: &CallInfo<'_>,
        exclude: &[Vm],
        busy: &[Vm],
    ) -> Option<Destination> {
        self.pick_from(Choice::All, now, call, exclude, busy)
    }

    /// Selects a target for an attempt among some groups of targets.
    pub fn pick_from(
        &mut self,
        choice: Choice,
        now: Duration,
        call: &CallInfo<'_>,
        exclude: &[Vm],
        busy: &[Vm],
    ) -> Option<Destination> {
        let allowed = |candidate: &&Candidate| {
            choice.allows(candidate.group) && !exclude.contains(&candidate.endpoint.destination.vm)
        };
        let all: Vec<&Candidate> = self.targets.values().filter(allowed).collect();
        let selected = match self.strategy {
            Strategy::Random => all.iter().copied().choose(&mut self.rng),
            Strategy::RoundRobin => {
                self.next_index = self.next_index.wrapping_add(1);
                all.get(self.next_index % all.len().max(1)).copied()
            }
            Strategy::LeastRequests => all.iter().copied().min_by_key(|c| c.outstanding()),
            Strategy::ExpectedWait | Strategy::ExpectedWaitBreaker => {
                let breaker = self.strategy == Strategy::ExpectedWaitBreaker;
                let response_bytes = self.response_sizes.get(call.route).copied().unwrap_or(0.0);
                let usable = usable(now, &all, breaker);
                let median = median_or_default(&usable, call.route);
                let cost = |candidate: &&&Candidate| {
                    let cost =
                        candidate.cost(now, call, median, response_bytes, &self.network_costs);
                    let late = busy.contains(&candidate.endpoint.destination.vm);
                    let cost = if late { cost + LATE_COST } else { cost };
                    cost.mul_f64(self.rng.random_range(1.0 - COST_JITTER..1.0 + COST_JITTER))
                };
                usable.iter().min_by_key(cost).copied()
            }
        };
        selected.map(|candidate| candidate.endpoint.destination.clone())
    }

    /// Returns the median service time of a route over the targets, or `None` before
    /// the first response.
    pub fn median_service_time(&self, route: &Name) -> Option<Duration> {
        let all: Vec<&Candidate> = self.targets.values().collect();
        median_service_time(&all, route)
    }

    /// Returns the time that a route usually takes elsewhere than at the target on `vm`: the
    /// median over the other targets that are warm, or `None` if there is none.
    pub fn expected_time(&self, now: Duration, route: &Name, vm: &Vm) -> Option<Duration> {
        let is_peer = |c: &&Candidate| c.endpoint.destination.vm != *vm && c.is_warm(now);
        let peers: Vec<&Candidate> = self.targets.values().filter(is_peer).collect();
        median_service_time(&peers, route)
    }

    /// Returns the median service time of a route over a group of targets.
    pub fn median_service_time_of(&self, choice: Choice, route: &Name) -> Option<Duration> {
        let group = self.targets.values().filter(|c| choice.allows(c.group));
        median_service_time(&group.collect::<Vec<_>>(), route)
    }

    /// Selects a target among some groups by rendezvous hashing of a key. Proxies with the
    /// same view of the targets select the same one; targets in another region come last.
    pub fn pick_keyed(
        &self,
        choice: Choice,
        key: IdempotencyKey,
        exclude: &[Vm],
    ) -> Option<Destination> {
        let weight = |vm: &Vm| {
            let mut bytes = key.0.to_le_bytes().to_vec();
            bytes.extend_from_slice(vm.as_str().as_bytes());
            rapidhash::v3::rapidhash_v3(&bytes)
        };
        let allowed = self
            .targets
            .values()
            .filter(|c| choice.allows(c.group) && !exclude.contains(&c.endpoint.destination.vm));
        let selected = allowed.min_by_key(|c| {
            (c.endpoint.locality == Locality::Remote, weight(&c.endpoint.destination.vm))
        })?;
        Some(selected.endpoint.destination.clone())
    }

    /// Records that an attempt was sent.
    pub fn on_sent(&mut self, now: Duration, vm: &Vm, attempt: AttemptId, route: &Name) {
        if let Some(candidate) = self.targets.get_mut(vm) {
            candidate.on_sent(now, attempt, route);
        }
    }

    /// Records the response of a target to an attempt on a route.
    pub fn on_response(
        &mut self,
        now: Duration,
        vm: &Vm,
        attempt: AttemptId,
        route: &Name,
        response: &ResponseInfo,
    ) {
        if let Some(bytes) = response.body_bytes.filter(|_| !response.failed) {
            self.update_response_size(route, bytes);
        }
        if let Some(candidate) = self.targets.get_mut(vm) {
            candidate.on_response(now, attempt, response);
        }
    }

    /// Records a rejected attempt and the load of the target.
    pub fn on_rejected(
        &mut self,
        now: Duration,
        vm: &Vm,
        attempt: AttemptId,
        response: &ResponseInfo,
    ) {
        if let Some(candidate) = self.targets.get_mut(vm) {
            candidate.on_rejected(now, attempt, response);
        }
    }

    /// Records that an attempt was abandoned while outstanding.
    pub fn on_abandoned(&mut self, now: Duration, vm: &Vm, attempt: AttemptId) {
        if let Some(candidate) = self.targets.get_mut(vm) {
            candidate.on_abandoned(now, attempt);
        }
    }

    /// Records that the inbound proxy of a target was unreachable.
    pub fn on_connect_failed(&mut self, now: Duration, vm: &Vm, attempt: AttemptId) {
        if let Some(candidate) = self.targets.get_mut(vm) {
            candidate.on_connect_failed(now, attempt);
        }
    }

    /// Returns the time until which a target is ejected, or `None` if it is not.
    pub fn ejected_until(&self, now: Duration, vm: &Vm) -> Option<Duration> {
        self.targets.get(vm)?.ejected_until(now)
    }

    fn update_response_size(&mut self, route: &Name, bytes: u64) {
        let sample = bytes as f64;
        if let Some(size) = self.response_sizes.get_mut(route) {
            *size += (sample - *size) * SIZE_SMOOTHING;
            return;
        }
        if self.response_sizes.len() >= MAX_ROUTES {
            self.response_sizes.shift_remove_index(0);
        }
        self.response_sizes.insert(route.clone(), sample);
    }
}

/// Returns the targets that are neither ejected nor blocked by their breaker. If
/// these are fewer than half, returns all: the signs of failure are then not
/// trusted.
fn usable<'a>(now: Duration, all: &[&'a Candidate], breaker: bool) -> Vec<&'a Candidate> {
    let usable: Vec<&Candidate> =
        all.iter().copied().filter(|candidate| candidate.is_usable(now, breaker)).collect();
    if usable.len() * 2 < all.len() { all.to_vec() } else { usable }
}

fn median_or_default(candidates: &[&Candidate], route: &Name) -> Duration {
    median_service_time(candidates, route).unwrap_or(DEFAULT_SERVICE_TIME)
}

/// Returns the median service time over the targets that have responded on a route.
fn median_service_time(candidates: &[&Candidate], route: &Name) -> Option<Duration> {
    let mut observed: Vec<Duration> =
        candidates.iter().filter_map(|c| c.observed_service_time(route)).collect();
    observed.sort_unstable();
    let middle = observed.len().saturating_sub(1) / 2;
    observed.get(middle).copied()
}

#[cfg(test)]
mod tests;
