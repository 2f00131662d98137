//! State that an outbound proxy keeps per target, and the cost of a call there.

use std::time::Duration;

use indexmap::IndexMap;
use medlarpoint_model::Name;

use crate::picker::{CallInfo, Endpoint, Locality, NetworkCosts, ResponseInfo};
use crate::rollout::Group;
use crate::{AttemptId, Breaker, Generation, LARGE_MESSAGE_BYTES, Latency, Load};

/// Time after which a load report has lost most of its weight.
const LOAD_DECAY: Duration = Duration::from_secs(1);
/// Time after which a report of the VM's slowdown has lost most of its weight.
const SLOWDOWN_DECAY: Duration = Duration::from_millis(300);
/// Time after which an old service time has lost most of its weight.
const SERVICE_DECAY: Duration = Duration::from_secs(4);
/// Time after its first response from which a target's service times are those of a warm
/// one: most cold starts are over by then.
const WARM_TIME: Duration = Duration::from_secs(3);
/// Consecutive connection failures after which a target is ejected.
const EJECT_FAILURES: u32 = 2;
/// Duration of the first ejection; it doubles with each further one.
const EJECT_TIME: Duration = Duration::from_millis(500);
/// Upper bound on the duration of an ejection.
const MAX_EJECT_TIME: Duration = Duration::from_secs(10);
/// Time for which a target that reported no usable slot is not selected, unless
/// membership learns more first.
const CLOSED_TIME: Duration = Duration::from_secs(1);
/// Time for which a target counts as a straggler after a first slow attempt was
/// abandoned; it doubles with each further one.
const STRAGGLER_TIME: Duration = Duration::from_millis(100);
/// Upper bound on the time for which a target counts as a straggler.
const MAX_STRAGGLER_TIME: Duration = Duration::from_secs(1);
/// Factor applied to the expected service time of a straggler.
const STRAGGLER_FACTOR: f64 = 2.0;
/// Extra cost of a fully used target over an idle one, as a fraction of the
/// service time, so that load spreads before queues form.
const LOAD_SLOPE: f64 = 0.15;
/// Cost of a call that the target fails.
const FAILURE_COST: Duration = Duration::from_millis(600);
/// Weight of the newest outcome in the failure rate.
const FAILURE_SMOOTHING: f64 = 0.15;
/// Time after which past failures have lost most of their weight.
const FAILURE_DECAY: Duration = Duration::from_secs(3);
/// Limit on routes whose service times are kept per target.
const MAX_ROUTES: usize = 64;

#[derive(Clone, Debug)]
struct Outstanding {
    sent_at: Duration,
    route: Name,
    generation: Generation,
}

/// State of one target as seen by this outbound proxy.
#[derive(Clone, Debug)]
pub(crate) struct Candidate {
    pub(crate) endpoint: Endpoint,
    /// Group with respect to the order of the service.
    pub(crate) group: Group,
    outstanding: IndexMap<AttemptId, Outstanding>,
    /// Last load report.
    load: Load,
    load_at: Duration,
    /// Calls of other proxies at the target, by its last load report.
    other_calls: f64,
    service_times: IndexMap<Name, Latency>,
    first_response_at: Option<Duration>,
    last_response_at: Duration,
    connect_failures: u32,
    ejections: u32,
    ejected_until: Duration,
    /// Moving average of the fraction of calls that the target failed.
    recorded_failure_rate: f64,
    failure_rate_at: Duration,
    /// Consecutive attempts that were abandoned after the usual service time.
    abandoned_in_row: u32,
    /// Time until which the target counts as a straggler.
    straggler_until: Duration,
    breaker: Breaker,
}

impl Candidate {
    pub(crate) fn new(endpoint: Endpoint) -> Self {
        Self {
            endpoint,
            group: Group::default(),
            outstanding: IndexMap::new(),
            load: Load::default(),
            load_at: Duration::ZERO,
            other_calls: 0.0,
            service_times: IndexMap::new(),
            first_response_at: None,
            last_response_at: Duration::ZERO,
            connect_failures: 0,
            ejections: 0,
            ejected_until: Duration::ZERO,
            recorded_failure_rate: 0.0,
            failure_rate_at: Duration::ZERO,
            abandoned_in_row: 0,
            straggler_until: Duration::ZERO,
            breaker: Breaker::default(),
        }
    }

    pub(crate) fn on_sent(&mut self, now: Duration, attempt: AttemptId, route: &Name) {
        let generation = self.breaker.on_sent(now);
        let outstanding = Outstanding { sent_at: now, route: route.clone(), generation };
        self.outstanding.insert(attempt, outstanding);
    }

    /// Records a response of the target.
    pub(crate) fn on_response(
        &mut self,
        now: Duration,
        attempt: AttemptId,
        response: &ResponseInfo,
    ) {
        self.update_load(now, attempt, response.load);
        self.connect_failures = 0;
        self.ejections = 0;
        let Some(sent) = self.outstanding.shift_remove(&attempt) else {
            return;
        };
        let service_time = response.service_time.unwrap_or(now.saturating_sub(sent.sent_at));
        let usual = self.service_times.get(&sent.route).and_then(Latency::value);
        let slow = usual.is_some_and(|usual| service_time > usual * 4);
        self.breaker.on_outcome(now, sent.generation, !slow);
        self.update_service_time(now, &sent.route, service_time);
        self.update_failure_rate(now, response.failed);
        self.first_response_at.get_or_insert(now);
        self.last_response_at = now;
        if !slow {
            self.abandoned_in_row = 0;
            self.straggler_until = Duration::ZERO;
        }
    }

    /// Records a rejected attempt. `response.failed` is set if the target itself
    /// rejected it.
    pub(crate) fn on_rejected(
        &mut self,
        now: Duration,
        attempt: AttemptId,
        response: &ResponseInfo,
    ) {
        self.update_load(now, attempt, response.load);
        if response.failed {
            self.update_failure_rate(now, true);
        }
        if let Some(sent) = self.outstanding.shift_remove(&attempt) {
            self.breaker.on_outcome(now, sent.generation, !response.failed);
        }
    }

    /// Records that an attempt was abandoned while outstanding. Its age is only a
    /// lower bound on the latency, so instead of learning from it the target counts
    /// as a straggler for a while, longer each time until it responds as usual.
    pub(crate) fn on_abandoned(&mut self, now: Duration, attempt: AttemptId) {
        let Some(sent) = self.outstanding.shift_remove(&attempt) else {
            return;
        };
        let age = now.saturating_sub(sent.sent_at);
        self.breaker.on_outcome(now, sent.generation, false);
        let usual = self.service_times.get(&sent.route).and_then(Latency::value);
        if usual.is_some_and(|usual| age > usual) {
            let time = STRAGGLER_TIME
                .saturating_mul(1 << self.abandoned_in_row.min(8))
                .min(MAX_STRAGGLER_TIME);
            self.abandoned_in_row += 1;
            self.straggler_until = now + time;
        }
    }

    /// Records that the inbound proxy was unreachable, and ejects the target after
    /// [`EJECT_FAILURES`] consecutive failures.
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

    /// Returns the observed service time of a route.
    pub(crate) fn observed_service_time(&self, route: &Name) -> Option<Duration> {
        self.service_times.get(route).and_then(Latency::value)
    }

    /// Returns whether the target has responded for long enough to be warm.
    pub(crate) fn is_warm(&self, now: Duration) -> bool {
        self.first_response_at.is_some_and(|first| now.saturating_sub(first) >= WARM_TIME)
    }

    /// Returns the expected time until a response, plus the costs of the network and
    /// of a possible failure. `median` is the median service time over the targets
    /// of the service.
    pub(crate) fn cost(
        &self,
        now: Duration,
        call: &CallInfo<'_>,
        median: Duration,
        response_bytes: f64,
        network_costs: &NetworkCosts,
    ) -> Duration {
        let service = self.service_time(now, call.route, median);
        let slots = self.slots();
        let occupancy = self.occupancy(now);
        let queued_per_slot = (occupancy + 1.0 - slots).max(0.0) / slots;
        let utilization = (occupancy / slots).min(1.0);
        let waiting = service.mul_f64(queued_per_slot + utilization * LOAD_SLOPE);
        let failure = FAILURE_COST.mul_f64(self.failure_rate(now));
        let link = self.link_wait(now, call.body_bytes, response_bytes);
        let bytes = call.body_bytes as f64 + response_bytes;
        service + waiting + failure + link + self.network_cost(bytes, network_costs)
    }

    /// Returns the time that a large request body and a large response wait for the
    /// target's link, by the last load report.
    fn link_wait(&self, now: Duration, body_bytes: usize, response_bytes: f64) -> Duration {
        let age = now.saturating_sub(self.load_at);
        let reported = |millis: u32| Duration::from_millis(millis.into()).saturating_sub(age);
        let mut wait = Duration::ZERO;
        if body_bytes >= LARGE_MESSAGE_BYTES {
            wait += reported(self.load.receive_ms);
        }
        if response_bytes >= LARGE_MESSAGE_BYTES as f64 {
            wait += reported(self.load.link_ms);
        }
        wait
    }

    fn network_cost(&self, bytes: f64, network_costs: &NetworkCosts) -> Duration {
        let kilobytes = bytes / 1_000.0;
        let (round_trip, per_kilobyte) = match self.endpoint.locality {
            Locality::Near => return Duration::ZERO,
            Locality::Region => {
                (network_costs.region_round_trip, network_costs.region_per_kilobyte)
            }
            Locality::Remote => {
                (network_costs.remote_round_trip, network_costs.remote_per_kilobyte)
            }
        };
        round_trip + per_kilobyte.mul_f64(kilobytes)
    }

    /// Returns the expected service time at the target. Calls that have been
    /// outstanding for long raise it before they end.
    fn service_time(&self, now: Duration, route: &Name, median: Duration) -> Duration {
        let idle = now.saturating_sub(self.last_response_at).as_secs_f64();
        let weight = (-idle / SERVICE_DECAY.as_secs_f64()).exp();
        let expected = self
            .observed_service_time(route)
            .map_or(median, |observed| observed.mul_f64(weight) + median.mul_f64(1.0 - weight));
        let slowdown_age = now.saturating_sub(self.load_at).as_secs_f64();
        let slowdown_weight = (-slowdown_age / SLOWDOWN_DECAY.as_secs_f64()).exp();
        let slowdown = match self.load.pace_percent {
            0 => 1.0,
            percent => f64::from(percent) / 100.0,
        };
        let slowed = expected.mul_f64(1.0 + (slowdown - 1.0).max(-0.5) * slowdown_weight);
        let straggler = if now < self.straggler_until { STRAGGLER_FACTOR } else { 1.0 };
        slowed.mul_f64(straggler).max(self.outstanding_estimate(now))
    }

    /// Returns twice the mean age of the outstanding calls: calls at a healthy target
    /// are half finished on average. Returns zero with fewer than three calls or
    /// without a free slot.
    fn outstanding_estimate(&self, now: Duration) -> Duration {
        let count = self.outstanding.len();
        if count < 3 || self.occupancy(now) >= self.slots() {
            return Duration::ZERO;
        }
        let ages = self.outstanding.values().map(|sent| now.saturating_sub(sent.sent_at));
        ages.sum::<Duration>() * 2 / count as u32
    }

    /// Returns the estimated number of calls at the target: those of this proxy, and
    /// those of others by the last load report, whose weight decays.
    fn occupancy(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.load_at).as_secs_f64();
        let weight = (-age / LOAD_DECAY.as_secs_f64()).exp();
        self.other_calls * weight + self.outstanding.len() as f64
    }

    fn slots(&self) -> f64 {
        let ramping = self.load.slots > 0 && self.load.slots < self.endpoint.slots;
        let slots = if ramping { self.load.slots } else { self.endpoint.slots };
        f64::from(slots.max(1))
    }

    fn failure_rate(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.failure_rate_at).as_secs_f64();
        self.recorded_failure_rate * (-age / FAILURE_DECAY.as_secs_f64()).exp()
    }

    fn update_load(&mut self, now: Duration, attempt: AttemptId, load: Option<Load>) {
        let Some(load) = load else {
            return;
        };
        let own = self.outstanding.keys().filter(|id| **id != attempt).count();
        self.other_calls =
            (f64::from(load.running.saturating_add(load.queued)) - own as f64).max(0.0);
        self.load = load;
        self.load_at = now;
        if load.slots == 0 {
            self.ejected_until = self.ejected_until.max(now + CLOSED_TIME);
        }
    }

    fn update_service_time(&mut self, now: Duration, route: &Name, service_time: Duration) {
        if let Some(latency) = self.service_times.get_mut(route) {
            latency.observe(now, service_time);
            return;
        }
        if self.service_times.len() >= MAX_ROUTES {
            self.service_times.shift_remove_index(0);
        }
        let mut latency = Latency::default();
        latency.observe(now, service_time);
        self.service_times.insert(route.clone(), latency);
    }

    fn update_failure_rate(&mut self, now: Duration, failed: bool) {
        let before = self.failure_rate(now);
        let sample = f64::from(u8::from(failed));
        self.recorded_failure_rate = before + (sample - before) * FAILURE_SMOOTHING;
        self.failure_rate_at = now;
    }
}
