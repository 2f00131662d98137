//! Admission to a target's slots.
//!
//! Under overload a plain queue makes every call late. Here calls that can
//! still be answered in time go first; those that cannot take what is left.

use std::time::Duration;

use medlarpoint_model::{Class, Name, Policy};

use crate::AttemptId;
use crate::ranked::{Ranked, Turn};
use crate::service::Service;

/// Expected service times that must remain for a call to count as in time: work
/// varies, and one that starts with less is mostly late.
const MARGIN: f64 = 1.5;
/// Longest wait of a late call. Those that cannot be served by then are told
/// when to come back, and no more of them wait.
const LATE_PATIENCE: Duration = Duration::from_millis(500);
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
    pub kind: Name,
    /// When its answer ceases to be of full use.
    pub useful_until: Option<Duration>,
    /// It may be refused so that another target serves it in time.
    pub may_spill: bool,
    /// When it came.
    pub since: Duration,
    /// Latest time by which it must be done.
    pub deadline: Duration,
}

/// Why a call is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Refusal {
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
pub enum Entry {
    /// Runs now.
    Run,
    /// Waits.
    Queued,
    /// Does not run; come back after the given time.
    Refused(Refusal, Duration),
}

/// A decision on a ticket that waited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Settled {
    /// Runs now.
    Run(AttemptId),
    /// Does not run; come back after the given time.
    Refused(AttemptId, Refusal, Duration),
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
pub struct Gate {
    slots: u32,
    policy: Policy,
    opened: Duration,
    short: Side,
    long: Side,
}

impl Gate {
    /// Opens a target with `slots` slots at `now`; zero slots admit nothing.
    pub fn new(slots: u32, policy: Policy, now: Duration) -> Self {
        Self { slots, policy, opened: now, short: Side::default(), long: Side::default() }
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
    pub fn arrive(&mut self, now: Duration, ticket: Ticket) -> (Entry, Option<Settled>) {
        let usable = self.usable(now);
        if usable == 0 {
            return (Entry::Refused(Refusal::NoTarget, MIN_RETRY_AFTER), None);
        }
        let class = ticket.class;
        if self.side(class).queue.len() == 0 && self.has_slot(class, usable) {
            if now >= ticket.deadline {
                return (Entry::Refused(Refusal::TooLate, MIN_RETRY_AFTER), None);
            }
            self.side_mut(class).running += 1;
            return (Entry::Run, None);
        }
        let retry_after = self.retry_after(class, usable);
        let (turn, wait) = self.turn(now, usable, &ticket);
        let service = self.side(class).service.of(&ticket.kind);
        if turn.late && ticket.may_spill && is_in_time(now, service, &ticket) {
            return (Entry::Refused(Refusal::Busy, retry_after), None);
        }
        let starved = turn.late && self.starves(now, turn, &ticket);
        if starved || now + wait + service > ticket.deadline {
            return (Entry::Refused(Refusal::TooLate, retry_after), None);
        }
        let limit = usable as usize * usize::from(self.policy.queue_per_slot);
        let mut displaced = None;
        if self.side(class).queue.len() >= limit {
            let queue = &mut self.side_mut(class).queue;
            let Some(other) = queue.displace(turn, &ticket) else {
                return (Entry::Refused(Refusal::QueueFull, retry_after), None);
            };
            displaced = Some(Settled::Refused(other.attempt, Refusal::Displaced, retry_after));
        }
        self.side_mut(class).queue.push(turn, ticket);
        (Entry::Queued, displaced)
    }

    /// Frees a slot and returns who runs next, and who no longer can.
    pub fn leave(
        &mut self,
        now: Duration,
        class: Class,
        kind: &Name,
        took: Option<Duration>,
    ) -> Vec<Settled> {
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
    pub fn sweep(&mut self, now: Duration) -> Vec<Settled> {
        let mut settled = Vec::new();
        for class in [Class::Short, Class::Long] {
            let usable = self.usable(now);
            let retry_after = self.retry_after(class, usable);
            let side = self.side_mut(class);
            let service = &side.service;
            let late = side.queue.extract(|ticket| {
                let expected = service.of(&ticket.kind);
                now + expected > ticket.deadline || has_waited_too_long(now, expected, ticket)
            });
            let refuse = |t: Ticket| Settled::Refused(t.attempt, Refusal::TooLate, retry_after);
            settled.extend(late.into_iter().map(refuse));
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
        }
    }

    fn admit(&mut self, now: Duration) -> Vec<Settled> {
        let mut settled = Vec::new();
        let usable = self.usable(now);
        while let Some(class) = self.next_class(usable) {
            let retry_after = self.retry_after(class, usable);
            let side = self.side_mut(class);
            let service = &side.service;
            let in_time = |ticket: &Ticket| is_in_time(now, service.of(&ticket.kind), ticket);
            let Some(ticket) = side.queue.pop(in_time) else {
                break;
            };
            if now + side.service.of(&ticket.kind) > ticket.deadline {
                settled.push(Settled::Refused(ticket.attempt, Refusal::TooLate, retry_after));
                continue;
            }
            side.running += 1;
            settled.push(Settled::Run(ticket.attempt));
        }
        settled
    }

    /// Short work goes first, but long work that waits always gets one slot.
    fn next_class(&self, usable: u32) -> Option<Class> {
        let long_waits = self.long.queue.len() > 0 && self.has_slot(Class::Long, usable);
        if long_waits && self.long.running == 0 {
            return Some(Class::Long);
        }
        if self.short.queue.len() > 0 && self.has_slot(Class::Short, usable) {
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

    /// Returns the turn of a call that arrives now, and its expected wait.
    fn turn(&self, now: Duration, usable: u32, ticket: &Ticket) -> (Turn, Duration) {
        let early = Turn { rank: ticket.rank, late: false };
        let wait = self.wait(usable, early, ticket);
        let service = self.side(ticket.class).service.of(&ticket.kind);
        if is_in_time(now + wait, service, ticket) {
            return (early, wait);
        }
        let late = Turn { late: true, ..early };
        (late, self.wait(usable, late, ticket))
    }

    /// Tells whether calls that go first leave nothing to those of `turn` that
    /// go before `ticket`.
    fn starves(&self, now: Duration, turn: Turn, ticket: &Ticket) -> bool {
        let first = self.side(ticket.class).queue.first_since(turn, ticket);
        first.is_some_and(|since| now.saturating_sub(since) > LATE_PATIENCE)
    }

    /// Expected wait of a call that arrives now with `turn`.
    fn wait(&self, usable: u32, turn: Turn, ticket: &Ticket) -> Duration {
        let ahead = self.side(ticket.class).queue.ahead(turn, ticket);
        self.wait_behind(ticket.class, usable, ahead)
    }

    fn wait_behind(&self, class: Class, usable: u32, ahead: usize) -> Duration {
        let slots = match class {
            Class::Short => usable.saturating_sub(self.long.running).max(1),
            Class::Long => self.long_limit(usable),
        };
        self.side(class).service.mean().mul_f64((ahead as f64 + 1.0) / f64::from(slots))
    }

    /// Time until the present queue has drained.
    fn retry_after(&self, class: Class, usable: u32) -> Duration {
        self.wait_behind(class, usable, self.side(class).queue.len()).max(MIN_RETRY_AFTER)
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

/// Tells whether a call that is late already has waited for longer than late
/// calls should.
fn has_waited_too_long(now: Duration, service: Duration, ticket: &Ticket) -> bool {
    let Some(useful_until) = ticket.useful_until else {
        return false;
    };
    let late_since = ticket.since.max(useful_until.saturating_sub(service.mul_f64(MARGIN)));
    now.saturating_sub(late_since) > LATE_PATIENCE
}

/// Tells whether a call that starts at `start` is answered while that is of
/// full use.
fn is_in_time(start: Duration, service: Duration, ticket: &Ticket) -> bool {
    ticket.useful_until.is_none_or(|until| start + service.mul_f64(MARGIN) <= until)
}

#[cfg(test)]
mod tests;
