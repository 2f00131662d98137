//! The gate before a narrow link, under random arrivals, ends, departures and
//! pauses: each call is settled once, and no slot idles while a call that
//! could use it waits.

use std::collections::HashMap;
use std::time::Duration;

use medlarpoint_model::{Class, Name, Policy};
use medlarpoint_routing::{Admission, AttemptId, Decision, Link, Scheduler, Ticket};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const SLOTS: u32 = 3;
const SEEDS: u64 = 200;
const STEPS: usize = 400;
/// Size of a large answer, in bytes.
const PACK_BYTES: usize = 40_000;
/// A link of 92 kilobytes a second, large answers at a time within half a
/// second of it, and the one that goes beyond.
const LINK_MEGABITS: f64 = 0.8;
const PACKS_AT_A_TIME: usize = 2;

struct Model {
    gate: Scheduler,
    now: Duration,
    waiting: HashMap<AttemptId, Ticket>,
    running: HashMap<AttemptId, Ticket>,
    arrived: u32,
    settled: u32,
    rng: StdRng,
}

fn name(text: &str) -> Name {
    text.parse().expect("a name")
}

impl Model {
    fn new(seed: u64) -> Self {
        let policy = Policy { ramp_ms: 0, queue_per_slot: 4, ..Policy::default() };
        let mut gate = Scheduler::new(SLOTS, policy, Duration::ZERO);
        gate.set_link(Link::new(Some(LINK_MEGABITS)));
        gate.link_mut().observe(&name("pack"), PACK_BYTES);
        Self {
            gate,
            now: Duration::from_secs(100),
            waiting: HashMap::new(),
            running: HashMap::new(),
            arrived: 0,
            settled: 0,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    fn ticket(&mut self) -> Ticket {
        let large = self.rng.random_bool(0.3);
        self.arrived += 1;
        Ticket {
            attempt: AttemptId(u128::from(self.arrived)),
            class: Class::Short,
            tenant: name(if self.rng.random_bool(0.5) { "a" } else { "b" }),
            weight: 1,
            rank: self.rng.random_range(0..3),
            route: name(if large { "pack" } else { "lookup" }),
            useful_until: self
                .rng
                .random_bool(0.7)
                .then(|| self.now + Duration::from_millis(self.rng.random_range(50..1_500))),
            may_spill: self.rng.random_bool(0.3),
            arrived: self.now,
            deadline: self.now + Duration::from_millis(self.rng.random_range(100..4_000)),
        }
    }

    fn arrive(&mut self) {
        let ticket = self.ticket();
        let (entry, displaced) = self.gate.arrive(self.now, ticket.clone());
        match entry {
            Admission::Run => {
                self.settled += 1;
                self.running.insert(ticket.attempt, ticket);
            }
            Admission::Queued => {
                self.waiting.insert(ticket.attempt, ticket);
            }
            Admission::Rejected(..) => self.settled += 1,
        }
        self.settle(displaced.into_iter().collect());
    }

    fn settle(&mut self, decisions: Vec<Decision>) {
        for decision in decisions {
            let (Decision::Run(attempt) | Decision::Rejected(attempt, ..)) = decision;
            let ticket = self.waiting.remove(&attempt).expect("only what waits is settled");
            self.settled += 1;
            if matches!(decision, Decision::Run(_)) {
                self.running.insert(attempt, ticket);
            }
        }
    }

    fn end(&mut self) {
        let Some(attempt) = self.running.keys().min().copied() else {
            return;
        };
        let ticket = self.running.remove(&attempt).expect("it runs");
        if ticket.route == name("pack") {
            self.gate.link_mut().reserve(self.now, PACK_BYTES);
        }
        let took = Duration::from_millis(self.rng.random_range(10..100));
        let settled = self.gate.release(self.now, ticket.class, &ticket.route, Some(took));
        self.settle(settled);
    }

    fn depart(&mut self) {
        let Some(attempt) = self.waiting.keys().min().copied() else {
            return;
        };
        assert!(self.gate.remove(attempt));
        self.waiting.remove(&attempt);
        self.settled += 1;
    }

    fn pass(&mut self, most_ms: u64) {
        self.now += Duration::from_millis(self.rng.random_range(1..most_ms));
        let settled = self.gate.sweep(self.now);
        self.settle(settled);
    }

    fn check(&self, seed: u64) {
        assert!(self.running.len() <= SLOTS as usize, "seed {seed}: more run than there are slots");
        let large = |ticket: &&Ticket| ticket.route == name("pack");
        let packs = self.running.values().filter(large).count();
        assert!(packs <= PACKS_AT_A_TIME, "seed {seed}: {packs} large answers at a time");
        let idle = self.running.len() < SLOTS as usize;
        let lookup = self.waiting.values().any(|ticket| !large(&ticket));
        assert!(!(idle && lookup), "seed {seed}: a lookup waits beside a free slot");
        let load = self.gate.load(self.now);
        assert_eq!(load.queued as usize, self.waiting.len(), "seed {seed}");
        assert_eq!(load.running as usize, self.running.len(), "seed {seed}");
    }
}

fn play(seed: u64) {
    let mut model = Model::new(seed);
    for _ in 0..STEPS {
        match model.rng.random_range(0..10) {
            0..4 => model.arrive(),
            4..7 => model.end(),
            7 => model.depart(),
            _ => model.pass(120),
        }
        model.check(seed);
    }
    while !(model.waiting.is_empty() && model.running.is_empty()) {
        model.end();
        model.pass(500);
        model.check(seed);
    }
    assert_eq!(model.settled, model.arrived, "seed {seed}: each call is settled once");
}

#[test]
fn each_call_is_settled_once_and_no_slot_idles_beside_a_call_that_could_use_it() {
    for seed in 0..SEEDS {
        play(seed);
    }
}
