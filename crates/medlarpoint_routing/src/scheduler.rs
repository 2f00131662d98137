//! Admission and scheduling of calls on a target's slots.
//!
//! Under overload a first-in, first-out queue makes every call late. Calls that
//! can still finish in time therefore go first, and late ones get the
//! remaining slots.

use std::time::Duration;

use medlarpoint_model::{Class, Name, Policy};

use crate::AttemptId;
use crate::forecast::{Forecast, MAX_LATE_WAIT, Position};
use crate::link::Link;
use crate::pace::Pace;
use crate::priority::{Priority, Queue};
use crate::request_link::RequestLink;
use crate::service_times::ServiceTimes;
use crate::target_limit::TargetLimit;

/// Lower limit of the advised time until a retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// A call that requests a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// Attempt that is to run.
    pub attempt: AttemptId,
    /// Scheduling class, which decides on the queue and the usable slots.
    pub class: Class,
    /// Tenant on whose share of the slots the call counts.
    pub tenant: Name,
    /// Whether the tenant is a workspace. The calls of a workspace get its share of the slots
    /// also if they have a due date.
    pub in_workspace: bool,
    /// Weight of the tenant.
    pub weight: u16,
    /// Rank when slots are short; 0 goes first.
    pub rank: u8,
    /// Route of the call; calls of one route have similar service times and
    /// response sizes.
    pub route: Name,
    /// Size of the request body that has still to cross this VM's link, in bytes.
    pub body_bytes: usize,
    /// Time until which the response is of full use to the caller, on the local
    /// clock.
    pub useful_until: Option<Duration>,
    /// Whether the call may be rejected as [`Rejection::Busy`] so that another
    /// target serves it in time.
    pub may_spill: bool,
    /// Whether the call may crash the target. One such call runs at a time, so that a crash
    /// tells which of them it was.
    pub suspect: bool,
    /// Time that the route usually takes at the targets of the service, if the sender knows.
    pub expected: Option<Duration>,
    /// Time of arrival, on the local clock.
    pub arrived: Duration,
    /// Time by which the response must be sent, on the local clock.
    pub deadline: Duration,
}

/// Reason for the rejection of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Rejection {
    /// The response would be late here and may be in time from another target.
    Busy,
    /// The queue is full.
    QueueFull,
    /// The response would not come by the deadline, or the call is late and
    /// calls that go first leave it no slot.
    TooLate,
    /// A call of higher priority, or of a tenant below its share, took the
    /// place in the full queue.
    Displaced,
    /// No target on this VM accepts calls.
    NoTarget,
}

/// Result of a request for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The call has a slot and runs now.
    Run,
    /// The call waits for a slot.
    Queued,
    /// The request body is to be received from the given time on, on the local clock.
    /// The call requests a slot once it is complete.
    Receive(Duration),
    /// The call does not run; it can be retried after the given time.
    Rejected(Rejection, Duration),
}

/// Decision on a queued call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The call has a slot and runs now.
    Run(AttemptId),
    /// The call does not run; it can be retried after the given time.
    Rejected(AttemptId, Rejection, Duration),
}

/// Load of a target, as counted by its inbound proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Number of calls that hold a slot.
    pub running: u32,
    /// Number of queued calls.
    pub queued: u32,
    /// Number of slots usable now.
    pub slots: u32,
    /// Present duration of work on the VM in percent of the usual duration;
    /// zero if unknown.
    pub pace_percent: u32,
    /// Time until the link has sent the responses of all running and queued
    /// calls, in milliseconds.
    pub link_ms: u32,
    /// Time until the link has received the large request bodies admitted so far, in
    /// milliseconds.
    pub receive_ms: u32,
}

/// State of one scheduling class.
#[derive(Clone, Debug, Default)]
struct ClassState {
    running: u32,
    queue: Queue,
    service_times: ServiceTimes,
    /// Whether the last late call to leave the queue had waited in vain. Late calls are
    /// then rejected at once, except for one that shows when slots are free again.
    late_starved: bool,
}

/// Scheduler for the slots of one target, with a queue per class.
///
/// Invariant: long calls hold at most their share of the slots, or one slot, and
/// the number of running calls never exceeds the slots that were usable when
/// the last of them started.
#[derive(Clone, Debug)]
pub struct Scheduler {
    slots: u32,
    policy: Policy,
    /// Limit on the calls in flight that follows from the target's answers; `None` if all
    /// slots are usable at once.
    pace: Option<Pace>,
    short: ClassState,
    long: ClassState,
    /// Link in the direction of the responses.
    link: Link,
    /// Link in the direction of the requests.
    request_link: RequestLink,
    /// Limit on the calls per second that the target has named.
    target_limit: TargetLimit,
    /// Whether a call that may crash the target runs.
    suspect_running: bool,
}

impl Scheduler {
    /// Creates a scheduler; with zero slots every call is rejected.
    pub fn new(slots: u32, policy: Policy) -> Self {
        let (short, long) = (ClassState::default(), ClassState::default());
        let (link, request_link) = (Link::default(), RequestLink::default());
        let target_limit = TargetLimit::default();
        Self {
            slots,
            policy,
            pace: None,
            short,
            long,
            link,
            request_link,
            target_limit,
            suspect_running: false,
        }
    }

    /// Replaces the link over which responses are sent.
    pub fn set_link(&mut self, link: Link) {
        self.link = link;
    }

    /// Replaces the link over which request bodies are received.
    pub fn set_request_link(&mut self, link: RequestLink) {
        self.request_link = link;
    }

    /// Returns the link over which request bodies are received.
    pub fn request_link_mut(&mut self) -> &mut RequestLink {
        &mut self.request_link
    }

    /// Returns the link over which responses are sent.
    pub fn link_mut(&mut self) -> &mut Link {
        &mut self.link
    }

    /// Replaces the policy.
    pub fn set_policy(&mut self, policy: Policy) {
        self.policy = policy;
    }

    /// Returns the policy in use.
    pub fn policy(&self) -> &Policy {
        &self.policy
    }

    /// Changes the number of slots; a change from zero restarts the target's pace.
    pub fn set_slots(&mut self, slots: u32, now: Duration) {
        let appeared = self.slots == 0 && slots > 0;
        self.slots = slots;
        if let Some(pace) = self.pace.as_mut().filter(|_| appeared) {
            pace.on_slots(now, slots);
        }
    }

    /// Records that another process has become the target. Its limit is not known.
    pub fn on_target_replaced(&mut self) {
        self.target_limit = TargetLimit::Untried;
    }

    /// Records the limit on the calls per second that a response of the target names; the
    /// target has none if the response names none. Returns whether the limit changed.
    pub fn on_target_response(&mut self, now: Duration, per_second: Option<f64>) -> bool {
        let before = self.target_limit.per_second();
        self.target_limit.record(now, per_second);
        before != self.target_limit.per_second()
    }

    /// Returns the limit on the calls per second that the target names.
    pub fn target_limit(&self) -> Option<f64> {
        self.target_limit.per_second()
    }

    /// Requests a slot. Also returns the decision on a call that was displaced
    /// from the queue.
    pub fn arrive(&mut self, now: Duration, ticket: Ticket) -> (Admission, Option<Decision>) {
        self.tick_pace(now);
        self.assume_service_time(&ticket);
        let usable = self.usable_slots();
        if usable == 0 {
            return (Admission::Rejected(Rejection::NoTarget, MIN_RETRY_AFTER), None);
        }
        if self.request_link.shapes(ticket.body_bytes) {
            return (self.admit_body(now, usable, &ticket), None);
        }
        let class = ticket.class;
        let may_start = self.target_limit.may_start(now);
        if may_start && self.is_next(now, &ticket) && self.has_slot(class, usable) {
            if now >= ticket.deadline {
                return (Admission::Rejected(Rejection::TooLate, MIN_RETRY_AFTER), None);
            }
            // A slot is free and no call waits for it.
            self.class_state_mut(class).late_starved = false;
            self.start(now, &ticket);
            return (Admission::Run, None);
        }
        let retry_after = self.retry_after(now, usable, &ticket);
        let (priority, position) = self.place(now, usable, &ticket);
        let forecast = self.forecast(now, class);
        if priority.late && ticket.may_spill && forecast.is_in_time_on_idle_target(&ticket) {
            return (Admission::Rejected(Rejection::Busy, retry_after), None);
        }
        let starved = priority.late && self.is_starved(now, priority, &ticket);
        if starved || !forecast.meets_deadline(&ticket, position) {
            return (Admission::Rejected(Rejection::TooLate, retry_after), None);
        }
        let limit = usable as usize * usize::from(self.policy.queue_per_slot);
        let mut displaced = None;
        if self.class_state(class).queue.len() >= limit {
            let queue = &mut self.class_state_mut(class).queue;
            let Some(other) = queue.displace(priority, &ticket) else {
                return (Admission::Rejected(Rejection::QueueFull, retry_after), None);
            };
            displaced = Some(Decision::Rejected(other.attempt, Rejection::Displaced, retry_after));
        }
        self.class_state_mut(class).queue.push(priority, ticket);
        (Admission::Queued, displaced)
    }

    /// Decides whether to receive the request body of a call, before any of it has
    /// crossed the link.
    ///
    /// A body that is received for a call that is then not served takes the link from
    /// other bodies. Bodies are therefore received one after the other, and only if
    /// the response can still come in time; late ones must be able to start soon.
    fn admit_body(&mut self, now: Duration, usable: u32, ticket: &Ticket) -> Admission {
        let start = self.request_link.next_start(now);
        let wait = start.saturating_sub(now);
        let transfer = self.request_link.transfer_time(ticket.body_bytes);
        let received_at = start + transfer;
        let (_, position) = self.place(now, usable, ticket);
        let position = Position {
            slot_wait: position.slot_wait.saturating_sub(received_at.saturating_sub(now)),
            ..position
        };
        let forecast = Forecast { now: received_at, ..self.forecast(now, ticket.class) };
        let retry_after = self.retry_after(now, usable, ticket).max(wait);
        if !forecast.meets_deadline_with_margin(ticket, position) {
            return Admission::Rejected(Rejection::TooLate, retry_after);
        }
        if !forecast.is_in_time(ticket, position) {
            let idle = Forecast { now: now + transfer, ..forecast };
            if ticket.may_spill && idle.is_in_time_on_idle_target(ticket) {
                return Admission::Rejected(Rejection::Busy, retry_after);
            }
            if wait > MAX_LATE_WAIT {
                return Admission::Rejected(Rejection::TooLate, retry_after);
            }
        }
        self.request_link.admit(start, ticket.body_bytes);
        Admission::Receive(start)
    }

    /// Releases a slot and returns the queued calls that run next or are too
    /// late to run. `took` is the service time, if the call ran.
    pub fn release(
        &mut self,
        now: Duration,
        class: Class,
        route: &Name,
        took: Option<Duration>,
    ) -> Vec<Decision> {
        self.link.call_ended(route);
        let state = self.class_state_mut(class);
        state.running = state.running.saturating_sub(1);
        if let Some(took) = took {
            state.service_times.observe(route, took);
        }
        self.fill_slots(now)
    }

    /// Records that the call that may crash the target has ended; its slot is released
    /// next.
    pub(crate) fn on_suspect_ended(&mut self) {
        self.suspect_running = false;
    }

    /// Removes a call from the queue and returns whether it was queued.
    pub fn remove(&mut self, attempt: AttemptId) -> bool {
        self.short.queue.remove(attempt).or_else(|| self.long.queue.remove(attempt)).is_some()
    }

    /// Removes all queued calls and returns their attempts.
    pub fn clear(&mut self) -> Vec<AttemptId> {
        let states = [&mut self.short, &mut self.long].into_iter();
        states.flat_map(|state| state.queue.extract(|_| true)).map(|t| t.attempt).collect()
    }

    /// Rejects queued calls that can no longer be served and fills slots that
    /// have become usable.
    pub fn sweep(&mut self, now: Duration) -> Vec<Decision> {
        self.tick_pace(now);
        let mut decisions = Vec::new();
        for class in [Class::Short, Class::Long] {
            let forecast = self.forecast(now, class);
            let late = |ticket: &Ticket| {
                !forecast.meets_deadline(ticket, Position::default())
                    || forecast.has_waited_too_long(ticket)
            };
            // Collected before any removal, because removals change the queue.
            let late: Vec<AttemptId> = self.class_state(class).queue.find(late);
            let waited_in_vain = !late.is_empty()
                && self.class_state(class).queue.any(|t| forecast.has_waited_too_long(t));
            self.class_state_mut(class).late_starved |= waited_in_vain;
            decisions.extend(late.into_iter().filter_map(|id| self.reject_late(now, class, id)));
        }
        decisions.extend(self.fill_slots(now));
        decisions
    }

    /// Returns the load now, without the slowdown of the VM.
    pub fn load(&self, now: Duration) -> Load {
        Load {
            running: self.short.running + self.long.running,
            queued: (self.short.queue.len() + self.long.queue.len()) as u32,
            slots: self.sustained_slots(),
            pace_percent: 0,
            link_ms: self.link_backlog(now).as_millis() as u32,
            receive_ms: self.request_link.next_start(now).saturating_sub(now).as_millis() as u32,
        }
    }

    /// Returns the number of slots that are in use at the limit that the target names.
    fn sustained_slots(&self) -> u32 {
        let usable = self.usable_slots();
        let sustained = self.target_limit.sustained_calls(self.short.service_times.mean());
        sustained.map_or(usable, |sustained| usable.min(sustained))
    }

    /// Returns the time until the link has sent the responses of all running and
    /// queued calls.
    fn link_backlog(&self, now: Duration) -> Duration {
        let queues = [&self.short.queue, &self.long.queue];
        let waiting = queues.into_iter().flat_map(Queue::iter);
        let queued: Duration =
            waiting.map(|ticket| self.link.expected_transfer(&ticket.route)).sum();
        self.link.backlog(now) + queued
    }

    fn fill_slots(&mut self, now: Duration) -> Vec<Decision> {
        let mut decisions = Vec::new();
        let usable = self.usable_slots();
        while let Some(class) = self.next_class(now, usable) {
            let (state, link) = match class {
                Class::Short => (&mut self.short, &self.link),
                Class::Long => (&mut self.long, &self.link),
            };
            let forecast = Forecast { now, service_times: &state.service_times, link };
            let suspect_running = self.suspect_running;
            let blocked = |ticket: &Ticket| {
                link.blocks(now, &ticket.route) || (ticket.suspect && suspect_running)
            };
            let eligible = |ticket: &Ticket| !blocked(ticket);
            let in_time = |ticket: &Ticket| forecast.is_in_time(ticket, Position::default());
            let Some(ticket) = state.queue.pop(eligible, in_time) else {
                break;
            };
            if !forecast.meets_deadline(&ticket, Position::default()) {
                let retry_after = self.retry_after(now, usable, &ticket);
                decisions.push(Decision::Rejected(ticket.attempt, Rejection::TooLate, retry_after));
                continue;
            }
            if !in_time(&ticket) {
                state.late_starved = false;
            }
            self.start(now, &ticket);
            decisions.push(Decision::Run(ticket.attempt));
        }
        decisions
    }

    fn reject_late(&mut self, now: Duration, class: Class, attempt: AttemptId) -> Option<Decision> {
        let usable = self.usable_slots();
        let ticket = self.class_state_mut(class).queue.remove(attempt)?;
        let retry_after = self.retry_after(now, usable, &ticket);
        Some(Decision::Rejected(attempt, Rejection::TooLate, retry_after))
    }

    fn start(&mut self, now: Duration, ticket: &Ticket) {
        self.target_limit.on_start(now);
        self.link.call_started(&ticket.route);
        self.class_state_mut(ticket.class).running += 1;
        self.suspect_running |= ticket.suspect;
        if let Some(pace) = self.pace.as_mut().filter(|_| !ticket.suspect) {
            pace.on_started(now, ticket.attempt, ticket.expected);
        }
    }

    /// Returns whether a call has to wait although a slot may be free.
    fn blocks(&self, now: Duration, ticket: &Ticket) -> bool {
        self.link.blocks(now, &ticket.route) || (ticket.suspect && self.suspect_running)
    }

    /// Returns whether nothing but a slot is missing for a new call and no queued call of
    /// its class could run instead.
    fn is_next(&self, now: Duration, ticket: &Ticket) -> bool {
        !self.blocks(now, ticket) && !self.has_eligible(now, ticket.class)
    }

    /// Returns whether a call is queued that misses nothing but a slot.
    fn has_eligible(&self, now: Duration, class: Class) -> bool {
        let queue = &self.class_state(class).queue;
        queue.any(|waiting| !self.blocks(now, waiting))
    }

    /// Returns the class that gets the next slot. Short calls go first, but one
    /// slot always goes to long calls if any are queued.
    fn next_class(&self, now: Duration, usable: u32) -> Option<Class> {
        if !self.target_limit.may_start(now) {
            return None;
        }
        let long_waits = self.has_slot(Class::Long, usable) && self.has_eligible(now, Class::Long);
        if long_waits && self.long.running == 0 {
            return Some(Class::Long);
        }
        if self.has_slot(Class::Short, usable) && self.has_eligible(now, Class::Short) {
            return Some(Class::Short);
        }
        long_waits.then_some(Class::Long)
    }

    fn has_slot(&self, class: Class, usable: u32) -> bool {
        let free = self.short.running + self.long.running < usable;
        match class {
            Class::Short => free,
            Class::Long => free && self.long.running < self.long_limit(usable),
        }
    }

    fn long_limit(&self, usable: u32) -> u32 {
        (usable * u32::from(self.policy.long_share_percent) / 100).max(1)
    }

    /// Returns the number of usable slots, which is small until the first response of the
    /// target.
    fn usable_slots(&self) -> u32 {
        let paced = self.paced_slots();
        self.target_limit.max_in_flight().map_or(paced, |max| paced.min(max))
    }

    /// Returns the priority and the queue position of a call that arrives now.
    fn place(&self, now: Duration, usable: u32, ticket: &Ticket) -> (Priority, Position) {
        let in_time = Priority { rank: ticket.rank, late: false };
        let position = self.position(now, usable, in_time, ticket);
        if self.forecast(now, ticket.class).is_in_time(ticket, position) {
            return (in_time, position);
        }
        let late = Priority { late: true, ..in_time };
        (late, self.position(now, usable, late, ticket))
    }

    fn forecast(&self, now: Duration, class: Class) -> Forecast<'_> {
        Forecast { now, service_times: &self.class_state(class).service_times, link: &self.link }
    }

    /// Returns whether the calls of `priority` that go before `ticket` are starved
    /// by calls of higher priority.
    fn is_starved(&self, now: Duration, priority: Priority, ticket: &Ticket) -> bool {
        let state = self.class_state(ticket.class);
        let first = state.queue.earliest_arrival(priority, ticket);
        first.is_some_and(|since| state.late_starved || now.saturating_sub(since) > MAX_LATE_WAIT)
    }

    /// Returns the queue position of a call that arrives now with `priority`.
    /// Calls that wait for the link delay only each other.
    fn position(
        &self,
        now: Duration,
        usable: u32,
        priority: Priority,
        ticket: &Ticket,
    ) -> Position {
        let queue = &self.class_state(ticket.class).queue;
        let free = |waiting: &Ticket| !self.link.blocks(now, &waiting.route);
        let large = |waiting: &Ticket| self.link.is_large(&waiting.route);
        let ahead = queue.ahead(priority, ticket, free);
        Position {
            slot_wait: self.slot_wait(now, ticket.class, usable, ahead),
            large_ahead: queue.ahead(priority, ticket, large),
        }
    }

    /// Returns the time until a slot is free, and the target takes a call, for a call that
    /// `ahead` others go before.
    fn slot_wait(&self, now: Duration, class: Class, usable: u32, ahead: usize) -> Duration {
        let slots = match class {
            Class::Short => usable.saturating_sub(self.long.running).max(1),
            Class::Long => self.long_limit(usable),
        };
        let mean = self.class_state(class).service_times.mean();
        let slot_free = mean.mul_f64((ahead as f64 + 1.0) / f64::from(slots));
        slot_free.max(self.target_limit.wait(now, ahead))
    }

    /// Returns the advised time until a retry: the time until the present queue
    /// has drained and the link has sent the queued large responses.
    fn retry_after(&self, now: Duration, usable: u32, ticket: &Ticket) -> Duration {
        let queue = &self.class_state(ticket.class).queue;
        let drained = self.slot_wait(now, ticket.class, usable, queue.len()).max(MIN_RETRY_AFTER);
        if !self.link.is_large(&ticket.route) {
            return drained;
        }
        let large = queue.count(|waiting| self.link.is_large(&waiting.route));
        let sent = self.link.backlog(now)
            + self.link.expected_transfer(&ticket.route).mul_f64(large as f64);
        drained.max(sent)
    }

    fn class_state(&self, class: Class) -> &ClassState {
        match class {
            Class::Short => &self.short,
            Class::Long => &self.long,
        }
    }

    fn class_state_mut(&mut self, class: Class) -> &mut ClassState {
        match class {
            Class::Short => &mut self.short,
            Class::Long => &mut self.long,
        }
    }
}

mod pacing;
#[cfg(test)]
mod tests;
