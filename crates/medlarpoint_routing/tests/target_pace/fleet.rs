//! A few targets, each behind its intake, and the pickers of two callers' daemons, played in
//! steps of a millisecond. Only the targets are stand-ins; all decisions are those of the
//! daemon.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use medlarpoint_model::{Class, Idempotency, Name, Policy, Vm};
use medlarpoint_routing::{
    AttemptId, AttemptInfo, CallInfo, Completion, Destination, Endpoint, Intake, IntakeAction,
    Locality, NetworkCosts, Picker, Reply, ResponseInfo, Strategy,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::target::Target;

/// Calls that a target runs at a time.
pub(crate) const SLOTS: u32 = 9;
/// Mean service time of a warm target.
pub(crate) const SERVICE_TIME: Duration = Duration::from_millis(94);
/// Time within which a response is of full use.
pub(crate) const TARGET_LATENCY: Duration = Duration::from_millis(250);
/// Length of the fixed ramp that the pace replaces.
const RAMP: Duration = Duration::from_secs(2);
const STEP: Duration = Duration::from_millis(1);
const CALL_DEADLINE: Duration = Duration::from_secs(2);
const MAX_ATTEMPTS: usize = 3;
const CALLERS: usize = 2;

/// How the slots of a new target become usable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Opening {
    AllSlots,
    FixedRamp,
    Pace,
}

/// A call on its way.
struct Call {
    caller: usize,
    arrived: Duration,
    tried: Vec<Vm>,
    suspect: bool,
}

/// A call that has ended.
pub(crate) struct Ended {
    pub(crate) arrived: Duration,
    /// Time until the response; `None` if all attempts were rejected.
    pub(crate) took: Option<Duration>,
}

/// The targets, and the daemons of the callers.
pub(crate) struct Fleet {
    pub(crate) now: Duration,
    pub(crate) targets: Vec<Target>,
    pub(crate) ended: Vec<Ended>,
    pub(crate) per_second: f64,
    /// Share of the calls that are suspects.
    pub(crate) suspect_share: f64,
    opening: Opening,
    pickers: Vec<Picker>,
    calls: HashMap<AttemptId, Call>,
    attempts: u128,
    rng: StdRng,
}

pub(crate) fn route() -> Name {
    "lookup".parse().expect("a name")
}

fn vm(index: usize) -> Vm {
    Vm(format!("vm-{index}").parse().expect("a name"))
}

impl Fleet {
    pub(crate) fn new(targets: usize, opening: Opening, per_second: f64, seed: u64) -> Self {
        let picker = |number| {
            Picker::new(Strategy::default(), NetworkCosts::default(), seed * 10 + number as u64)
        };
        Self {
            now: Duration::from_secs(100),
            targets: (0..targets).map(|_| Target::new()).collect(),
            ended: Vec::new(),
            per_second,
            suspect_share: 0.0,
            opening,
            pickers: (0..CALLERS).map(picker).collect(),
            calls: HashMap::new(),
            attempts: 0,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Starts the process of a target beside a daemon that has started too. `warm` is what
    /// its report says.
    pub(crate) fn start(&mut self, index: usize, warm: bool) {
        let now = self.now;
        let target = &mut self.targets[index];
        target.boot += 1;
        target.started_at = now;
        target.running.clear();
        let mut intake = Intake::new(vm(index), target.boot, Policy::default());
        intake.scheduler_mut().set_target_pace(now, self.opening == Opening::Pace);
        intake.scheduler_mut().on_target_replaced();
        intake.scheduler_mut().on_target_started(now, warm);
        intake.scheduler_mut().set_slots(SLOTS, now);
        target.intake = Some(intake);
        let endpoint = |(index, target): (usize, &Target)| {
            target.intake.as_ref()?;
            let address = ([127, 0, 0, 1], index as u16 + 1).into();
            let destination = Destination { vm: vm(index), boot: target.boot, address };
            Some(Endpoint { destination, locality: Locality::Near, slots: SLOTS })
        };
        let endpoints: Vec<Endpoint> =
            self.targets.iter().enumerate().filter_map(endpoint).collect();
        self.pickers.iter_mut().for_each(|picker| picker.update(endpoints.clone()));
    }

    /// Plays the load for some time.
    pub(crate) fn run(&mut self, length: Duration) {
        let end = self.now + length;
        while self.now < end {
            for index in 0..self.targets.len() {
                self.step_target(index);
            }
            if self.rng.random_bool(self.per_second * STEP.as_secs_f64()) {
                self.attempts += 1;
                let attempt = AttemptId(self.attempts);
                let caller = (self.attempts % CALLERS as u128) as usize;
                let suspect = self.rng.random_bool(self.suspect_share);
                let call = Call { caller, arrived: self.now, tried: Vec::new(), suspect };
                self.send(attempt, call);
            }
            self.now += STEP;
        }
    }

    /// Returns the share of the calls within their target latency among those that arrived
    /// in a period.
    pub(crate) fn share_in_time(&self, from: Duration, to: Duration) -> f64 {
        let of_period = self.ended.iter().filter(|call| (from..to).contains(&call.arrived));
        let (mut all, mut in_time) = (0, 0);
        for call in of_period {
            all += 1;
            in_time += u32::from(call.took.is_some_and(|took| took <= TARGET_LATENCY));
        }
        f64::from(in_time) / f64::from(all.max(1))
    }

    /// Returns the number of slots of a target that are usable now.
    pub(crate) fn usable(&self, index: usize) -> u32 {
        self.targets[index].intake.as_ref().map_or(0, |intake| intake.load(self.now).slots)
    }

    fn step_target(&mut self, index: usize) {
        let now = self.now;
        let target = &mut self.targets[index];
        let Some(intake) = &mut target.intake else {
            return;
        };
        if self.opening == Opening::FixedRamp {
            let share = now.saturating_sub(target.started_at).as_secs_f64() / RAMP.as_secs_f64();
            let slots = (f64::from(SLOTS) * share.min(1.0)) as u32;
            intake.scheduler_mut().set_slots(slots.max(1), now);
        }
        let actions = intake.sweep(now);
        self.apply(index, actions);
        for done in self.targets[index].progress(now, STEP) {
            self.complete(index, done.attempt, done.since);
        }
        self.record_late(index);
    }

    /// Records the calls that are beyond their target latency while they wait at a target's
    /// daemon, and while the target runs them.
    fn record_late(&mut self, index: usize) {
        let vm = vm(index);
        let is_late = |call: &&Call| {
            call.tried.last() == Some(&vm) && self.now.saturating_sub(call.arrived) > TARGET_LATENCY
        };
        let late = self.calls.values().filter(is_late).count();
        let target = &mut self.targets[index];
        let running = target.count_late(self.now, TARGET_LATENCY);
        target.max_late_running = target.max_late_running.max(running);
        target.max_late_queued = target.max_late_queued.max(late - running.min(late));
    }

    /// Returns the changes of a target's pace since the last call of this function.
    pub(crate) fn take_cuts(&mut self, index: usize) -> u32 {
        let intake = self.targets[index].intake.as_mut();
        intake.map_or(0, |intake| intake.scheduler_mut().take_pace_changes().cuts)
    }

    /// Plays the load until all slots of a target are usable, for at most `limit`. Returns
    /// the time that took.
    pub(crate) fn run_until_open(&mut self, index: usize, limit: Duration) -> Duration {
        let start = self.now;
        while self.usable(index) < SLOTS && self.now < start + limit {
            self.run(STEP);
        }
        self.now.saturating_sub(start)
    }

    /// Plays on without new calls until all have ended.
    pub(crate) fn finish(&mut self) {
        let per_second = std::mem::replace(&mut self.per_second, 0.0);
        self.run(CALL_DEADLINE);
        self.per_second = per_second;
    }

    fn complete(&mut self, index: usize, attempt: AttemptId, since: Duration) {
        let now = self.now;
        let target = &mut self.targets[index];
        let per_second = target.per_second;
        let Some(intake) = &mut target.intake else {
            return;
        };
        intake.scheduler_mut().on_target_response(now, per_second);
        let actions = intake.completed(now, attempt, Completion::Responded(None));
        let load = Some(intake.load(now));
        if let Some(call) = self.calls.remove(&attempt) {
            let service_time = Some(now.saturating_sub(since));
            let response = ResponseInfo { load, service_time, ..ResponseInfo::default() };
            let picker = &mut self.pickers[call.caller];
            picker.on_response(now, &vm(index), attempt, &route(), &response);
            let took = Some(now.saturating_sub(call.arrived));
            self.ended.push(Ended { arrived: call.arrived, took });
        }
        self.apply(index, actions);
    }

    fn apply(&mut self, index: usize, actions: Vec<IntakeAction<()>>) {
        let mut actions = VecDeque::from(actions);
        while let Some(action) = actions.pop_front() {
            match action {
                IntakeAction::HandOver { attempt } => {
                    let arrived = self.calls.get(&attempt).map_or(self.now, |call| call.arrived);
                    let work = SERVICE_TIME.mul_f64(self.rng.random_range(0.7..1.3));
                    self.targets[index].begin(self.now, attempt, arrived, work);
                    if self.targets[index].rejects(self.now) {
                        self.targets[index].running.pop();
                        let now = self.now;
                        let Some(intake) = &mut self.targets[index].intake else {
                            continue;
                        };
                        actions.extend(intake.completed(now, attempt, Completion::Rejected));
                    }
                }
                IntakeAction::Reply { attempt, reply: Reply::NotRun { .. } } => {
                    self.retry(index, attempt);
                }
                other => unreachable!("{other:?}"),
            }
        }
    }

    fn retry(&mut self, index: usize, attempt: AttemptId) {
        let Some(call) = self.calls.remove(&attempt) else {
            return;
        };
        let load = self.targets[index].intake.as_ref().map(|intake| intake.load(self.now));
        let response = ResponseInfo { load, ..ResponseInfo::default() };
        self.pickers[call.caller].on_rejected(self.now, &vm(index), attempt, &response);
        self.attempts += 1;
        self.send(AttemptId(self.attempts), call);
    }

    fn send(&mut self, attempt: AttemptId, mut call: Call) {
        let now = self.now;
        let route = route();
        let picker = &mut self.pickers[call.caller];
        let info = CallInfo { route: &route, body_bytes: 0 };
        let is_last = call.tried.len() + 1 >= MAX_ATTEMPTS;
        let picked = picker.pick(now, &info, &call.tried, &[]);
        let Some(destination) = picked.filter(|_| call.tried.len() < MAX_ATTEMPTS) else {
            self.ended.push(Ended { arrived: call.arrived, took: None });
            return;
        };
        picker.on_sent(now, &destination.vm, attempt, &route);
        let expected = picker.expected_time(now, &route, &destination.vm);
        let info = AttemptInfo {
            in_workspace: false,
            attempt,
            boot: destination.boot,
            class: Class::Short,
            tenant: "t".parse().expect("a name"),
            weight: 1,
            body_bytes: 0,
            rank: 1,
            expected: expected.filter(|_| self.opening == Opening::Pace),
            route,
            useful_until: Some(call.arrived + TARGET_LATENCY),
            may_spill: !is_last,
            suspect: call.suspect,
            deadline: call.arrived + CALL_DEADLINE,
            key: None,
            idempotency: Idempotency::Proxy,
        };
        let index = usize::from(destination.address.port()) - 1;
        call.tried.push(destination.vm);
        self.calls.insert(attempt, call);
        let Some(intake) = &mut self.targets[index].intake else {
            return;
        };
        let actions = intake.arrive(now, info);
        self.apply(index, actions);
    }
}
