//! Admission to a target's slots.
//!
//! Under overload a plain queue makes every call late. Here calls that can
//! still be answered in time go first; those that cannot take what is left.

use std::time::Duration;

use medlarpoint_model::{Class, Name, Policy};

use crate::AttemptId;
use crate::forecast::{Ahead, Forecast, LATE_PATIENCE};
use crate::link::Link;
use crate::ranked::{Ranked, Turn};
use crate::service::Service;

/// Shortest advice on when to come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// A call that asks for a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// The attempt.
    pub attempt: AttemptId,
    /// Scheduling class.
    pub class: Class,
    /// Tenant whose turn it uses.
    pub tenant: Name,
    /// Weight of the tenant.
    pub weight: u16,
    /// Rank when slots are short; 0 goes first.
    pub rank: u8,
    /// Calls of one kind take about as long.
    pub route: Name,
    /// When its answer ceases to be of full use.
    pub useful_until: Option<Duration>,
    /// It may be refused so that another target serves it in time.
    pub may_spill: bool,
    /// When it came.
    pub arrived: Duration,
    /// Latest time by which it must be done.
    pub deadline: Duration,
}

/// Why a call is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Rejection {
    /// It would be late here, and may be in time elsewhere.
    Busy,
    /// The queue is full.
    QueueFull,
    /// It would not be done by its deadline.
    TooLate,
    /// A tenant with less than its share needed the place.
    Displaced,
    /// There is no target to run it.
    NoTarget,
}

/// Answer to a ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Runs now.
    Run,
    /// Waits.
    Queued,
    /// Does not run; come back after the given time.
    Rejected(Rejection, Duration),
}

/// A decision on a ticket that waited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Runs now.
    Run(AttemptId),
    /// Does not run; come back after the given time.
    Rejected(AttemptId, Rejection, Duration),
}

/// How busy a target is, as its inbound proxy knows exactly.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Calls running.
    pub running: u32,
    /// Calls waiting.
    pub queued: u32,
    /// Slots usable now.
    pub slots: u32,
    /// How long work takes on the VM at the moment, in percent of the usual;
    /// zero if that is unknown.
    pub pace_percent: u32,
    /// Time until the link has room for another large answer, in
    /// milliseconds.
    pub link_ms: u32,
}

#[derive(Clone, Debug, Default)]
struct Side {
    running: u32,
    queue: Ranked,
    service: Service,
}

/// Slots of one target with a queue per class.
///
/// Invariant: long work holds at most its share of the slots, and running
/// work never exceeds the slots usable at the time it started.
#[derive(Clone, Debug)]
pub struct Scheduler {
    slots: u32,
    policy: Policy,
    opened: Duration,
    short: Side,
    long: Side,
    link: Link,
}

impl Scheduler {
    /// Opens a target with `slots` slots at `now`; zero slots admit nothing.
    pub fn new(slots: u32, policy: Policy, now: Duration) -> Self {
        let (short, long) = (Side::default(), Side::default());
        Self { slots, policy, opened: now, short, long, link: Link::default() }
    }

    /// Changes the link over which answers are sent.
    pub fn set_link(&mut self, link: Link) {
        self.link = link;
    }

    /// Returns the link over which answers are sent.
    pub fn link_mut(&mut self) -> &mut Link {
        &mut self.link
    }

    /// Changes the policy.
    pub fn set_policy(&mut self, policy: Policy) {
        self.policy = policy;
    }

    /// Returns the policy.
    pub fn policy(&self) -> &Policy {
        &self.policy
    }

    /// Changes the number of slots; from zero, the target ramps up anew.
    pub fn set_slots(&mut self, slots: u32, now: Duration) {
        if self.slots == 0 && slots > 0 {
            self.opened = now;
        }
        self.slots = slots;
    }

    /// Asks for a slot. A displaced ticket of another tenant is returned too.
    pub fn arrive(&mut self, now: Duration, ticket: Ticket) -> (Admission, Option<Decision>) {
        let usable = self.usable(now);
        if usable == 0 {
            return (Admission::Rejected(Rejection::NoTarget, MIN_RETRY_AFTER), None);
        }
        let class = ticket.class;
        if self.is_next(now, &ticket) && self.has_slot(class, usable) {
            if now >= ticket.deadline {
                return (Admission::Rejected(Rejection::TooLate, MIN_RETRY_AFTER), None);
            }
            self.start(class, &ticket.route);
            return (Admission::Run, None);
        }
        let retry_after = self.retry_after(now, usable, &ticket);
        let (turn, ahead) = self.turn(now, usable, &ticket);
        let forecast = self.forecast(now, class);
        if turn.late && ticket.may_spill && forecast.is_in_time_elsewhere(&ticket) {
            return (Admission::Rejected(Rejection::Busy, retry_after), None);
        }
        let starved = turn.late && self.starves(now, turn, &ticket);
        if starved || !forecast.meets_deadline(&ticket, ahead) {
            return (Admission::Rejected(Rejection::TooLate, retry_after), None);
        }
        let limit = usable as usize * usize::from(self.policy.queue_per_slot);
        let mut displaced = None;
        if self.side(class).queue.len() >= limit {
            let queue = &mut self.side_mut(class).queue;
            let Some(other) = queue.displace(turn, &ticket) else {
                return (Admission::Rejected(Rejection::QueueFull, retry_after), None);
            };
            displaced = Some(Decision::Rejected(other.attempt, Rejection::Displaced, retry_after));
        }
        self.side_mut(class).queue.push(turn, ticket);
        (Admission::Queued, displaced)
    }

    /// Frees a slot and returns who runs next, and who no longer can.
    pub fn release(
        &mut self,
        now: Duration,
        class: Class,
        kind: &Name,
        took: Option<Duration>,
    ) -> Vec<Decision> {
        self.link.ended(kind);
        let side = self.side_mut(class);
        side.running = side.running.saturating_sub(1);
        if let Some(took) = took {
            side.service.observe(kind, took);
        }
        self.admit(now)
    }

    /// Takes a waiting ticket back; tells whether it was waiting.
    pub fn remove(&mut self, attempt: AttemptId) -> bool {
        self.short.queue.remove(attempt).or_else(|| self.long.queue.remove(attempt)).is_some()
    }

    /// Takes everything out that waits.
    pub fn clear(&mut self) -> Vec<AttemptId> {
        let sides = [&mut self.short, &mut self.long].into_iter();
        sides.flat_map(|side| side.queue.extract(|_| true)).map(|t| t.attempt).collect()
    }

    /// Refuses what can no longer be done in time and fills slots that a ramp
    /// has opened.
    pub fn sweep(&mut self, now: Duration) -> Vec<Decision> {
        let mut settled = Vec::new();
        for class in [Class::Short, Class::Long] {
            let forecast = self.forecast(now, class);
            let late = |ticket: &Ticket| {
                !forecast.meets_deadline(ticket, Ahead::default())
                    || forecast.has_waited_too_long(ticket)
            };
            // Decided first, as taking them out changes the queue.
            let late: Vec<AttemptId> = self.side(class).queue.find(late);
            settled.extend(late.into_iter().filter_map(|id| self.refuse_late(now, class, id)));
        }
        settled.extend(self.admit(now));
        settled
    }

    /// Returns the load now.
    pub fn load(&self, now: Duration) -> Load {
        Load {
            running: self.short.running + self.long.running,
            queued: (self.short.queue.len() + self.long.queue.len()) as u32,
            slots: self.usable(now),
            pace_percent: 0,
            link_ms: self.link_wait(now).as_millis() as u32,
        }
    }

    /// Time until the link has sent the answers of all calls that run or wait.
    fn link_wait(&self, now: Duration) -> Duration {
        let queues = [&self.short.queue, &self.long.queue];
        let waiting = queues.into_iter().flat_map(Ranked::iter);
        let queued: Duration = waiting.map(|ticket| self.link.transfer(&ticket.route)).sum();
        self.link.wait(now) + queued
    }

    fn admit(&mut self, now: Duration) -> Vec<Decision> {
        let mut settled = Vec::new();
        let usable = self.usable(now);
        while let Some(class) = self.next_class(now, usable) {
            let (side, link) = match class {
                Class::Short => (&mut self.short, &self.link),
                Class::Long => (&mut self.long, &self.link),
            };
            let forecast = Forecast { now, service: &side.service, link };
            let eligible = |ticket: &Ticket| !link.blocks(now, &ticket.route);
            let in_time = |ticket: &Ticket| forecast.is_in_time(ticket, Ahead::default());
            let Some(ticket) = side.queue.pop(eligible, in_time) else {
                break;
            };
            if !forecast.meets_deadline(&ticket, Ahead::default()) {
                let retry_after = self.retry_after(now, usable, &ticket);
                settled.push(Decision::Rejected(ticket.attempt, Rejection::TooLate, retry_after));
                continue;
            }
            self.start(class, &ticket.route);
            settled.push(Decision::Run(ticket.attempt));
        }
        settled
    }

    fn refuse_late(&mut self, now: Duration, class: Class, attempt: AttemptId) -> Option<Decision> {
        let usable = self.usable(now);
        let ticket = self.side_mut(class).queue.remove(attempt)?;
        let retry_after = self.retry_after(now, usable, &ticket);
        Some(Decision::Rejected(attempt, Rejection::TooLate, retry_after))
    }

    fn start(&mut self, class: Class, kind: &Name) {
        self.link.started(kind);
        self.side_mut(class).running += 1;
    }

    /// Tells whether nothing that waits goes before a newcomer that can run.
    fn is_next(&self, now: Duration, ticket: &Ticket) -> bool {
        !self.link.blocks(now, &ticket.route) && !self.has_eligible(now, ticket.class)
    }

    /// Tells whether something waits that the link has room for.
    fn has_eligible(&self, now: Duration, class: Class) -> bool {
        let queue = &self.side(class).queue;
        queue.any(|waiting| !self.link.blocks(now, &waiting.route))
    }

    /// Short work goes first, but long work that waits always gets one slot.
    fn next_class(&self, now: Duration, usable: u32) -> Option<Class> {
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

    /// Slots open up in proportion to the time since the target appeared.
    fn usable(&self, now: Duration) -> u32 {
        let ramp = Duration::from_millis(self.policy.ramp_ms);
        let age = now.saturating_sub(self.opened);
        if self.slots == 0 || age >= ramp {
            return self.slots;
        }
        let share = age.as_secs_f64() / ramp.as_secs_f64();
        ((f64::from(self.slots) * share) as u32).clamp(1, self.slots)
    }

    /// Returns the turn of a call that arrives now, and what stands before it.
    fn turn(&self, now: Duration, usable: u32, ticket: &Ticket) -> (Turn, Ahead) {
        let early = Turn { rank: ticket.rank, late: false };
        let ahead = self.ahead(now, usable, early, ticket);
        if self.forecast(now, ticket.class).is_in_time(ticket, ahead) {
            return (early, ahead);
        }
        let late = Turn { late: true, ..early };
        (late, self.ahead(now, usable, late, ticket))
    }

    fn forecast(&self, now: Duration, class: Class) -> Forecast<'_> {
        Forecast { now, service: &self.side(class).service, link: &self.link }
    }

    /// Tells whether calls that go first leave nothing to those of `turn` that
    /// go before `ticket`.
    fn starves(&self, now: Duration, turn: Turn, ticket: &Ticket) -> bool {
        let first = self.side(ticket.class).queue.first_since(turn, ticket);
        first.is_some_and(|since| now.saturating_sub(since) > LATE_PATIENCE)
    }

    /// Returns what stands before a call that arrives now with `turn`. Those
    /// that wait for the link hold up only each other.
    fn ahead(&self, now: Duration, usable: u32, turn: Turn, ticket: &Ticket) -> Ahead {
        let queue = &self.side(ticket.class).queue;
        let free = |waiting: &Ticket| !self.link.blocks(now, &waiting.route);
        let large = |waiting: &Ticket| self.link.is_large(&waiting.route);
        let before = queue.ahead(turn, ticket, free);
        Ahead {
            slot: self.wait_behind(ticket.class, usable, before),
            large: queue.ahead(turn, ticket, large),
        }
    }

    fn wait_behind(&self, class: Class, usable: u32, ahead: usize) -> Duration {
        let slots = match class {
            Class::Short => usable.saturating_sub(self.long.running).max(1),
            Class::Long => self.long_limit(usable),
        };
        self.side(class).service.mean().mul_f64((ahead as f64 + 1.0) / f64::from(slots))
    }

    /// Time until the present queue has drained.
    fn retry_after(&self, now: Duration, usable: u32, ticket: &Ticket) -> Duration {
        let queue = &self.side(ticket.class).queue;
        let drained = self.wait_behind(ticket.class, usable, queue.len()).max(MIN_RETRY_AFTER);
        if !self.link.is_large(&ticket.route) {
            return drained;
        }
        let large = queue.count(|waiting| self.link.is_large(&waiting.route));
        let sent = self.link.wait(now) + self.link.transfer(&ticket.route).mul_f64(large as f64);
        drained.max(sent)
    }

    fn side(&self, class: Class) -> &Side {
        match class {
            Class::Short => &self.short,
            Class::Long => &self.long,
        }
    }

    fn side_mut(&mut self, class: Class) -> &mut Side {
        match class {
            Class::Short => &mut self.short,
            Class::Long => &mut self.long,
        }
    }
}

#[cfg(test)]
mod tests;
