//! A fleet of daemons that lend each other tokens, on a simulated clock and network, and an
//! oracle that knows only when calls ran.
//!
//! Daemons learn of deaths, cuts and returns with a delay that differs between them by up to
//! half a second, as membership does. Only the decisions of `medlarpoint_routing::quota` are
//! real.

use std::collections::BTreeMap;
use std::time::Duration;

use indexmap::IndexMap;
use medlarpoint_model::{Name, Quota, Vm};
use medlarpoint_routing::quota::{
    ASK_INTERVAL, Admission, Allocator, Grant, MAX_WAIT, Purse, Reach, Request, SETTLING_TIME,
    Token,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Step of the simulated clock, in milliseconds.
const STEP_MS: u64 = 1;
/// Interval at which a daemon checks its role, in milliseconds.
const CHECK_MS: u64 = 100;
/// Time after which a member that does not respond is suspected, in milliseconds.
const SUSPECT_MS: u64 = 1_500;
/// Time after which a member that does not respond is declared dead, in milliseconds.
const DEAD_MS: u64 = 4_000;
/// Time by which the tables of two members differ at the most, in milliseconds.
const TABLE_SKEW_MS: u64 = 500;
/// Number of members that keep an entry in the store.
const REGISTERED: usize = 3;
/// Window of the bound, in milliseconds.
const WINDOW_MS: u64 = 5_000;

/// State of a member in the table of another.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Seen {
    Unknown,
    Alive { since: u64 },
    Suspect { since: u64 },
    Dead,
    Left,
}

#[derive(Clone, Debug)]
enum Body {
    Request(Request),
    Grant(Grant),
}

#[derive(Clone, Debug)]
struct Message {
    from: usize,
    to: usize,
    body: Body,
}

#[derive(Debug)]
struct WaitingCall {
    workspace: usize,
    deadline: u64,
}

/// One daemon.
#[derive(Debug)]
struct Daemon {
    up: bool,
    boot: u64,
    purse: Purse,
    allocator: Allocator,
    table: Vec<Seen>,
    holder: Option<usize>,
    reach: Reach,
    waiting: Vec<WaitingCall>,
    /// Quotas in force.
    quotas: Vec<Quota>,
    asked_at: u64,
    /// Whether the daemon once knew all members with an entry in the store.
    trusted: bool,
}

/// Rates of loss and repetition of datagrams, and their longest delay.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Network {
    pub(crate) loss: f64,
    pub(crate) repeat: f64,
    pub(crate) max_delay_ms: u64,
}

/// A change of a table.
#[derive(Clone, Copy, Debug)]
struct Notice {
    observer: usize,
    subject: usize,
    seen: SeenChange,
    /// Life of the subject that the change is about.
    life: u64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum SeenChange {
    Alive,
    Suspect,
    Dead,
    Left,
}

/// What happened to the calls of one workspace.
#[derive(Clone, Debug, Default)]
pub(crate) struct Calls {
    /// Times at which calls ran, in milliseconds.
    pub(crate) runs: Vec<u64>,
    pub(crate) offered: u64,
    pub(crate) rejected: u64,
    /// Calls that one bucket for the entire fleet would admit.
    pub(crate) ideal: u64,
    ideal_level: f64,
    ideal_at: u64,
}

/// A rate of calls of a workspace at a daemon.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Source {
    pub(crate) daemon: usize,
    pub(crate) workspace: usize,
    pub(crate) per_s: f64,
}

pub(crate) struct Fleet {
    now: u64,
    daemons: Vec<Daemon>,
    names: Vec<Name>,
    vms: Vec<Vm>,
    /// Side of a partition on which each daemon is.
    sides: Vec<usize>,
    network: Network,
    in_flight: BTreeMap<(u64, u64), Message>,
    notices: BTreeMap<(u64, u64), Notice>,
    serial: u64,
    /// Increases with each death, cut or return that concerns a pair.
    lives: IndexMap<(usize, usize), u64>,
    sources: Vec<(Source, f64)>,
    pub(crate) calls: Vec<Calls>,
    /// Tokens of calls that are admitted and have not run, by time of their end.
    admitted: BTreeMap<(u64, u64), (usize, usize, Token)>,
    /// Fraction of the admitted calls that do not run and are refunded.
    pub(crate) refund_rate: f64,
    /// Highest quota of the last window, by workspace.
    quota_log: Vec<Vec<(u64, Quota)>>,
    rng: StdRng,
    pub(crate) datagrams: u64,
}

fn at(ms: u64) -> Duration {
    Duration::from_millis(1_000_000 + ms)
}

fn rank(daemon: usize) -> u64 {
    (daemon as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(17)
}

impl Fleet {
    /// Creates a fleet whose members have known each other for a while.
    pub(crate) fn new(size: usize, quotas: &[Quota], network: Network, seed: u64) -> Self {
        let daemon = |number: usize| Daemon {
            up: true,
            boot: 1,
            purse: Purse::new(1),
            allocator: Allocator::default(),
            table: vec![Seen::Alive { since: 0 }; size],
            holder: None,
            reach: Reach { reachable: size as u32, known: size as u32 },
            waiting: Vec::new(),
            quotas: quotas.to_vec(),
            asked_at: number as u64 % 200,
            trusted: true,
        };
        let quota_log = quotas.iter().map(|quota| vec![(0, *quota)]).collect();
        let mut fleet = Self {
            now: 0,
            daemons: (0..size).map(daemon).collect(),
            names: (0..quotas.len()).map(|n| format!("w-{n}").parse().unwrap()).collect(),
            vms: (0..size).map(|n| format!("vm-{n}").parse().unwrap()).collect(),
            sides: vec![0; size],
            network,
            in_flight: BTreeMap::new(),
            notices: BTreeMap::new(),
            serial: 0,
            lives: IndexMap::new(),
            sources: Vec::new(),
            calls: vec![Calls::default(); quotas.len()],
            admitted: BTreeMap::new(),
            refund_rate: 0.0,
            quota_log,
            rng: StdRng::seed_from_u64(seed),
            datagrams: 0,
        };
        for (calls, quota) in fleet.calls.iter_mut().zip(quotas) {
            calls.ideal_level = quota.burst as f64;
        }
        fleet
    }

    pub(crate) fn set_sources(&mut self, sources: &[Source]) {
        self.sources = sources.iter().map(|source| (*source, self.now as f64)).collect();
        for index in 0..self.sources.len() {
            self.schedule_call(index);
        }
    }

    pub(crate) fn run_for(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.step();
        }
    }

    pub(crate) fn is_up(&self, daemon: usize) -> bool {
        self.daemons[daemon].up
    }

    /// Returns the daemon that daemon 0 of a side asks, if any.
    pub(crate) fn holder_of(&self, daemon: usize) -> Option<usize> {
        self.daemons[daemon].holder
    }

    /// Ends a daemon without notice.
    pub(crate) fn kill(&mut self, daemon: usize) {
        self.daemons[daemon].up = false;
        for call in std::mem::take(&mut self.daemons[daemon].waiting) {
            self.calls[call.workspace].rejected += 1;
        }
        for observer in 0..self.daemons.len() {
            if self.sides[observer] == self.sides[daemon] {
                self.lose(observer, daemon);
            }
        }
    }

    /// Shuts a daemon down gracefully.
    pub(crate) fn leave(&mut self, daemon: usize) {
        self.kill(daemon);
        for observer in 0..self.daemons.len() {
            self.notice(observer, daemon, SeenChange::Left, 0);
        }
    }

    /// Starts a daemon that has forgotten everything. It learns the live members of its side.
    pub(crate) fn start(&mut self, daemon: usize) {
        let size = self.daemons.len();
        let boot = self.daemons[daemon].boot + 1;
        let quotas = (0..self.names.len()).map(|n| self.quota_log[n].last().unwrap().1).collect();
        let mut table = vec![Seen::Unknown; size];
        table[daemon] = Seen::Alive { since: self.now };
        self.daemons[daemon] = Daemon {
            up: true,
            boot,
            purse: Purse::new(boot),
            allocator: Allocator::default(),
            table,
            holder: None,
            reach: Reach { reachable: 1, known: 1 },
            waiting: Vec::new(),
            quotas,
            asked_at: self.now,
            trusted: false,
        };
        for other in (0..size).filter(|other| *other != daemon) {
            if self.daemons[other].up && self.sides[other] == self.sides[daemon] {
                self.notice(daemon, other, SeenChange::Alive, 100);
                self.notice(other, daemon, SeenChange::Alive, 0);
            }
        }
    }

    /// Divides the network, or joins it again.
    pub(crate) fn set_sides(&mut self, sides: Vec<usize>) {
        let before = std::mem::replace(&mut self.sides, sides);
        for observer in 0..self.daemons.len() {
            for subject in (0..self.daemons.len()).filter(|subject| *subject != observer) {
                let was_reachable = before[observer] == before[subject];
                let is_reachable = self.sides[observer] == self.sides[subject];
                if was_reachable && !is_reachable {
                    self.lose(observer, subject);
                } else if !was_reachable && is_reachable && self.daemons[subject].up {
                    // Probes of dead members find each other within a few seconds.
                    self.notice(observer, subject, SeenChange::Alive, 1_000);
                }
            }
        }
    }

    /// Puts a quota into force on every daemon, within a second.
    pub(crate) fn set_quota(&mut self, workspace: usize, quota: Quota) {
        self.quota_log[workspace].push((self.now, quota));
        for daemon in &mut self.daemons {
            daemon.quotas[workspace] = quota;
        }
    }

    /// Checks the bound of every workspace over every window.
    pub(crate) fn check(&self) -> Result<(), String> {
        for (workspace, calls) in self.calls.iter().enumerate() {
            let mut first = 0;
            for (index, end) in calls.runs.iter().enumerate() {
                while calls.runs[first] + WINDOW_MS <= *end {
                    first += 1;
                }
                let count = (index - first + 1) as f64;
                let bound = self.bound(workspace, *end);
                if count > bound {
                    return Err(format!(
                        "workspace {workspace}: {count} calls ran in the 5 s until {end} ms, \
                         the bound is {bound}"
                    ));
                }
            }
        }
        Ok(())
    }

    /// Returns the bound of the window that ends at a time: that of the highest quota in it.
    fn bound(&self, workspace: usize, end: u64) -> f64 {
        let log = &self.quota_log[workspace];
        let start = end.saturating_sub(WINDOW_MS);
        let in_force = |index: usize| {
            let until = log.get(index + 1).map_or(u64::MAX, |(since, _)| *since);
            log[index].0 <= end && until > start
        };
        let bounds = (0..log.len()).filter(|index| in_force(*index)).map(|index| {
            let quota = log[index].1;
            (quota.per_second() * 5.0 + quota.burst as f64) * 1.1 + 20.0
        });
        bounds.fold(0.0, f64::max)
    }

    fn step(&mut self) {
        self.now += STEP_MS;
        self.apply_notices();
        self.deliver();
        for daemon in 0..self.daemons.len() {
            if self.daemons[daemon].up {
                self.maintain(daemon);
            }
        }
        self.finish_calls();
        self.offer_calls();
    }

    fn lose(&mut self, observer: usize, subject: usize) {
        self.notice(observer, subject, SeenChange::Suspect, SUSPECT_MS);
        let life = self.lives[&(observer, subject)];
        let delay = DEAD_MS + self.rng.random_range(0..TABLE_SKEW_MS);
        self.add_notice(Notice { observer, subject, seen: SeenChange::Dead, life }, delay);
    }

    /// Schedules a change of a table, which supersedes those that are pending.
    fn notice(&mut self, observer: usize, subject: usize, seen: SeenChange, delay: u64) {
        let life = self.lives.entry((observer, subject)).or_default();
        *life += 1;
        let life = *life;
        let delay = delay + self.rng.random_range(0..TABLE_SKEW_MS);
        self.add_notice(Notice { observer, subject, seen, life }, delay);
    }

    fn add_notice(&mut self, notice: Notice, delay: u64) {
        self.serial += 1;
        self.notices.insert((self.now + delay, self.serial), notice);
    }

    fn apply_notices(&mut self) {
        while let Some(entry) = self.notices.first_entry()
            && entry.key().0 <= self.now
        {
            let Notice { observer, subject, seen, life } = entry.remove();
            let current = self.lives[&(observer, subject)];
            let daemon = &mut self.daemons[observer];
            if life != current || !daemon.up {
                continue;
            }
            let known = daemon.table[subject];
            daemon.table[subject] = match (seen, known) {
                (SeenChange::Alive, Seen::Alive { since } | Seen::Suspect { since }) => {
                    Seen::Alive { since }
                }
                (SeenChange::Alive, _) => Seen::Alive { since: self.now },
                (SeenChange::Suspect, Seen::Alive { since }) => Seen::Suspect { since },
                (SeenChange::Suspect, known) => known,
                // A member that is not known live is not entered as dead.
                (SeenChange::Dead | SeenChange::Left, Seen::Unknown) => Seen::Unknown,
                (SeenChange::Dead, _) => Seen::Dead,
                (SeenChange::Left, _) => Seen::Left,
            };
        }
    }

    fn maintain(&mut self, number: usize) {
        if (self.now + number as u64 * 7).is_multiple_of(CHECK_MS) {
            self.check_role(number);
        }
        let (now, time) = (self.now, at(self.now));
        let expired: Vec<WaitingCall> = {
            let waiting = &mut self.daemons[number].waiting;
            waiting.extract_if(.., |call| now >= call.deadline).collect()
        };
        for call in expired {
            self.daemons[number].purse.give_up(time, &self.names[call.workspace]);
            self.calls[call.workspace].rejected += 1;
        }
        let daemon = &self.daemons[number];
        let is_due = now >= daemon.asked_at + ASK_INTERVAL.as_millis() as u64;
        if is_due || daemon.purse.may_ask_for_waiting(time) {
            self.ask(number);
        }
    }

    fn check_role(&mut self, number: usize) {
        let settling = SETTLING_TIME.as_millis() as u64;
        let mut registered: Vec<usize> =
            (0..self.daemons.len()).filter(|other| self.daemons[*other].up).collect();
        registered.sort_by_key(|other| rank(*other));
        registered.truncate(REGISTERED);
        let daemon = &mut self.daemons[number];
        let is_known = |other: &usize| daemon.table[*other] != Seen::Unknown;
        daemon.trusted = daemon.trusted || registered.iter().all(is_known);
        let live: Vec<(usize, u64)> = daemon
            .table
            .iter()
            .enumerate()
            .filter_map(|(other, seen)| match seen {
                Seen::Alive { since } | Seen::Suspect { since } => Some((other, *since)),
                _ => None,
            })
            .collect();
        let is_settled = |since: u64| self.now - since >= settling || since == 0;
        let mut candidates: Vec<usize> =
            live.iter().filter(|(_, since)| is_settled(*since)).map(|(other, _)| *other).collect();
        if candidates.len() * 2 < live.len() {
            candidates = live.iter().map(|(o, _)| *o).filter(|o| *o != number).collect();
        }
        daemon.holder = candidates.into_iter().min_by_key(|other| rank(*other));
        let count = |wanted: fn(&Seen) -> bool| {
            daemon.table.iter().filter(|seen| wanted(seen)).count() as u32
        };
        let reachable = count(|seen| matches!(seen, Seen::Alive { .. }));
        let known = count(|seen| !matches!(seen, Seen::Unknown | Seen::Left));
        daemon.reach = Reach { reachable, known };
        let time = at(self.now);
        daemon.allocator.set_reach(time, daemon.reach);
        let is_holder = daemon.trusted && daemon.holder == Some(number);
        let own = self.names.iter().zip(daemon.quotas.iter().copied());
        daemon.allocator.set_quotas(time, own.filter(|_| is_holder));
    }

    fn ask(&mut self, number: usize) {
        let time = at(self.now);
        let daemon = &mut self.daemons[number];
        daemon.asked_at = self.now;
        let vm = daemon.holder.map(|holder| &self.vms[holder]);
        let requests = daemon.purse.requests(time, daemon.reach.known, |_| vm);
        let requests: Vec<Request> = requests.into_iter().map(|(_, request)| request).collect();
        let Some(holder) = daemon.holder else {
            return;
        };
        for request in requests {
            if holder == number {
                let daemon = &mut self.daemons[number];
                if let Some(grant) = daemon.allocator.lend(time, &self.vms[number], &request) {
                    self.receive(number, &grant);
                }
            } else {
                self.send(&Message { from: number, to: holder, body: Body::Request(request) });
            }
        }
    }

    fn send(&mut self, message: &Message) {
        self.datagrams += 1;
        if self.sides[message.from] != self.sides[message.to] {
            return;
        }
        let copies = 1 + u32::from(self.rng.random_bool(self.network.repeat));
        for _ in 0..copies {
            if self.rng.random_bool(self.network.loss) {
                continue;
            }
            let delay = self.rng.random_range(0..=self.network.max_delay_ms);
            self.serial += 1;
            self.in_flight.insert((self.now + delay, self.serial), message.clone());
        }
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.in_flight.first_entry()
            && entry.key().0 <= self.now
        {
            let Message { from, to, body } = entry.remove();
            if !self.daemons[to].up || self.sides[from] != self.sides[to] {
                continue;
            }
            match body {
                Body::Request(request) => {
                    let allocator = &mut self.daemons[to].allocator;
                    if let Some(grant) = allocator.lend(at(self.now), &self.vms[from], &request) {
                        self.send(&Message { from: to, to: from, body: Body::Grant(grant) });
                    }
                }
                Body::Grant(grant) => self.receive(to, &grant),
            }
        }
    }

    fn receive(&mut self, number: usize, grant: &Grant) {
        let time = at(self.now);
        self.daemons[number].purse.receive(time, grant);
        for call in std::mem::take(&mut self.daemons[number].waiting) {
            let name = &self.names[call.workspace];
            match self.daemons[number].purse.resume(time, name) {
                Admission::Granted(token) => self.begin(number, call.workspace, token),
                Admission::Rejected(_) => self.calls[call.workspace].rejected += 1,
                Admission::Wait => self.daemons[number].waiting.push(call),
            }
        }
    }

    /// Begins an admitted call: it runs, or does not run and is refunded a moment later.
    fn begin(&mut self, daemon: usize, workspace: usize, token: Token) {
        if self.refund_rate > 0.0 && self.rng.random_bool(self.refund_rate) {
            let end = self.now + self.rng.random_range(0..700);
            self.serial += 1;
            self.admitted.insert((end, self.serial), (daemon, workspace, token));
        } else {
            self.calls[workspace].runs.push(self.now);
        }
    }

    fn finish_calls(&mut self) {
        while let Some(entry) = self.admitted.first_entry()
            && entry.key().0 <= self.now
        {
            let (daemon, workspace, token) = entry.remove();
            self.daemons[daemon].purse.refund(at(self.now), &self.names[workspace], token);
        }
    }

    fn schedule_call(&mut self, index: usize) {
        let uniform: f64 = self.rng.random();
        let (source, next) = &mut self.sources[index];
        *next += -(1.0 - uniform).ln() / source.per_s * 1_000.0;
    }

    fn offer_calls(&mut self) {
        for index in 0..self.sources.len() {
            while self.sources[index].1 <= self.now as f64 {
                let source = self.sources[index].0;
                self.offer(source.daemon, source.workspace);
                self.schedule_call(index);
            }
        }
    }

    /// A caller sends one call to a daemon.
    pub(crate) fn offer(&mut self, number: usize, workspace: usize) {
        let (now, time) = (self.now, at(self.now));
        let quota = self.quota_log[workspace].last().unwrap().1;
        let calls = &mut self.calls[workspace];
        calls.offer_to_ideal(now, quota);
        calls.offered += 1;
        let daemon = &mut self.daemons[number];
        if !daemon.up {
            calls.rejected += 1;
            return;
        }
        match daemon.purse.admit(time, &self.names[workspace], daemon.quotas[workspace]) {
            Admission::Granted(token) => self.begin(number, workspace, token),
            Admission::Rejected(_) => calls.rejected += 1,
            Admission::Wait => {
                let deadline = now + MAX_WAIT.as_millis() as u64;
                daemon.waiting.push(WaitingCall { workspace, deadline });
            }
        }
    }
}

impl Calls {
    fn offer_to_ideal(&mut self, now: u64, quota: Quota) {
        let elapsed_s = (now - self.ideal_at) as f64 / 1_000.0;
        let capacity = (quota.burst as f64).max(1.0);
        self.ideal_level = (self.ideal_level + elapsed_s * quota.per_second()).min(capacity);
        self.ideal_at = now;
        if self.ideal_level >= 1.0 {
            self.ideal_level -= 1.0;
            self.ideal += 1;
        }
    }
}
