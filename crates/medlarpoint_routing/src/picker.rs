//! Chooses a target for an attempt.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;
use medlarpoint_model::{Name, Vm};
use rand::rngs::StdRng;
use rand::seq::IteratorRandom;
use rand::{RngExt, SeedableRng};

use crate::candidate::Candidate;
use crate::{AttemptId, IdempotencyKey, Load};

/// Service time assumed while no target has answered a kind of call.
const UNKNOWN_SERVICE: Duration = Duration::from_millis(20);
/// What being late costs a call that queues at a busy target, on the scale of
/// [`NetworkCosts`].
const LATE_COST: Duration = Duration::from_millis(1_500);
/// Share by which costs are varied, so that proxies with the same view do not
/// all choose the same target.
const VARIATION: f64 = 0.15;
/// Weight of the newest size in the mean size of answers.
const SIZE_SMOOTHING: f64 = 0.1;
/// Kinds whose sizes are remembered.
const MAX_KINDS: usize = 256;

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

/// What it costs to cross to other data centres, as time that a call would
/// rather wait than cross.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NetworkCosts {
    /// The way there and back to another data centre of the region.
    pub region_round_trip: Duration,
    /// The volume that crosses to it, per kilobyte.
    pub region_per_kilobyte: Duration,
    /// The way there and back to another region.
    pub remote_round_trip: Duration,
    /// The volume that crosses to it, per kilobyte.
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

/// A chosen target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Destination {
    /// VM of the target.
    pub vm: Vm,
    /// Run of its daemon.
    pub boot: u64,
    /// Address of its inbound proxy.
    pub address: SocketAddr,
}

/// A target as membership knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Where to send.
    pub destination: Destination,
    /// How far it is.
    pub locality: Locality,
    /// Slots it has.
    pub slots: u32,
}

/// A call that asks for a target.
#[derive(Clone, Copy, Debug)]
pub struct CallInfo<'a> {
    /// Route of the call: calls of one route take about as long.
    pub route: &'a Name,
    /// Size of its body, in bytes.
    pub body_bytes: usize,
}

/// What came with an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResponseInfo {
    /// Load of the target.
    pub load: Option<Load>,
    /// Time that the target took, waiting for a slot left out.
    pub service_time: Option<Duration>,
    /// Size of the answer, in bytes.
    pub body_bytes: Option<u64>,
    /// The target failed the call, or refused it itself.
    pub failed: bool,
}

/// How targets are chosen. All but the last are baselines.
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
    /// Any target.
    Random,
    /// Each in turn.
    RoundRobin,
    /// The one with the fewest own requests outstanding.
    LeastRequests,
    /// Expected wait with the paper's breaker.
    ExpectedWaitBreaker,
    /// The shortest expected wait, with what the way costs.
    #[default]
    ExpectedWait,
}

/// The targets of one service as one outbound proxy sees them.
#[derive(Debug)]
pub struct Picker {
    strategy: Strategy,
    distances: NetworkCosts,
    targets: IndexMap<Vm, Candidate>,
    /// Mean size of the answers by kind, in bytes.
    sizes: IndexMap<Name, f64>,
    turn: usize,
    rng: StdRng,
}

impl Picker {
    /// Creates a picker without targets.
    pub fn new(strategy: Strategy, distances: NetworkCosts, seed: u64) -> Self {
        let rng = StdRng::seed_from_u64(seed);
        let (targets, sizes) = (IndexMap::new(), IndexMap::new());
        Self { strategy, distances, targets, sizes, turn: 0, rng }
    }

    /// Replaces the targets, keeping what is known of those that stay.
    pub fn update(&mut self, endpoints: Vec<Endpoint>) {
        let mut old = std::mem::take(&mut self.targets);
        for endpoint in endpoints {
            let vm = endpoint.destination.vm.clone();
            let known = old.swap_remove(&vm);
            let same = known.filter(|c| c.endpoint.destination.boot == endpoint.destination.boot);
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

    /// Tells whether there is no target.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// Finds a target by VM.
    pub fn locate(&self, vm: &Vm) -> Option<Destination> {
        Some(self.targets.get(vm)?.endpoint.destination.clone())
    }

    /// Chooses a target for an attempt. Those in `exclude` are left out; at
    /// those in `busy` the call would be late.
    pub fn pick(
        &mut self,
        now: Duration,
        ask: &CallInfo<'_>,
        exclude: &[Vm],
        busy: &[Vm],
    ) -> Option<Destination> {
        let free = |candidate: &&Candidate| !exclude.contains(&candidate.endpoint.destination.vm);
        let all: Vec<&Candidate> = self.targets.values().filter(free).collect();
        let chosen = match self.strategy {
            Strategy::Random => all.iter().copied().choose(&mut self.rng),
            Strategy::RoundRobin => {
                self.turn = self.turn.wrapping_add(1);
                all.get(self.turn % all.len().max(1)).copied()
            }
            Strategy::LeastRequests => all.iter().copied().min_by_key(|c| c.outstanding()),
            Strategy::ExpectedWait | Strategy::ExpectedWaitBreaker => {
                let breaker = self.strategy == Strategy::ExpectedWaitBreaker;
                let bytes =
                    ask.body_bytes as f64 + self.sizes.get(ask.route).copied().unwrap_or(0.0);
                let usable = usable(now, &all, breaker);
                let usual = usual_service(&usable, ask.route);
                let cost = |candidate: &&&Candidate| {
                    let cost = candidate.cost(now, ask, usual, bytes, &self.distances);
                    let late = busy.contains(&candidate.endpoint.destination.vm);
                    let cost = if late { cost + LATE_COST } else { cost };
                    cost.mul_f64(self.rng.random_range(1.0 - VARIATION..1.0 + VARIATION))
                };
                usable.iter().min_by_key(cost).copied()
            }
        };
        chosen.map(|candidate| candidate.endpoint.destination.clone())
    }

    /// Returns the service time of a kind at a usual target, once known.
    pub fn median_service_time(&self, kind: &Name) -> Option<Duration> {
        let all: Vec<&Candidate> = self.targets.values().collect();
        known_service(&all, kind)
    }

    /// Chooses the target that a key leads to. Proxies with the same view of
    /// the targets choose the same one.
    pub fn pick_keyed(&self, key: IdempotencyKey, exclude: &[Vm]) -> Option<Destination> {
        let weight = |vm: &Vm| {
            let mut bytes = key.0.to_le_bytes().to_vec();
            bytes.extend_from_slice(vm.as_str().as_bytes());
            rapidhash::v3::rapidhash_v3(&bytes)
        };
        let free = self.targets.values().filter(|c| !exclude.contains(&c.endpoint.destination.vm));
        let chosen = free.min_by_key(|c| {
            (c.endpoint.locality == Locality::Remote, weight(&c.endpoint.destination.vm))
        })?;
        Some(chosen.endpoint.destination.clone())
    }

    /// Notes that an attempt is sent.
    pub fn on_sent(&mut self, now: Duration, vm: &Vm, attempt: AttemptId, kind: &Name) {
        if let Some(candidate) = self.targets.get_mut(vm) {
            candidate.on_sent(now, attempt, kind);
        }
    }

    /// Notes that a target answered an attempt of a kind.
    pub fn on_response(
        &mut self,
        now: Duration,
        vm: &Vm,
        attempt: AttemptId,
        kind: &Name,
        report: &ResponseInfo,
    ) {
        if let Some(bytes) = report.body_bytes.filter(|_| !report.failed) {
            self.learn_size(kind, bytes);
        }
        if let Some(candidate) = self.targets.get_mut(vm) {
            candidate.on_response(now, attempt, report);
        }
    }

    /// Notes that an attempt was refused, with the load of the target.
    pub fn on_rejected(
        &mut self,
        now: Duration,
        vm: &Vm,
        attempt: AttemptId,
        report: &ResponseInfo,
    ) {
        if let Some(candidate) = self.targets.get_mut(vm) {
            candidate.on_rejected(now, attempt, report);
        }
    }

    /// Notes that an attempt was given up while outstanding.
    pub fn on_abandoned(&mut self, now: Duration, vm: &Vm, attempt: AttemptId) {
        if let Some(candidate) = self.targets.get_mut(vm) {
            candidate.on_abandoned(now, attempt);
        }
    }

    /// Notes that the inbound proxy of a target could not be reached.
    pub fn on_connect_failed(&mut self, now: Duration, vm: &Vm, attempt: AttemptId) {
        if let Some(candidate) = self.targets.get_mut(vm) {
            candidate.on_connect_failed(now, attempt);
        }
    }

    /// Tells whether a target is set aside, and until when.
    pub fn ejected_until(&self, now: Duration, vm: &Vm) -> Option<Duration> {
        self.targets.get(vm)?.ejected_until(now)
    }

    fn learn_size(&mut self, kind: &Name, bytes: u64) {
        let sample = bytes as f64;
        if let Some(size) = self.sizes.get_mut(kind) {
            *size += (sample - *size) * SIZE_SMOOTHING;
            return;
        }
        if self.sizes.len() >= MAX_KINDS {
            self.sizes.shift_remove_index(0);
        }
        self.sizes.insert(kind.clone(), sample);
    }
}

/// Leaves out those that look bad. When more than half of them do, looks are
/// not trusted.
fn usable<'a>(now: Duration, all: &[&'a Candidate], breaker: bool) -> Vec<&'a Candidate> {
    let good: Vec<&Candidate> =
        all.iter().copied().filter(|candidate| candidate.is_usable(now, breaker)).collect();
    if good.len() * 2 < all.len() { all.to_vec() } else { good }
}

fn usual_service(candidates: &[&Candidate], kind: &Name) -> Duration {
    known_service(candidates, kind).unwrap_or(UNKNOWN_SERVICE)
}

/// Returns the median service time of the targets that have answered a kind.
fn known_service(candidates: &[&Candidate], kind: &Name) -> Option<Duration> {
    let mut known: Vec<Duration> = candidates.iter().filter_map(|c| c.learnt(kind)).collect();
    known.sort_unstable();
    let middle = known.len().saturating_sub(1) / 2;
    known.get(middle).copied()
}

#[cfg(test)]
mod tests;
