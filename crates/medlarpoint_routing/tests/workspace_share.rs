//! Load of many workspaces on one target, of which one sends seven times its usual rate: the
//! others must not wait longer, and none of their calls may be rejected.

use std::collections::HashMap;
use std::time::Duration;

use medlarpoint_model::{Class, Name, Policy};
use medlarpoint_routing::{Admission, AttemptId, Decision, Scheduler, Ticket};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const SLOTS: u32 = 4;
const SERVICE_TIME: Duration = Duration::from_millis(50);
/// Number of workspaces, whose usual rates together use 75% of the slots.
const WORKSPACES: usize = 8;
/// Share of each workspace in the usual load; the first is the one that floods.
const USUAL_SHARES: [f64; WORKSPACES] = [0.15, 0.25, 0.2, 0.1, 0.1, 0.1, 0.05, 0.05];
const USUAL_LOAD: f64 = 0.75;
const FLOOD_FACTOR: f64 = 7.0;
const RUN_TIME: Duration = Duration::from_secs(60);
/// Time within which a response is of full use, and time until the caller gives up.
const TARGET_LATENCY: Duration = Duration::from_millis(600);
const DEADLINE: Duration = Duration::from_secs(2);
/// Time between two starts of calls while all slots are busy, as they always are during the
/// flood. Each call then waits for at least a part of it.
const START_INTERVAL: Duration = Duration::from_micros(12_500);
const SEEDS: u64 = 5;

/// What happened to the calls of the workspaces that do not flood.
#[derive(Debug, Default)]
struct Others {
    waits: Vec<Duration>,
    rejected: usize,
}

impl Others {
    fn mean(&self) -> Duration {
        self.waits.iter().sum::<Duration>() / self.waits.len() as u32
    }

    fn percentile(&self, share: f64) -> Duration {
        let mut waits = self.waits.clone();
        waits.sort_unstable();
        waits[((waits.len() - 1) as f64 * share) as usize]
    }
}

/// Load on the scheduler of a target.
#[derive(Clone, Copy)]
struct Load {
    /// Factor on the usual rate of the first workspace.
    factor: f64,
    /// Whether calls have a due date.
    dated: bool,
    /// Whether the scheduler knows the tenants as workspaces.
    identified: bool,
}

struct Run {
    load: Load,
    /// Randomness of each workspace's arrivals. The arrivals of the others do not depend on
    /// the flood.
    arrivals: Vec<StdRng>,
    /// Randomness of the service times.
    rng: StdRng,
    scheduler: Scheduler,
    /// Arrival and workspace of each call that is queued or runs.
    calls: HashMap<AttemptId, (Duration, usize)>,
    running: Vec<(Duration, AttemptId)>,
    others: Others,
    next_id: u128,
}

fn route() -> Name {
    "lookup".parse().expect("a name")
}

impl Run {
    fn new(load: Load, seed: u64) -> Self {
        let policy = Policy { ramp_ms: 0, ..Policy::default() };
        let mut scheduler = Scheduler::new(SLOTS, policy);
        scheduler.on_target_response(Duration::ZERO, None);
        Self {
            load,
            arrivals: (1..=WORKSPACES as u64)
                .map(|workspace| StdRng::seed_from_u64(seed + workspace * 1_000))
                .collect(),
            rng: StdRng::seed_from_u64(seed),
            scheduler,
            calls: HashMap::new(),
            running: Vec::new(),
            others: Others::default(),
            next_id: 0,
        }
    }

    /// Runs the load in steps of a millisecond.
    fn run(mut self) -> Others {
        let capacity = f64::from(SLOTS) / SERVICE_TIME.as_secs_f64();
        for ms in 0..RUN_TIME.as_millis() as u64 {
            let now = Duration::from_millis(ms);
            self.complete(now);
            for (workspace, share) in USUAL_SHARES.iter().enumerate() {
                let factor = if workspace == 0 { self.load.factor } else { 1.0 };
                let probability = capacity * USUAL_LOAD * share * factor / 1_000.0;
                if self.arrivals[workspace].random_bool(probability) {
                    self.arrive(now, workspace);
                }
            }
            let decisions = self.scheduler.sweep(now);
            self.apply(now, decisions);
        }
        self.others
    }

    fn complete(&mut self, now: Duration) {
        let done: Vec<_> = self.running.extract_if(.., |(end, _)| *end <= now).collect();
        for _ in done {
            let decisions = self.scheduler.release(now, Class::Short, &route(), Some(SERVICE_TIME));
            self.apply(now, decisions);
        }
    }

    fn arrive(&mut self, now: Duration, workspace: usize) {
        self.next_id += 1;
        let attempt = AttemptId(self.next_id);
        let ticket = Ticket {
            attempt,
            class: Class::Short,
            tenant: format!("w{workspace}").parse().expect("a name"),
            in_workspace: self.load.identified,
            weight: 1,
            rank: 1,
            expected: None,
            route: route(),
            body_bytes: 0,
            useful_until: self.load.dated.then_some(now + TARGET_LATENCY),
            may_spill: false,
            suspect: false,
            arrived: now,
            deadline: now + DEADLINE,
        };
        self.calls.insert(attempt, (now, workspace));
        let (admission, displaced) = self.scheduler.arrive(now, ticket);
        let mut decisions: Vec<Decision> = displaced.into_iter().collect();
        match admission {
            Admission::Run => decisions.push(Decision::Run(attempt)),
            Admission::Rejected(reason, after) => {
                decisions.push(Decision::Rejected(attempt, reason, after));
            }
            Admission::Queued | Admission::Receive(_) => {}
        }
        self.apply(now, decisions);
    }

    fn apply(&mut self, now: Duration, decisions: Vec<Decision>) {
        for decision in decisions {
            let (Decision::Run(attempt) | Decision::Rejected(attempt, ..)) = decision;
            let (arrived, workspace) = self.calls.remove(&attempt).expect("one decision a call");
            let runs = matches!(decision, Decision::Run(_));
            if runs {
                let took = SERVICE_TIME.mul_f64(self.rng.random_range(0.7..1.3));
                self.running.push((now + took, attempt));
            }
            match (workspace, runs) {
                (0, _) => {}
                (_, true) => self.others.waits.push(now.saturating_sub(arrived)),
                (_, false) => self.others.rejected += 1,
            }
        }
    }
}

/// Fails if a flood of one workspace raises the wait of the others.
fn check(dated: bool) {
    for seed in 0..SEEDS {
        let run = |factor| Run::new(Load { factor, dated, identified: true }, seed).run();
        let (usual, flooded) = (run(1.0), run(FLOOD_FACTOR));
        let figures =
            [usual.mean(), flooded.mean(), usual.percentile(0.99), flooded.percentile(0.99)];
        println!("seed {seed}, due dates {dated}: {figures:?}, {} rejected", flooded.rejected);
        assert_eq!(flooded.rejected, 0, "seed {seed}");
        assert!(flooded.mean() <= usual.mean() + 2 * START_INTERVAL, "seed {seed}: {figures:?}");
        assert!(figures[3] <= figures[2] + 2 * SERVICE_TIME, "seed {seed}: {figures:?}");
    }
}

#[test]
fn a_flood_of_one_workspace_does_not_raise_the_wait_of_others_with_due_dates() {
    check(true);
}

#[test]
fn a_flood_of_one_workspace_does_not_raise_the_wait_of_others_without_due_dates() {
    check(false);
}

/// Shows that the load would find a queue that is ordered by due date only, as it is for calls
/// without a workspace.
#[test]
fn ordered_by_due_date_only_the_same_flood_crowds_out_the_others() {
    let run = |factor| Run::new(Load { factor, dated: true, identified: false }, 1).run();
    let (usual, flooded) = (run(1.0), run(FLOOD_FACTOR));
    let figures = [usual.mean(), flooded.mean(), usual.percentile(0.99), flooded.percentile(0.99)];
    println!("due dates only: {figures:?}, {} rejected", flooded.rejected);
    assert!(flooded.mean() > usual.mean() + 6 * START_INTERVAL);
    assert!(flooded.rejected > 0);
}
