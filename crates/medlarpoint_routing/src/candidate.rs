//! What an outbound proxy knows of one target, and what a call there costs.

use std::time::Duration;

use indexmap::IndexMap;
use medlarpoint_model::Name;

use crate::picker::{CallInfo, Endpoint, Locality, NetworkCosts, ResponseInfo};
use crate::{AttemptId, Breaker, Generation, LARGE_BYTES, Latency, Load};

/// Time after which a load report has lost most of its weight.
const LOAD_DECAY: Duration = Duration::from_secs(1);
/// Time after which a report of the VM's pace has lost most of its weight.
const PACE_DECAY: Duration = Duration::from_millis(300);
/// Time after which an old service time has lost most of its weight.
const SERVICE_DECAY: Duration = Duration::from_secs(4);
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
/// Factor by which a straggler is taken to be slower.
const BEATEN_FACTOR: f64 = 2.0;
/// Share of the service time that a fully used target costs more than an idle
/// one, so that work spreads before queues form.
const LOAD_SLOPE: f64 = 0.15;
/// What a call costs that a target fails.
const FAILURE_COST: Duration = Duration::from_millis(600);
/// Weight of the newest outcome in the share of failures.
const FAILURE_SMOOTHING: f64 = 0.15;
/// Time after which past failures have lost most of their weight.
const FAILURE_DECAY: Duration = Duration::from_secs(3);
/// Kinds of calls remembered for a target.
const MAX_KINDS: usize = 64;

#[derive(Clone, Debug)]
struct Outstanding {
    since: Duration,
    kind: Name,
    generation: Generation,
}

/// What is known of one target.
#[derive(Clone, Debug)]
pub(crate) struct Candidate {
    pub(crate) endpoint: Endpoint,
    outstanding: IndexMap<AttemptId, Outstanding>,
    load: Load,
    load_at: Duration,
    /// Calls there that others sent, by the last report.
    others: f64,
    service: IndexMap<Name, Latency>,
    answered_at: Duration,
    connect_failures: u32,
    ejections: u32,
    ejected_until: Duration,
    /// Share of the calls that it failed lately.
    failing: f64,
    failed_at: Duration,
    /// Attempts in a row that were given up for a faster one.
    beaten: u32,
    /// Until when the target counts as a straggler for being beaten.
    beaten_until: Duration,
    breaker: Breaker,
}

impl Candidate {
    pub(crate) fn new(endpoint: Endpoint) -> Self {
        Self {
            endpoint,
            outstanding: IndexMap::new(),
            load: Load::default(),
            load_at: Duration::ZERO,
            others: 0.0,
            service: IndexMap::new(),
            answered_at: Duration::ZERO,
            connect_failures: 0,
            ejections: 0,
            ejected_until: Duration::ZERO,
            failing: 0.0,
            failed_at: Duration::ZERO,
            beaten: 0,
            beaten_until: Duration::ZERO,
            breaker: Breaker::default(),
        }
    }

    pub(crate) fn on_sent(&mut self, now: Duration, attempt: AttemptId, kind: &Name) {
        let generation = self.breaker.on_sent(now);
        let outstanding = Outstanding { since: now, kind: kind.clone(), generation };
        self.outstanding.insert(attempt, outstanding);
    }

    /// Notes an answer of the target.
    pub(crate) fn on_response(&mut self, now: Duration, attempt: AttemptId, report: &ResponseInfo) {
        self.learn_load(now, attempt, report.load);
        self.connect_failures = 0;
        self.ejections = 0;
        let Some(sent) = self.outstanding.shift_remove(&attempt) else {
            return;
        };
        let took = report.service_time.unwrap_or(now.saturating_sub(sent.since));
        let usual = self.service.get(&sent.kind).and_then(Latency::value);
        let slow = usual.is_some_and(|usual| took > usual * 4);
        self.breaker.on_outcome(now, sent.generation, !slow);
        self.learn_service(now, &sent.kind, took);
        self.learn_outcome(now, report.failed);
        self.answered_at = now;
        if !slow {
            self.beaten = 0;
            self.beaten_until = Duration::ZERO;
        }
    }

    /// Notes that an attempt was refused; `failed` if the target itself did.
    pub(crate) fn on_rejected(&mut self, now: Duration, attempt: AttemptId, report: &ResponseInfo) {
        self.learn_load(now, attempt, report.load);
        if report.failed {
            self.learn_outcome(now, true);
        }
        if let Some(sent) = self.outstanding.shift_remove(&attempt) {
            self.breaker.on_outcome(now, sent.generation, !report.failed);
        }
    }

    /// Notes that an attempt was given up while outstanding. Its age so far is
    /// only a lower bound of the latency, so the target counts as a straggler
    /// for a while, longer each time until it answers as usual.
    pub(crate) fn on_abandoned(&mut self, now: Duration, attempt: AttemptId) {
        let Some(sent) = self.outstanding.shift_remove(&attempt) else {
            return;
        };
        let age = now.saturating_sub(sent.since);
        self.breaker.on_outcome(now, sent.generation, false);
        let usual = self.service.get(&sent.kind).and_then(Latency::value);
        if usual.is_some_and(|usual| age > usual) {
            let time = BEATEN_TIME.saturating_mul(1 << self.beaten.min(8)).min(MAX_BEATEN_TIME);
            self.beaten += 1;
            self.beaten_until = now + time;
        }
    }

    /// Notes that the inbound proxy could not be reached.
    pub(crate) fn on_connect_failed(&mut self, now: Duration, attempt: AttemptId) {
        if let Some(sent) = self.outstanding.shift_remove(&attempt) {
            self.breaker.on_outcome(now, sent.generation, false);
        }
        self.connect_failures += 1;
        if self.connect_failures < EJECT_FAILURES {
            return;
        }
        let time = EJECT_TIME.saturating_mul(1 << self.ejections.min(8)).min(MAX_EJECT_TIME);
        self.ejections += 1;
        self.ejected_until = now + time;
    }

    pub(crate) fn ejected_until(&self, now: Duration) -> Option<Duration> {
        (self.ejected_until > now).then_some(self.ejected_until)
    }

    pub(crate) fn is_usable(&self, now: Duration, breaker: bool) -> bool {
        self.ejected_until(now).is_none() && (!breaker || self.breaker.allows(now))
    }

    pub(crate) fn outstanding(&self) -> usize {
        self.outstanding.len()
    }

    /// Returns the learnt service time of a kind.
    pub(crate) fn learnt(&self, kind: &Name) -> Option<Duration> {
        self.service.get(kind).and_then(Latency::value)
    }

    /// Expected time until an answer, with what the way and the chance of a
    /// failure are worth. `usual` is the service time of the service's targets.
    pub(crate) fn cost(
        &self,
        now: Duration,
        ask: &CallInfo<'_>,
        usual: Duration,
        bytes: f64,
        distances: &NetworkCosts,
    ) -> Duration {
        let service = self.service_time(now, ask.route, usual);
        let slots = self.slots();
        let occupancy = self.occupancy(now);
        let queueing = (occupancy + 1.0 - slots).max(0.0) / slots;
        let filled = (occupancy / slots).min(1.0);
        let waiting = service.mul_f64(queueing + filled * LOAD_SLOPE);
        let failure = FAILURE_COST.mul_f64(self.failing(now));
        let link = if bytes < LARGE_BYTES as f64 { Duration::ZERO } else { self.link_wait(now) };
        service + waiting + failure + link + self.way(bytes, distances)
    }

    /// Time that a large answer waits for the target's link, by its last
    /// report.
    fn link_wait(&self, now: Duration) -> Duration {
        let age = now.saturating_sub(self.load_at);
        Duration::from_millis(self.load.link_ms.into()).saturating_sub(age)
    }

    fn way(&self, bytes: f64, distances: &NetworkCosts) -> Duration {
        let kilobytes = bytes / 1_000.0;
        let (way, per_kilobyte) = match self.endpoint.locality {
            Locality::Near => return Duration::ZERO,
            Locality::Region => (distances.region_round_trip, distances.region_per_kilobyte),
            Locality::Remote => (distances.remote_round_trip, distances.remote_per_kilobyte),
        };
        way + per_kilobyte.mul_f64(kilobytes)
    }

    /// Time that the target itself may take. Many calls outstanding for long
    /// tell of trouble before they end.
    fn service_time(&self, now: Duration, kind: &Name, usual: Duration) -> Duration {
        let idle = now.saturating_sub(self.answered_at).as_secs_f64();
        let weight = (-idle / SERVICE_DECAY.as_secs_f64()).exp();
        let learnt = self
            .learnt(kind)
            .map_or(usual, |learnt| learnt.mul_f64(weight) + usual.mul_f64(1.0 - weight));
        let pace_age = now.saturating_sub(self.load_at).as_secs_f64();
        let pace_weight = (-pace_age / PACE_DECAY.as_secs_f64()).exp();
        let pace = match self.load.pace_percent {
            0 => 1.0,
            percent => f64::from(percent) / 100.0,
        };
        let paced = learnt.mul_f64(1.0 + (pace - 1.0).max(-0.5) * pace_weight);
        let beaten = if now < self.beaten_until { BEATEN_FACTOR } else { 1.0 };
        paced.mul_f64(beaten).max(self.overdue(now))
    }

    /// Twice the mean age of the calls outstanding, where there are several and
    /// the target has room: in a target that works as usual, calls are half
    /// way through on average.
    fn overdue(&self, now: Duration) -> Duration {
        let count = self.outstanding.len();
        if count < 3 || self.occupancy(now) >= self.slots() {
            return Duration::ZERO;
        }
        let ages = self.outstanding.values().map(|sent| now.saturating_sub(sent.since));
        ages.sum::<Duration>() * 2 / count as u32
    }

    /// Calls at the target: the own ones, and those of others by a report that
    /// loses weight.
    fn occupancy(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.load_at).as_secs_f64();
        let weight = (-age / LOAD_DECAY.as_secs_f64()).exp();
        self.others * weight + self.outstanding.len() as f64
    }

    fn slots(&self) -> f64 {
        let ramping = self.load.slots > 0 && self.load.slots < self.endpoint.slots;
        let slots = if ramping { self.load.slots } else { self.endpoint.slots };
        f64::from(slots.max(1))
    }

    fn failing(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.failed_at).as_secs_f64();
        self.failing * (-age / FAILURE_DECAY.as_secs_f64()).exp()
    }

    fn learn_load(&mut self, now: Duration, attempt: AttemptId, load: Option<Load>) {
        let Some(load) = load else {
            return;
        };
        let own = self.outstanding.keys().filter(|id| **id != attempt).count();
        self.others = (f64::from(load.running + load.queued) - own as f64).max(0.0);
        self.load = load;
        self.load_at = now;
    }

    fn learn_service(&mut self, now: Duration, kind: &Name, took: Duration) {
        if let Some(known) = self.service.get_mut(kind) {
            known.observe(now, took);
            return;
        }
        if self.service.len() >= MAX_KINDS {
            self.service.shift_remove_index(0);
        }
        let mut latency = Latency::default();
        latency.observe(now, took);
        self.service.insert(kind.clone(), latency);
    }

    fn learn_outcome(&mut self, now: Duration, failed: bool) {
        let before = self.failing(now);
        let sample = f64::from(u8::from(failed));
        self.failing = before + (sample - before) * FAILURE_SMOOTHING;
        self.failed_at = now;
    }
}
