//! Runs the scheduler of a target behind a narrow link through random arrivals,
//! completions, cancellations and pauses: each call gets exactly one final
//! decision, and no slot is free while a call that could use it is queued.

use std::collections::HashMap;
use std::time::Duration;

use medlarpoint_model::{Class, Name, Policy};
use medlarpoint_routing::{Admission, AttemptId, Decision, Link, Scheduler, Ticket};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const SLOTS: u32 = 3;
const SEEDS: u64 = 200;
const STEPS: usize = 400;
/// Size of a large response, in bytes.
const PACK_BYTES: usize = 40_000;
/// Rate of the link, of which responses may use 92 kilobytes per second.
const LINK_MEGABITS: f64 = 0.8;
/// Limit of the large responses in flight: with one, the backlog of the link
/// stays below half a second; with two it exceeds that and no more are started.
const MAX_PACKS_IN_FLIGHT: usize = 2;

struct Model {
    scheduler: Scheduler,
    now: Duration,
    waiting: HashMap<AttemptId, Ticket>,
    running: HashMap<AttemptId, Ticket>,
    arrived: u32,
    decided: u32,
    rng: StdRng,
}

fn name(text: &str) -> Name {
    text.parse().expect("a name")
}

impl Model {
    fn new(seed: u64) -> Self {
        let policy = Policy { queue_per_slot: 4, ..Policy::default() };
        let mut scheduler = Scheduler::new(SLOTS, policy);
        scheduler.set_link(Link::for_responses(Some(LINK_MEGABITS)));
        scheduler.link_mut().observe(&name("pack"), PACK_BYTES);
        Self {
            scheduler,
            now: Duration::from_secs(100),
            waiting: HashMap::new(),
            running: HashMap::new(),
            arrived: 0,
            decided: 0,
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
            in_workspace: self.rng.random_bool(0.5),
            weight: 1,
            body_bytes: 0,
            rank: self.rng.random_range(0..3),
            route: name(if large { "pack" } else { "lookup" }),
            useful_until: self
                .rng
                .random_bool(0.7)
                .then(|| self.now + Duration::from_millis(self.rng.random_range(50..1_500))),
            may_spill: self.rng.random_bool(0.3),
            suspect: false,
            expected: None,
            arrived: self.now,
            deadline: self.now + Duration::from_millis(self.rng.random_range(100..4_000)),
        }
    }

    fn arrive(&mut self) {
        let ticket = self.ticket();
        let (admission, displaced) = self.scheduler.arrive(self.now, ticket.clone());
        match admission {
            Admission::Run => {
                self.decided += 1;
                self.running.insert(ticket.attempt, ticket);
            }
            Admission::Queued => {
                self.waiting.insert(ticket.attempt, ticket);
            }
            Admission::Rejected(..) => self.decided += 1,
            Admission::Receive(_) => unreachable!("no call has a request body"),
        }
        self.apply(displaced.into_iter().collect());
    }

    fn apply(&mut self, decisions: Vec<Decision>) {
        for decision in decisions {
            let (Decision::Run(attempt) | Decision::Rejected(attempt, ..)) = decision;
            let ticket = self.waiting.remove(&attempt).expect("only queued calls get a decision");
            self.decided += 1;
            if matches!(decision, Decision::Run(_)) {
                self.running.insert(attempt, ticket);
            }
        }
    }

    fn complete(&mut self) {
        let Some(attempt) = self.running.keys().min().copied() else {
            return;
        };
        let ticket = self.running.remove(&attempt).expect("the attempt is running");
        if ticket.route == name("pack") {
            self.scheduler.link_mut().reserve(self.now, PACK_BYTES);
        }
        let took = Duration::from_millis(self.rng.random_range(10..100));
        let decisions = self.scheduler.release(self.now, ticket.class, &ticket.route, Some(took));
        self.apply(decisions);
    }

    fn cancel(&mut self) {
        let Some(attempt) = self.waiting.keys().min().copied() else {
            return;
        };
        assert!(self.scheduler.remove(attempt));
        self.waiting.remove(&attempt);
        self.decided += 1;
    }

    fn advance(&mut self, max_ms: u64) {
        self.now += Duration::from_millis(self.rng.random_range(1..max_ms));
        let decisions = self.scheduler.sweep(self.now);
        self.apply(decisions);
    }

    fn check(&self, seed: u64) {
        assert!(
            self.running.len() <= SLOTS as usize,
            "seed {seed}: more calls run than there are slots"
        );
        let large = |ticket: &&Ticket| ticket.route == name("pack");
        let packs = self.running.values().filter(large).count();
        assert!(packs <= MAX_PACKS_IN_FLIGHT, "seed {seed}: {packs} large responses in flight");
        let idle = self.running.len() < SLOTS as usize;
        let lookup = self.waiting.values().any(|ticket| !large(&ticket));
        assert!(!(idle && lookup), "seed {seed}: a lookup is queued beside a free slot");
        let load = self.scheduler.load(self.now);
        assert_eq!(load.queued as usize, self.waiting.len(), "seed {seed}");
        assert_eq!(load.running as usize, self.running.len(), "seed {seed}");
    }
}

fn run(seed: u64) {
    let mut model = Model::new(seed);
    for _ in 0..STEPS {
        match model.rng.random_range(0..10) {
            0..4 => model.arrive(),
            4..7 => model.complete(),
            7 => model.cancel(),
            _ => model.advance(120),
        }
        model.check(seed);
    }
    while !(model.waiting.is_empty() && model.running.is_empty()) {
        model.complete();
        model.advance(500);
        model.check(seed);
    }
    assert_eq!(model.decided, model.arrived, "seed {seed}: each call gets exactly one decision");
}

#[test]
fn each_call_gets_one_decision_and_no_slot_is_free_while_a_call_could_use_it() {
    for seed in 0..SEEDS {
        run(seed);
    }
}
