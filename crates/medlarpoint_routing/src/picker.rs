//! Chooses a target for an attempt.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;
use medlarpoint_model::{Class, Vm};
use rand::rngs::StdRng;
use rand::seq::IteratorRandom;
use rand::{RngExt, SeedableRng};

use crate::{AttemptId, Breaker, Generation, IdempotencyKey, Latency, Load};

/// Time after which a load report has lost most of its weight.
const LOAD_DECAY: Duration = Duration::from_millis(500);
/// Time after which an old latency has lost most of its weight.
const LATENCY_DECAY: Duration = Duration::from_secs(1);
/// Connection failures in a row after which a target is set aside.
const EJECT_FAILURES: u32 = 2;
/// First time a target is set aside.
const EJECT_TIME: Duration = Duration::from_millis(500);
/// Longest time a target is set aside.
const MAX_EJECT_TIME: Duration = Duration::from_secs(10);
/// First time a target counts as a straggler after a faster one beat it.
const BEATEN_TIME: Duration = Duration::from_millis(100);
/// Longest such time.
const MAX_BEATEN_TIME: Duration = Duration::from_secs(1);
/// Latency assumed of a target that has not answered yet.
const UNKNOWN_LATENCY: Duration = Duration::from_micros(500);
/// Share of unused room that makes one target dearer than another.
const LOAD_SLOPE: f64 = 0.25;

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
    /// The shorter expected wait of two.
    #[default]
    ExpectedWait,
}

#[derive(Clone, Copy, Debug)]
struct Outstanding {
    since: Duration,
    class: Class,
    generation: Generation,
}

#[derive(Clone, Debug)]
struct State {
    endpoint: Endpoint,
    outstanding: IndexMap<AttemptId, Outstanding>,
    load: Load,
    load_at: Duration,
    short: Latency,
    long: Latency,
    answered_at: Duration,
    failures: u32,
    ejections: u32,
    ejected_until: Duration,
    /// Attempts in a row that were given up for a faster one.
    beaten: u32,
    /// Until when the target counts as a straggler for being beaten.
    beaten_until: Duration,
    breaker: Breaker,
}

/// The targets of one service as one outbound proxy sees them.
#[derive(Debug)]
pub struct Picker {
    strategy: Strategy,
    targets: IndexMap<Vm, State>,
    turn: usize,
    rng: StdRng,
}

impl Picker {
    /// Creates a picker without targets.
    pub fn new(strategy: Strategy, seed: u64) -> Self {
        let rng = StdRng::seed_from_u64(seed);
        Self { strategy, targets: IndexMap::new(), turn: 0, rng }
    }

    /// Replaces the targets, keeping what is known of those that stay.
    pub fn update(&mut self, endpoints: Vec<Endpoint>) {
        let mut old = std::mem::take(&mut self.targets);
        for endpoint in endpoints {
            let vm = endpoint.choice.vm.clone();
            let known = old.swap_remove(&vm);
            let same = known.filter(|s| s.endpoint.choice.boot == endpoint.choice.boot);
            let state = match same {
                Some(state) => State { endpoint, ..state },
                None => State::new(endpoint),
            };
            self.targets.insert(vm, state);
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

    /// Chooses a target for an attempt.
    pub fn pick(&mut self, now: Duration, class: Class, exclude: &[Vm]) -> Option<Choice> {
        let free = |state: &&State| !exclude.contains(&state.endpoint.choice.vm);
        let all: Vec<&State> = self.targets.values().filter(free).collect();
        if all.is_empty() {
            return None;
        }
        let chosen = match self.strategy {
            Strategy::Random => all.iter().copied().choose(&mut self.rng),
            Strategy::RoundRobin => {
                self.turn = self.turn.wrapping_add(1);
                all.get(self.turn % all.len()).copied()
            }
            Strategy::LeastRequests => all.iter().copied().min_by_key(|s| s.outstanding.len()),
            Strategy::ExpectedWait | Strategy::ExpectedWaitBreaker => {
                let breaker = self.strategy == Strategy::ExpectedWaitBreaker;
                pick_by_wait(&mut self.rng, now, class, &all, breaker)
            }
        };
        chosen.map(|state| state.endpoint.choice.clone())
    }

    /// Chooses the target that a key leads to. Proxies with the same view of
    /// the targets choose the same one.
    pub fn pick_keyed(&self, key: IdempotencyKey, exclude: &[Vm]) -> Option<Choice> {
        let weight = |vm: &Vm| {
            let mut bytes = key.0.to_le_bytes().to_vec();
            bytes.extend_from_slice(vm.as_str().as_bytes());
            rapidhash::v3::rapidhash_v3(&bytes)
        };
        let free = self.targets.values().filter(|s| !exclude.contains(&s.endpoint.choice.vm));
        let chosen = free.min_by_key(|s| {
            (s.endpoint.locality == Locality::Remote, weight(&s.endpoint.choice.vm))
        })?;
        Some(chosen.endpoint.choice.clone())
    }

    /// Notes that an attempt is sent.
    pub fn sent(&mut self, now: Duration, vm: &Vm, attempt: AttemptId, class: Class) {
        let Some(state) = self.targets.get_mut(vm) else {
            return;
        };
        let generation = state.breaker.sent(now);
        state.outstanding.insert(attempt, Outstanding { since: now, class, generation });
    }

    /// Notes that a target answered an attempt, with its load.
    pub fn answered(&mut self, now: Duration, vm: &Vm, attempt: AttemptId, load: Option<Load>) {
        let Some(state) = self.targets.get_mut(vm) else {
            return;
        };
        if let Some(load) = load {
            state.load = load;
            state.load_at = now;
        }
        state.failures = 0;
        state.ejections = 0;
        let Some(sent) = state.outstanding.shift_remove(&attempt) else {
            return;
        };
        let latency = now.saturating_sub(sent.since);
        let slow = state.latency(sent.class).value().is_some_and(|usual| latency > usual * 4);
        state.breaker.ended(now, sent.generation, !slow);
        state.latency_mut(sent.class).observe(now, latency);
        state.answered_at = now;
        if !slow {
            state.beaten = 0;
            state.beaten_until = Duration::ZERO;
        }
    }

    /// Notes that an attempt was refused, with the load of the target.
    pub fn refused(&mut self, now: Duration, vm: &Vm, attempt: AttemptId, load: Option<Load>) {
        let Some(state) = self.targets.get_mut(vm) else {
            return;
        };
        if let Some(load) = load {
            state.load = load;
            state.load_at = now;
        }
        if let Some(sent) = state.outstanding.shift_remove(&attempt) {
            state.breaker.ended(now, sent.generation, true);
        }
    }

    /// Notes that an attempt was given up while outstanding. Its age so far is
    /// only a lower bound of the latency, so the target counts as a straggler
    /// for a while, longer each time until it answers as usual.
    pub fn abandoned(&mut self, now: Duration, vm: &Vm, attempt: AttemptId) {
        let Some(state) = self.targets.get_mut(vm) else {
            return;
        };
        let Some(sent) = state.outstanding.shift_remove(&attempt) else {
            return;
        };
        let age = now.saturating_sub(sent.since);
        state.breaker.ended(now, sent.generation, false);
        if state.latency(sent.class).value().is_some_and(|usual| age > usual) {
            state.latency_mut(sent.class).observe(now, age);
            let time = BEATEN_TIME.saturating_mul(1 << state.beaten.min(8)).min(MAX_BEATEN_TIME);
            state.beaten += 1;
            state.beaten_until = now + time;
        }
    }

    /// Notes that the inbound proxy of a target could not be reached.
    pub fn failed(&mut self, now: Duration, vm: &Vm, attempt: AttemptId) {
        let Some(state) = self.targets.get_mut(vm) else {
            return;
        };
        if let Some(sent) = state.outstanding.shift_remove(&attempt) {
            state.breaker.ended(now, sent.generation, false);
        }
        state.failures += 1;
        if state.failures < EJECT_FAILURES {
            return;
        }
        let time = EJECT_TIME.saturating_mul(1 << state.ejections.min(8)).min(MAX_EJECT_TIME);
        state.ejections += 1;
        state.ejected_until = now + time;
    }

    /// Tells whether a target is set aside, and until when.
    pub fn ejected(&self, now: Duration, vm: &Vm) -> Option<Duration> {
        let until = self.targets.get(vm)?.ejected_until;
        (until > now).then_some(until)
    }
}

/// Takes the nearest tier with room, and there the better of two. When more
/// than half of the targets look bad, looks are not trusted.
fn pick_by_wait<'a>(
    rng: &mut StdRng,
    now: Duration,
    class: Class,
    all: &[&'a State],
    breaker: bool,
) -> Option<&'a State> {
    let good =
        |state: &&&State| state.ejected_until <= now && (!breaker || state.breaker.allows(now));
    let mut usable: Vec<&State> = all.iter().filter(good).copied().collect();
    if usable.len() * 2 < all.len() {
        usable = all.to_vec();
    }
    let usual = usual_latency(&usable, class);
    for tier in [Locality::Near, Locality::Region, Locality::Remote] {
        let roomy = usable.iter().copied().filter(|s| {
            s.endpoint.locality <= tier && s.has_room(now) && !s.straggles(now, class, usual)
        });
        let roomy: Vec<&State> = roomy.collect();
        if !roomy.is_empty() {
            return better_of_two(rng, now, class, &roomy);
        }
    }
    better_of_two(rng, now, class, &usable)
}

fn better_of_two<'a>(
    rng: &mut StdRng,
    now: Duration,
    class: Class,
    states: &[&'a State],
) -> Option<&'a State> {
    let first = rng.random_range(0..states.len());
    if states.len() == 1 {
        return states.first().copied();
    }
    let mut second = rng.random_range(0..states.len() - 1);
    second += usize::from(second >= first);
    let (a, b) = (states[first], states[second]);
    Some(if a.wait(now, class) <= b.wait(now, class) { a } else { b })
}

/// Returns the median latency of the targets that have answered.
fn usual_latency(states: &[&State], class: Class) -> Option<Duration> {
    let mut known: Vec<Duration> =
        states.iter().filter_map(|state| state.latency(class).value()).collect();
    known.sort_unstable();
    known.get(known.len().checked_sub(1)? / 2).copied()
}

impl State {
    fn new(endpoint: Endpoint) -> Self {
        Self {
            endpoint,
            outstanding: IndexMap::new(),
            load: Load::default(),
            load_at: Duration::ZERO,
            short: Latency::default(),
            long: Latency::default(),
            answered_at: Duration::ZERO,
            failures: 0,
            ejections: 0,
            ejected_until: Duration::ZERO,
            beaten: 0,
            beaten_until: Duration::ZERO,
            breaker: Breaker::default(),
        }
    }

    fn latency(&self, class: Class) -> &Latency {
        match class {
            Class::Short => &self.short,
            Class::Long => &self.long,
        }
    }

    fn latency_mut(&mut self, class: Class) -> &mut Latency {
        match class {
            Class::Short => &mut self.short,
            Class::Long => &mut self.long,
        }
    }

    /// Calls at the target: the own ones, or those it reported not long ago.
    fn occupancy(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.load_at).as_secs_f64();
        let weight = (-age / LOAD_DECAY.as_secs_f64()).exp();
        let reported = f64::from(self.load.running + self.load.queued) * weight;
        reported.max(self.outstanding.len() as f64)
    }

    fn slots(&self) -> f64 {
        let ramping = self.load.slots > 0 && self.load.slots < self.endpoint.slots;
        let slots = if ramping { self.load.slots } else { self.endpoint.slots };
        f64::from(slots.max(1))
    }

    fn has_room(&self, now: Duration) -> bool {
        self.occupancy(now) < self.slots()
    }

    fn oldest(&self, now: Duration, class: Class) -> Duration {
        let same = self.outstanding.values().filter(|o| o.class == class);
        same.map(|o| now.saturating_sub(o.since)).max().unwrap_or_default()
    }

    /// Latency that a new attempt may expect of the target itself. An attempt
    /// that has been outstanding for long tells of trouble before it ends.
    fn service(&self, now: Duration, class: Class) -> Duration {
        let idle = now.saturating_sub(self.answered_at).as_secs_f64();
        let weight = (-idle / LATENCY_DECAY.as_secs_f64()).exp();
        let learnt = self.latency(class).value().map(|usual| usual.mul_f64(weight));
        learnt.unwrap_or(UNKNOWN_LATENCY).max(self.oldest(now, class))
    }

    fn straggles(&self, now: Duration, class: Class, usual: Option<Duration>) -> bool {
        let beaten = now < self.beaten_until;
        beaten || usual.is_some_and(|usual| self.service(now, class) > usual * 3 + UNKNOWN_LATENCY)
    }

    fn wait(&self, now: Duration, class: Class) -> Duration {
        let filled = (self.occupancy(now) + 1.0) / self.slots();
        let queueing = filled.max(1.0) + filled * LOAD_SLOPE;
        self.service(now, class).mul_f64(queueing)
    }
}
