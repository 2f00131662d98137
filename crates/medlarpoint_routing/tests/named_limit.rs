//! Load of a target that names a limit on its calls per second while far more calls
//! arrive, and whose daemon restarts meanwhile: in any four seconds it gets no more than
//! one and a half times what the limit allows, and 5 calls.

use std::collections::VecDeque;
use std::time::Duration;

use medlarpoint_model::{Class, Name, Policy};
use medlarpoint_routing::{Admission, AttemptId, Decision, Scheduler, Ticket};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const SLOTS: u32 = 18;
const SERVICE_TIME: Duration = Duration::from_millis(140);
const STEP: Duration = Duration::from_millis(5);
const LENGTH: Duration = Duration::from_secs(20);
const ARRIVALS_PER_SECOND: f64 = 90.0;
/// Time at which the daemon restarts and has forgotten the limit.
const RESTART: Duration = Duration::from_secs(9);
const WINDOW: Duration = Duration::from_secs(4);

struct Model {
    scheduler: Scheduler,
    per_second: f64,
    running: VecDeque<Duration>,
    started: Vec<Duration>,
    rejected: Vec<Duration>,
    arrived: u128,
}

fn route() -> Name {
    "lookup".parse().unwrap()
}

fn scheduler() -> Scheduler {
    let policy = Policy::default();
    let mut scheduler = Scheduler::new(SLOTS, policy);
    scheduler.on_target_replaced();
    scheduler
}

impl Model {
    fn start(&mut self, now: Duration) {
        self.started.push(now);
        self.running.push_back(now + SERVICE_TIME);
    }

    fn apply(&mut self, now: Duration, decisions: Vec<Decision>) {
        for decision in decisions {
            match decision {
                Decision::Run(_) => self.start(now),
                Decision::Rejected(_, _, retry_after) => self.rejected.push(retry_after),
            }
        }
    }

    fn arrive(&mut self, now: Duration) {
        self.arrived += 1;
        let ticket = Ticket {
            attempt: AttemptId(self.arrived),
            class: Class::Short,
            tenant: "unnamed".parse().unwrap(),
            in_workspace: false,
            weight: 1,
            rank: 2,
            route: route(),
            body_bytes: 0,
            useful_until: Some(now + Duration::from_millis(500)),
            may_spill: false,
            suspect: false,
            expected: None,
            arrived: now,
            deadline: now + Duration::from_millis(1_500),
        };
        let (admission, displaced) = self.scheduler.arrive(now, ticket);
        self.apply(now, displaced.into_iter().collect());
        match admission {
            Admission::Run => self.start(now),
            Admission::Rejected(_, retry_after) => self.rejected.push(retry_after),
            Admission::Queued | Admission::Receive(_) => {}
        }
    }

    fn complete(&mut self, now: Duration) {
        while self.running.front().is_some_and(|end| *end <= now) {
            self.running.pop_front();
            self.scheduler.on_target_response(now, Some(self.per_second));
            let decisions = self.scheduler.release(now, Class::Short, &route(), Some(SERVICE_TIME));
            self.apply(now, decisions);
        }
    }
}

/// Plays the load and returns the model with the times of all starts.
fn play(per_second: f64, seed: u64) -> Model {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut model = Model {
        scheduler: scheduler(),
        per_second,
        running: VecDeque::new(),
        started: Vec::new(),
        rejected: Vec::new(),
        arrived: 0,
    };
    let mut now = Duration::ZERO;
    while now < LENGTH {
        if now == RESTART {
            model.scheduler = scheduler();
            model.running.clear();
        }
        model.complete(now);
        let decisions = model.scheduler.sweep(now);
        model.apply(now, decisions);
        if rng.random_bool(ARRIVALS_PER_SECOND * STEP.as_secs_f64()) {
            model.arrive(now);
        }
        now += STEP;
    }
    model
}

/// Guards against LIMIT of issue 25: a target got far more calls than the limit that it
/// had named.
#[test]
fn a_target_gets_no_more_calls_than_the_limit_that_it_names() {
    for seed in 0..20 {
        for per_second in [0.4, 2.0, 5.2, 23.8, 41.7] {
            let model = play(per_second, seed);
            let allowed = per_second * WINDOW.as_secs_f64() * 1.5 + 5.0;
            for (index, first) in model.started.iter().enumerate() {
                let window = model.started[index..].iter();
                let calls = window.take_while(|at| **at < *first + WINDOW).count();
                assert!(
                    calls as f64 <= allowed,
                    "seed {seed}, {per_second} a second: {calls} calls from {first:?}"
                );
            }
        }
    }
}

#[test]
fn a_target_gets_the_calls_that_its_limit_allows() {
    for seed in 0..20 {
        let model = play(20.0, seed);
        let expected = 20.0 * LENGTH.as_secs_f64() * 0.95;
        assert!(model.started.len() as f64 >= expected, "seed {seed}: {}", model.started.len());
    }
}

#[test]
fn rejected_calls_are_told_when_the_limit_leaves_room() {
    let model = play(5.0, 1);
    assert!(!model.rejected.is_empty());
    let soonest = model.rejected.iter().min().copied().unwrap_or_default();
    assert!(soonest >= Duration::from_millis(50), "{soonest:?}");
}
