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
/// [`Distances`].
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
pub struct Distances {
    /// The way there and back to another data centre of the region.
    pub region_way: Duration,
    /// The volume that crosses to it, per kilobyte.
    pub region_per_kilobyte: Duration,
    /// The way there and back to another region.
    pub remote_way: Duration,
    /// The volume that crosses to it, per kilobyte.
    pub remote_per_kilobyte: Duration,
}

impl Default for Distances {
    fn default() -> Self {
        Self {
            region_way: Duration::from_millis(3),
            region_per_kilobyte: Duration::from_millis(25),
            remote_way: Duration::from_millis(20),
            remote_per_kilobyte: Duration::from_millis(250),
        }
    }
}

/// A chosen target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
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
    pub choice: Choice,
    /// How far it is.
    pub locality: Locality,
    /// Slots it has.
    pub slots: u32,
}

/// A call that asks for a target.
#[derive(Clone, Copy, Debug)]
pub struct Ask<'a> {
    /// Route of the call: calls of one route take about as long.
    pub kind: &'a Name,
    /// Size of its body, in bytes.
    pub bytes: usize,
}

/// What came with an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Load of the target.
    pub load: Option<Load>,
    /// Time that the target took, waiting for a slot left out.
    pub took: Option<Duration>,
    /// Size of the answer, in bytes.
    pub bytes: Option<u64>,
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
    distances: Distances,
    targets: IndexMap<Vm, Candidate>,
    /// Mean size of the answers by kind, in bytes.
    sizes: IndexMap<Name, f64>,
    turn: usize,
    rng: StdRng,
}

impl Picker {
    /// Creates a picker without targets.
    pub fn new(strategy: Strategy, distances: Distances, seed: u64) -> Self {
        let rng = StdRng::seed_from_u64(seed);
        let (targets, sizes) = (IndexMap::new(), IndexMap::new());
        Self { strategy, distances, targets, sizes, turn: 0, rng }
    }

    /// Replaces the targets, keeping what is known of those that stay.
    pub fn update(&mut self, endpoints: Vec<Endpoint>) {
        let mut old = std::mem::take(&mut self.targets);
        for endpoint in endpoints {
            let vm = endpoint.choice.vm.clone();
            let known = old.swap_remove(&vm);
            let same = known.filter(|c| c.endpoint.choice.boot == endpoint.choice.boot);
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
    pub fn locate(&self, vm: &Vm) -> Option<Choice> {
        Some(self.targets.get(vm)?.endpoint.choice.clone())
    }

    /// Chooses a target for an attempt. Those in `exclude` are left out; at
    /// those in `busy` the call would be late.
    pub fn pick(
        &mut self,
        now: Duration,
        ask: &Ask<'_>,
        exclude: &[Vm],
        busy: &[Vm],
    ) -> Option<Choice> {
        let free = |candidate: &&Candidate| !exclude.contains(&candidate.endpoint.choice.vm);
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
                let bytes = ask.bytes as f64 + self.sizes.get(ask.kind).copied().unwrap_or(0.0);
                let usable = usable(now, &all, breaker);
                let usual = usual_service(&usable, ask.kind);
                let cost = |candidate: &&&Candidate| {
                    let cost = candidate.cost(now, ask, usual, bytes, &self.distances);
                    let late = busy.contains(&candidate.endpoint.choice.vm);
                    let cost = if late { cost + LATE_COST } else { cost };
                    cost.mul_f64(self.rng.random_range(1.0 - VARIATION..1.0 + VARIATION))
                };
                usable.iter().min_by_key(cost).copied()
            }
        };
        chosen.map(|candidate| candidate.endpoint.choice.clone())
    }

    /// Returns the service time of a kind at a usual target, once known.
    pub fn usual(&self, kind: &Name) -> Option<Duration> {
        let all: Vec<&Candidate> = self.targets.values().collect();
        known_service(&all, kind)
    }

    /// Chooses the target that a key leads to. Proxies with the same view of
    /// the targets choose the same one.
    pub fn pick_keyed(&self, key: IdempotencyKey, exclude: &[Vm]) -> Option<Choice> {
        let weight = |vm: &Vm| {
            let mut bytes = key.0.to_le_bytes().to_vec();
            bytes.extend_from_slice(vm.as_str().as_bytes());
            rapidhash::v3::rapidhash_v3(&bytes)
        };
        let free = self.targets.values().filter(|c| !exclude.contains(&c.endpoint.choice.vm));
        let chosen = free.min_by_key(|c| {
            (c.endpoint.locality == Locality::Remote, weight(&c.endpoint.choice.vm))
        })?;
        Some(chosen.endpoint.choice.clone())
    }

    /// Notes that an attempt is sent.
    pub fn sent(&mut self, now: Duration, vm: &Vm, attempt: AttemptId, kind: &Name) {
        if let Some(candidate) = self.targets.get_mut(vm) {
            candidate.sent(now, attempt, kind);
        }
    }

    /// Notes that a target answered an attempt of a kind.
    pub fn answered(
        &mut self,
        now: Duration,
        vm: &Vm,
        attempt: AttemptId,
        kind: &Name,
        report: &Report,
    ) {
        if let Some(bytes) = report.bytes.filter(|_| !report.failed) {
            self.learn_size(kind, bytes);
        }
        if let Some(candidate) = self.targets.get_mut(vm) {
            candidate.answered(now, attempt, report);
        }
    }

    /// Notes that an attempt was refused, with the load of the target.
    pub fn refused(&mut self, now: Duration, vm: &Vm, attempt: AttemptId, report: &Report) {
        if let Some(candidate) = self.targets.get_mut(vm) {
            candidate.refused(now, attempt, report);
        }
    }

    /// Notes that an attempt was given up while outstanding.
    pub fn abandoned(&mut self, now: Duration, vm: &Vm, attempt: AttemptId) {
        if let Some(candidate) = self.targets.get_mut(vm) {
            candidate.abandoned(now, attempt);
        }
    }

    /// Notes that the inbound proxy of a target could not be reached.
    pub fn failed(&mut self, now: Duration, vm: &Vm, attempt: AttemptId) {
        if let Some(candidate) = self.targets.get_mut(vm) {
            candidate.failed(now, attempt);
        }
    }

    /// Tells whether a target is set aside, and until when.
    pub fn ejected(&self, now: Duration, vm: &Vm) -> Option<Duration> {
        self.targets.get(vm)?.ejected(now)
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
