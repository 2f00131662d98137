//! Load of a service of which one call crashes each target that runs it, and comes again and
//! again at any daemon, beside calls that do not. Some of those are sent by many callers,
//! daemons restart, and messages between them are lost.

use std::time::Duration;

use medlarpoint_model::Fingerprint;
use medlarpoint_routing::{
    AttemptId, RunningCall, SuspectReport, Suspects, Suspicion, TargetRun, Verdict,
};
use rand::rngs::StdRng;
use rand::seq::IteratorRandom;
use rand::{RngExt, SeedableRng};

const DAEMONS: usize = 14;
/// Targets, beside the first daemons.
const TARGETS: usize = 7;
/// Targets that one call may be sent to.
const ATTEMPTS: u32 = 2;
const STEP: Duration = Duration::from_millis(5);
const LENGTH: Duration = Duration::from_secs(60);
const SERVICE_TIME: Duration = Duration::from_millis(140);
/// Time from the start of a fatal run to the crash.
const CRASH_DELAY: Duration = Duration::from_millis(60);
/// Time for which a crashed target is away.
const AWAY: Duration = Duration::from_secs(3);
const FATAL_INTERVAL: Duration = Duration::from_millis(250);
const INNOCENT_PER_SECOND: f64 = 150.0;
/// Share of the innocent calls that are the same call.
const POPULAR_SHARE: f64 = 0.3;
const MESSAGE_DELAY: Duration = Duration::from_millis(15);
const MESSAGE_LOSS: f64 = 0.1;
const GOSSIP_INTERVAL: Duration = Duration::from_secs(1);
/// Time within which every daemon has to know of a crash.
const SETTLE_TIME: Duration = Duration::from_secs(3);

const FATAL: Fingerprint = Fingerprint(1);
const POPULAR: Fingerprint = Fingerprint(2);

struct Run {
    attempt: AttemptId,
    call: RunningCall,
    daemon: usize,
    number: u32,
    until: Duration,
}

#[derive(Default)]
struct Target {
    run: TargetRun,
    running: Vec<Run>,
    away_until: Duration,
}

struct Message {
    at: Duration,
    to: usize,
    report: (Fingerprint, SuspectReport),
}

struct Model {
    rng: StdRng,
    now: Duration,
    daemons: Vec<Suspects>,
    targets: Vec<Target>,
    messages: Vec<Message>,
    calls: u128,
    /// Times at which the fatal call began to run.
    fatal_runs: Vec<Duration>,
    crashes: Vec<Duration>,
    innocent: usize,
    served: usize,
    backed_off: usize,
}

impl Model {
    fn new(seed: u64) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            now: Duration::ZERO,
            daemons: vec![Suspects::default(); DAEMONS],
            targets: (0..TARGETS).map(|_| Target::default()).collect(),
            messages: Vec::new(),
            calls: 10,
            fatal_runs: Vec::new(),
            crashes: Vec::new(),
            innocent: 0,
            served: 0,
            backed_off: 0,
        }
    }

    fn send(&mut self, call: Fingerprint, daemon: usize, number: u32) {
        if self.daemons[daemon].verdict(self.now, call) != Verdict::Run {
            self.backed_off += usize::from(call != FATAL);
            return;
        }
        let suspect = self.daemons[daemon].suspicion(call).is_suspect();
        let free = self.targets.iter().enumerate().filter(|(_, target)| {
            let alone = !target.running.iter().any(|run| run.call.known.is_suspect());
            target.away_until <= self.now && (!suspect || alone)
        });
        let Some(index) = free.map(|(index, _)| index).choose(&mut self.rng) else {
            return;
        };
        if let Some(report) = self.daemons[daemon].report(self.now, call) {
            self.daemons[index].merge(self.now, call, report);
        }
        let suspects = &mut self.daemons[index];
        if suspects.begin(self.now, call) != Verdict::Run {
            self.backed_off += usize::from(call != FATAL);
            return;
        }
        let known = suspects.suspicion(call);
        self.calls += 1;
        let attempt = AttemptId(self.calls);
        let fatal = call == FATAL;
        if fatal {
            self.fatal_runs.push(self.now);
        }
        let call = RunningCall { fingerprint: call, known };
        let until = self.now + if fatal { CRASH_DELAY } else { SERVICE_TIME };
        let target = &mut self.targets[index];
        target.run.begin(attempt, call);
        target.running.push(Run { attempt, call, daemon, number, until });
        self.broadcast(index);
    }

    fn broadcast(&mut self, daemon: usize) {
        for report in self.daemons[daemon].take_changed(self.now) {
            for to in (0..DAEMONS).filter(|to| *to != daemon) {
                if !self.rng.random_bool(MESSAGE_LOSS) {
                    self.messages.push(Message { at: self.now + MESSAGE_DELAY, to, report });
                }
            }
        }
    }

    fn gossip(&mut self) {
        for daemon in 0..DAEMONS {
            let to = self.rng.random_range(0..DAEMONS);
            for report in self.daemons[daemon].take_gossip(self.now, 2) {
                self.messages.push(Message { at: self.now + MESSAGE_DELAY, to, report });
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let due = self.messages.extract_if(.., |message| message.at <= now);
        for Message { to, report: (call, report), .. } in due {
            self.daemons[to].merge(now, call, report);
        }
    }

    fn complete(&mut self) {
        for index in 0..TARGETS {
            let now = self.now;
            let target = &mut self.targets[index];
            let ended: Vec<Run> = target.running.extract_if(.., |run| run.until <= now).collect();
            let crashed = ended.iter().any(|run| run.call.fingerprint == FATAL);
            for run in ended.into_iter().filter(|run| run.call.fingerprint != FATAL) {
                self.targets[index].run.answer(now, run.attempt);
                let RunningCall { fingerprint, known } = run.call;
                self.daemons[index].on_response(now, fingerprint, known);
                self.served += 1;
            }
            if crashed {
                self.crash(index);
            }
            self.broadcast(index);
        }
    }

    fn crash(&mut self, index: usize) {
        self.crashes.push(self.now);
        let target = &mut self.targets[index];
        target.away_until = self.now + AWAY;
        let end = target.run.end(self.now, target.run.number()).unwrap();
        let lost = std::mem::take(&mut target.running);
        self.daemons[index].on_run_end(self.now, &end);
        let fatal = (FATAL, self.daemons[index].report(self.now, FATAL));
        if let (call, Some(report)) = fatal {
            // The responses to the senders carry it.
            for daemon in 0..DAEMONS {
                if lost.iter().any(|run| run.daemon == daemon) {
                    self.daemons[daemon].merge(self.now, call, report);
                }
            }
        }
        for run in lost.into_iter().filter(|run| run.number < ATTEMPTS) {
            self.send(run.call.fingerprint, run.daemon, run.number + 1);
        }
    }

    /// All targets end at once for a reason of their own.
    fn lose_all_targets(&mut self) {
        for index in 0..TARGETS {
            let target = &mut self.targets[index];
            if let Some(end) = target.run.end(self.now, target.run.number()) {
                target.running.clear();
                self.daemons[index].on_run_end(self.now, &end);
            }
            self.broadcast(index);
        }
    }

    fn restart_daemon(&mut self, daemon: usize) {
        self.daemons[daemon] = Suspects::default();
        let peer = (daemon + 1) % DAEMONS;
        for (call, report) in self.daemons[peer].reports(self.now, 100) {
            self.daemons[daemon].merge(self.now, call, report);
        }
    }

    fn play(mut self) -> Self {
        while self.now < LENGTH {
            self.deliver();
            self.complete();
            if self.now.as_millis().is_multiple_of(GOSSIP_INTERVAL.as_millis()) {
                self.gossip();
            }
            if self.now == Duration::from_secs(20) {
                self.restart_daemon(3);
                self.restart_daemon(11);
            }
            if self.now == Duration::from_secs(40) {
                self.lose_all_targets();
            }
            let fatal_due = self.now.as_millis().is_multiple_of(FATAL_INTERVAL.as_millis());
            if fatal_due && self.now >= Duration::from_secs(1) {
                let daemon = self.rng.random_range(0..DAEMONS);
                self.send(FATAL, daemon, 1);
            }
            if self.rng.random_bool(INNOCENT_PER_SECOND * STEP.as_secs_f64()) {
                self.innocent += 1;
                self.calls += 1;
                let popular = self.rng.random_bool(POPULAR_SHARE);
                let call = if popular { POPULAR } else { Fingerprint(self.calls) };
                let daemon = self.rng.random_range(0..DAEMONS);
                self.send(call, daemon, 1);
            }
            self.now += STEP;
        }
        self
    }
}

/// Guards against BUDGET of issue 28: a call that had crashed three targets was handed over
/// again at each of its arrivals.
#[test]
fn a_fatal_call_runs_three_times_at_most_once_its_crashes_are_known() {
    for seed in 0..50 {
        let model = Model::new(seed).play();
        let third = model.crashes.get(2).copied().unwrap_or(LENGTH);
        let late = model.fatal_runs.iter().filter(|at| **at > third + SETTLE_TIME).count();
        assert!(late <= 3, "seed {seed}: {late} runs after the third crash was known");
        assert!(model.fatal_runs.len() <= 6, "seed {seed}: {} runs", model.fatal_runs.len());
    }
}

/// Guards against shutting out calls that ran beside the fatal one, also one that many
/// callers send and that was running at every target when all of them ended.
#[test]
fn innocent_calls_are_served_beside_a_fatal_one() {
    for seed in 0..50 {
        let model = Model::new(seed).play();
        assert_eq!(model.backed_off, 0, "seed {seed}: innocent calls were shut out");
        let lost = model.innocent - model.served;
        assert!(lost * 100 <= model.innocent, "seed {seed}: {lost} of {} lost", model.innocent);
        assert_eq!(model.daemons[0].suspicion(POPULAR).crashes, 0, "seed {seed}");
    }
}

/// The load without memory: the model itself shows the fault.
#[test]
fn without_memory_the_fatal_call_takes_target_after_target() {
    let mut model = Model::new(1);
    model.now = Duration::from_secs(1);
    let mut crashes = 0;
    while model.now < Duration::from_secs(20) {
        model.daemons = vec![Suspects::default(); DAEMONS];
        model.complete();
        if model.now.as_millis().is_multiple_of(FATAL_INTERVAL.as_millis()) {
            model.send(FATAL, 0, 1);
        }
        crashes = model.crashes.len();
        model.now += STEP;
    }
    assert!(crashes > 20, "{crashes} crashes");
    assert_eq!(model.daemons[0].suspicion(FATAL), Suspicion::default());
}
