//! Exhaustive check of quotas in a fleet of three daemons.
//!
//! All interleavings of a few steps are explored: messages are delivered in any order, lost
//! or repeated, a daemon crashes and restarts, the allocator changes while tables differ, and
//! one daemon is cut off. In every reachable state the calls that ran are counted over every
//! window.

use std::collections::HashSet;
use std::fmt::Write as _;
use std::hash::{DefaultHasher, Hasher};
use std::time::Duration;

use medlarpoint_model::{Name, Quota, Vm};
use medlarpoint_routing::quota::{Admission, Allocator, Grant, Purse, Reach, Request};

/// Time between two steps of the clock.
const STEP: Duration = Duration::from_millis(250);
/// Steps after which exploration ends.
const STEPS: u32 = 4;
/// Steps by which the tables of two daemons differ at the most.
const SKEW_STEPS: u32 = 2;
/// Calls that wait at each daemon.
const WAITING: usize = 9;
/// Messages that are repeated, or whose answer is delayed.
const FAULTS: u32 = 1;
/// Messages that are in flight at a time. One that is not delivered is lost when there are
/// more.
const MAX_IN_FLIGHT: usize = 2;
const QUOTA: Quota = Quota { calls_per_1000_s: 4_000, burst: 2 };
/// Tokens beyond rate and burst: the slack that an allocator uses, and what accumulates
/// between requests.
const EXTRA: f64 = 10.0 + 0.3 * 4.0;

#[derive(Clone, Debug)]
struct Daemon {
    boot: u64,
    purse: Purse,
    allocator: Allocator,
    holder: usize,
}

#[derive(Clone, Debug)]
enum Message {
    Request { from: usize, to: usize, request: Request },
    Grant { from: usize, to: usize, grant: Grant },
}

#[derive(Clone, Debug)]
struct State {
    step: u32,
    daemons: Vec<Daemon>,
    messages: Vec<Message>,
    /// Calls that ran, by step.
    runs: Vec<u32>,
    /// Repetitions and delays of messages, and disturbances, that are left.
    faults: u32,
    disturbances: u32,
    /// Step at which the allocator began to change.
    change: Option<u32>,
    /// Daemon that is cut off, and since which step.
    cut: Option<(usize, u32)>,
}

#[derive(Clone, Copy, Debug)]
enum Action {
    Deliver(usize),
    Repeat(usize),
    /// Delivers a request whose grant stays in flight.
    Delay(usize),
    Crash(usize),
    ChangeAllocator,
    SeeChange(usize),
    Cut(usize),
    Advance,
}

fn name() -> Name {
    "a".parse().unwrap()
}

fn vm(daemon: usize) -> Vm {
    format!("vm-{daemon}").parse().unwrap()
}

impl State {
    fn new() -> Self {
        let warm_up = Duration::from_secs(90);
        let daemon = |number: usize| {
            let mut allocator = Allocator::default();
            allocator.set_reach(warm_up, Reach { reachable: 3, known: 3 });
            if number == 0 {
                allocator.set_quotas(warm_up, [(&name(), QUOTA)].into_iter());
            }
            Daemon { boot: 1, purse: Purse::new(1), allocator, holder: 0 }
        };
        let mut state = Self {
            step: 0,
            daemons: (0..3).map(daemon).collect(),
            messages: Vec::new(),
            runs: vec![0],
            faults: FAULTS,
            disturbances: 1,
            change: None,
            cut: None,
        };
        state.ask();
        state
    }

    fn now(&self) -> Duration {
        Duration::from_secs(100) + STEP * self.step
    }

    fn is_reachable(&self, from: usize, to: usize) -> bool {
        self.cut.is_none_or(|(daemon, _)| from == to || (from != daemon && to != daemon))
    }

    fn actions(&self) -> Vec<Action> {
        let mut actions = Vec::new();
        for index in 0..self.messages.len() {
            actions.push(Action::Deliver(index));
            if self.faults > 0 {
                actions.extend([Action::Repeat(index), Action::Delay(index)]);
            }
        }
        if self.disturbances > 0 {
            actions.extend([Action::Crash(0), Action::ChangeAllocator]);
            actions.extend([Action::Cut(0), Action::Cut(2)]);
        }
        if self.change.is_some() {
            let late = (0..3).filter(|daemon| self.daemons[*daemon].holder == 0);
            actions.extend(late.map(Action::SeeChange));
        }
        if self.step < STEPS {
            actions.push(Action::Advance);
        }
        actions
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Deliver(index) => {
                let message = self.messages.remove(index);
                if let Some(grant) = self.deliver(message) {
                    self.deliver(grant);
                }
            }
            Action::Delay(index) => {
                self.faults -= 1;
                let message = self.messages.remove(index);
                let grant = self.deliver(message);
                self.messages.extend(grant);
            }
            Action::Repeat(index) => {
                self.faults -= 1;
                if let Some(grant) = self.deliver(self.messages[index].clone()) {
                    self.deliver(grant);
                }
            }
            Action::Crash(daemon) => {
                self.disturbances -= 1;
                self.restart(daemon);
            }
            Action::ChangeAllocator => {
                self.disturbances -= 1;
                self.change = Some(self.step);
                self.daemons[1].holder = 1;
                self.update_role(1);
            }
            Action::SeeChange(daemon) => {
                self.daemons[daemon].holder = 1;
                self.update_role(daemon);
            }
            Action::Cut(daemon) => {
                self.disturbances -= 1;
                self.cut = Some((daemon, self.step));
            }
            Action::Advance => self.advance(),
        }
    }

    /// Delivers a message and returns the grant that answers it.
    fn deliver(&mut self, message: Message) -> Option<Message> {
        let now = self.now();
        match message {
            Message::Request { from, to, request } => {
                if !self.is_reachable(from, to) {
                    return None;
                }
                let grant = self.daemons[to].allocator.lend(now, &vm(from), &request)?;
                Some(Message::Grant { from: to, to: from, grant })
            }
            Message::Grant { from, to, grant } => {
                if self.is_reachable(from, to) {
                    self.daemons[to].purse.receive(now, &grant);
                }
                None
            }
        }
    }

    fn send(&mut self, message: Message) {
        if self.messages.len() >= MAX_IN_FLIGHT {
            self.messages.remove(0);
        }
        self.messages.push(message);
    }

    /// Restarts a daemon that has forgotten everything. It is not an allocator any more: it
    /// is not known for long enough.
    fn restart(&mut self, daemon: usize) {
        let boot = self.daemons[daemon].boot + 1;
        let mut allocator = Allocator::default();
        allocator.set_reach(self.now(), Reach { reachable: 3, known: 3 });
        let holder = self.daemons[daemon].holder;
        self.daemons[daemon] = Daemon { boot, purse: Purse::new(boot), allocator, holder };
        // The worst case: the others still ask it, and it lends at once, as a new one.
        self.update_role(daemon);
    }

    fn update_role(&mut self, number: usize) {
        let now = self.now();
        let daemon = &mut self.daemons[number];
        let workspace = name();
        let own = (daemon.holder == number).then_some((&workspace, QUOTA));
        daemon.allocator.set_quotas(now, own.into_iter());
    }

    fn advance(&mut self) {
        self.step += 1;
        self.runs.push(0);
        if self.change.is_some_and(|since| self.step >= since + SKEW_STEPS) {
            for daemon in 0..3 {
                if self.daemons[daemon].holder == 0 {
                    self.daemons[daemon].holder = 1;
                    self.update_role(daemon);
                }
            }
        }
        if let Some((cut, since)) = self.cut {
            self.apply_cut(cut, self.step - since);
        }
        self.ask();
    }

    /// Members are suspected two steps after a cut, and declared dead after four.
    fn apply_cut(&mut self, cut: usize, steps: u32) {
        if steps == 2 {
            let now = self.now();
            for (number, daemon) in self.daemons.iter_mut().enumerate() {
                let reachable = if number == cut { 1 } else { 2 };
                daemon.allocator.set_reach(now, Reach { reachable, known: 3 });
            }
        } else if steps == 4 {
            for number in 0..3 {
                let holder = match number {
                    number if number == cut => cut,
                    _ if cut == 0 => 1,
                    _ => self.daemons[number].holder,
                };
                self.daemons[number].holder = holder;
                self.update_role(number);
            }
        }
    }

    /// Every daemon runs the calls for which it has tokens, and asks for more.
    fn ask(&mut self) {
        let now = self.now();
        for number in 0..3 {
            let daemon = &mut self.daemons[number];
            let mut waiting = 0;
            for _ in 0..WAITING {
                match daemon.purse.admit(now, &name(), QUOTA) {
                    Admission::Wait => waiting += 1,
                    Admission::Granted(_) => self.runs[self.step as usize] += 1,
                    Admission::Rejected(_) => {}
                }
            }
            let holder = daemon.holder;
            let holder_vm = vm(holder);
            let requests = daemon.purse.requests(now, 3, |_| Some(&holder_vm));
            let requests: Vec<Request> = requests.into_iter().map(|(_, r)| r).collect();
            for _ in 0..waiting {
                daemon.purse.give_up(now, &name());
            }
            for request in requests {
                if holder == number {
                    let daemon = &mut self.daemons[number];
                    if let Some(grant) = daemon.allocator.lend(now, &vm(number), &request) {
                        daemon.purse.receive(now, &grant);
                    }
                } else {
                    self.send(Message::Request { from: number, to: holder, request });
                }
            }
        }
    }

    /// Returns a window in which more calls ran than tokens can be used.
    fn violation(&self) -> Option<String> {
        for first in 0..self.runs.len() {
            let mut count = 0;
            for last in first..self.runs.len() {
                count += self.runs[last];
                let window_s = (last - first) as f64 * STEP.as_secs_f64();
                let bound = QUOTA.per_second() * (window_s + 0.5) + QUOTA.burst as f64 + EXTRA;
                if f64::from(count) > bound {
                    return Some(format!("{count} calls ran in {window_s} s: {:?}", self.runs));
                }
            }
        }
        None
    }

    fn hash(&self) -> u64 {
        struct Sink(DefaultHasher);
        impl std::fmt::Write for Sink {
            fn write_str(&mut self, text: &str) -> std::fmt::Result {
                self.0.write(text.as_bytes());
                Ok(())
            }
        }
        let mut sink = Sink(DefaultHasher::new());
        write!(sink, "{self:?}").unwrap();
        sink.0.finish()
    }
}

/// Guards against any short sequence of losses, repetitions, reorderings, a crash, a change
/// of the allocator or a cut after which more calls run than the quota allows.
#[test]
fn tokens_never_exceed_the_quota_in_any_interleaving() {
    let mut seen = HashSet::new();
    let mut pending = vec![(State::new(), Vec::new())];
    let mut most_runs = 0;
    while let Some((state, path)) = pending.pop() {
        if let Some(violation) = state.violation() {
            panic!("{violation} after {path:?}");
        }
        most_runs = most_runs.max(state.runs.iter().sum());
        for action in state.actions() {
            let mut next = state.clone();
            next.perform(action);
            if seen.insert(next.hash()) {
                let mut path: Vec<Action> = path.clone();
                path.push(action);
                pending.push((next, path));
            }
        }
    }
    println!("{} states, at most {most_runs} calls ran", seen.len());
    // The exploration is of no use if hardly any token is lent.
    assert!(most_runs >= 12);
}
