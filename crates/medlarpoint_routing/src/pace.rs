//! Pace of a target: the limit on its calls in flight while it is cold or overloaded.
//!
//! A target that has just started takes longer for each call than its warm peers, and a
//! fixed time says nothing about when that ends. The limit therefore follows from the
//! target's answers, compared with the times that their routes usually take.

use std::time::Duration;

/// Divisor of the slots that gives the limit of a target that has just started.
const START_DIVISOR: u32 = 4;
/// Mean of service time over expected time up to which the limit doubles.
const GROWTH_RATIO: f64 = 1.5;
/// Mean of service time over expected time from which the limit is halved.
const CUT_RATIO: f64 = 2.5;
/// Largest ratio that one answer counts with, so that a single straggler among several
/// answers does not halve the limit.
const MAX_RATIO: f64 = 5.0;
/// Shortest expected time. Below it, answers vary by more than [`CUT_RATIO`] through the
/// scheduling of processes alone.
const MIN_EXPECTED: Duration = Duration::from_millis(5);
/// Time without an answer after which the limit of a target doubles that has answered no
/// call with an expected time since its start.
const CLOCK_STEP: Duration = Duration::from_millis(250);
/// Time without an answer after which the limit doubles although earlier answers set it.
/// It is longer than most cold starts, so that a pause does not open a cold target.
const STALE_STEP: Duration = Duration::from_secs(5);
/// Longest expected time of calls whose answers the clock waits for. Answers to longer
/// calls come after most cold starts have ended.
const MAX_AWAITED: Duration = Duration::from_secs(1);

/// Changes of a target's pace.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// How often the usable slots were cut.
    pub cuts: u32,
    /// Whether all slots have become usable.
    pub reached_all: bool,
}

/// How a call at the target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum End {
    /// The target answered.
    Answered,
    /// No answer arrived. The time spent is a lower bound of the service time.
    Unanswered,
    /// The target rejected the call.
    Rejected,
    /// The call did not reach the target, or its end says nothing about the target.
    Withdrawn,
}

/// Properties of a call that ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallEnd {
    /// Time at which the call was handed over, on the local clock.
    pub(crate) started_at: Duration,
    /// Time that its route usually takes, if known.
    pub(crate) expected: Option<Duration>,
    /// How it ended.
    pub(crate) end: End,
}

/// Answers that were counted since the limit last changed.
#[derive(Clone, Copy, Debug, Default)]
struct Group {
    answers: u32,
    ratio_sum: f64,
}

/// Limit on the calls in flight at one target.
///
/// Invariant: the limit is at least 1, and below the slots for which it was last computed.
#[derive(Clone, Debug)]
pub(crate) struct Pace {
    /// `None` while all slots are usable.
    limit: Option<u32>,
    /// Time of the last change of the limit. Only calls that start later tell about it.
    changed_at: Duration,
    /// Time of the last counted answer.
    answered_at: Option<Duration>,
    group: Group,
    /// Calls in flight whose answers the clock waits for.
    awaited: u32,
    /// Whether the process was found to be warm before it was given slots.
    warm: bool,
    changes: Changes,
}

impl Pace {
    /// Creates the pace of a target that starts at `now`.
    pub(crate) fn new(now: Duration, slots: u32) -> Self {
        let mut pace = Self {
            limit: None,
            changed_at: now,
            answered_at: None,
            group: Group::default(),
            awaited: 0,
            warm: false,
            changes: Changes::default(),
        };
        pace.start(now, slots, false);
        pace
    }

    /// Records that another process has become the target. `warm` means that it has run
    /// for longer than it takes to warm up.
    pub(crate) fn start(&mut self, now: Duration, slots: u32, warm: bool) {
        self.set_limit(now, None);
        if !warm {
            self.set_limit(now, Some((slots / START_DIVISOR).max(1)));
            self.open_fully_if_reached(slots);
        }
        self.answered_at = None;
        self.awaited = 0;
        self.warm = warm && slots == 0;
    }

    /// Records that a target without slots was given some: it has started, or accepts
    /// calls again after it did not.
    pub(crate) fn on_slots(&mut self, now: Duration, slots: u32) {
        let warm = std::mem::take(&mut self.warm);
        self.start(now, slots, warm);
        self.warm = false;
    }

    /// Returns the number of usable slots.
    pub(crate) fn usable(&self, slots: u32) -> u32 {
        self.limit.map_or(slots, |limit| limit.min(slots))
    }

    /// Records that a call is handed over.
    pub(crate) fn on_started(&mut self, expected: Option<Duration>) {
        self.awaited += u32::from(is_awaited(expected));
    }

    /// Records the end of a call. `usual` is the time that the target itself has taken for
    /// the route so far, for calls without an expected time.
    pub(crate) fn on_ended(
        &mut self,
        now: Duration,
        slots: u32,
        call: &CallEnd,
        usual: Option<Duration>,
    ) {
        self.awaited = self.awaited.saturating_sub(u32::from(is_awaited(call.expected)));
        // Calls that started before the last change ran beside another number of calls.
        if call.started_at < self.changed_at {
            return;
        }
        let expected = call.expected.or(usual).map(|expected| expected.max(MIN_EXPECTED));
        let took = now.saturating_sub(call.started_at);
        let ratio = expected.map(|expected| took.as_secs_f64() / expected.as_secs_f64());
        match (call.end, ratio) {
            (End::Rejected, _) => self.cut(now, slots),
            (End::Answered, Some(ratio)) => self.count(now, slots, ratio),
            (End::Unanswered, Some(ratio)) if ratio > CUT_RATIO => self.count(now, slots, ratio),
            (End::Answered | End::Unanswered | End::Withdrawn, _) => {}
        }
    }

    /// Opens the next step by the clock if there is no answer to decide on it.
    pub(crate) fn tick(&mut self, now: Duration, slots: u32) {
        let Some(limit) = self.limit else {
            return;
        };
        let (step, heard_at) = match self.answered_at {
            Some(answered_at) => (STALE_STEP, answered_at.max(self.changed_at)),
            None => (CLOCK_STEP, self.changed_at),
        };
        if slots > 0 && self.awaited == 0 && now.saturating_sub(heard_at) >= step {
            self.grow(now, slots, limit.saturating_mul(2));
        }
    }

    /// Returns the changes since the last call of this function.
    pub(crate) fn take_changes(&mut self) -> Changes {
        std::mem::take(&mut self.changes)
    }

    fn count(&mut self, now: Duration, slots: u32, ratio: f64) {
        self.answered_at = Some(now);
        self.group.answers += 1;
        self.group.ratio_sum += ratio.min(MAX_RATIO);
        let size = self.usable(slots).max(1);
        // Decided before the group is complete if no further answer can change it.
        if self.group.ratio_sum > CUT_RATIO * f64::from(size) {
            self.cut(now, slots);
            return;
        }
        if self.group.answers < size {
            return;
        }
        let mean = self.group.ratio_sum / f64::from(self.group.answers);
        self.group = Group::default();
        if let Some(limit) = self.limit {
            let next = if mean <= GROWTH_RATIO { limit.saturating_mul(2) } else { limit + 1 };
            self.grow(now, slots, next);
        }
    }

    fn grow(&mut self, now: Duration, slots: u32, limit: u32) {
        self.set_limit(now, Some(limit));
        self.open_fully_if_reached(slots);
    }

    fn open_fully_if_reached(&mut self, slots: u32) {
        if slots > 0 && self.limit.is_some_and(|limit| limit >= slots) {
            self.limit = None;
            self.changes.reached_all = true;
        }
    }

    fn cut(&mut self, now: Duration, slots: u32) {
        let before = self.usable(slots);
        let limit = (before / 2).max(1);
        if limit < before {
            self.changes.cuts += 1;
            self.set_limit(now, Some(limit));
        } else {
            self.group = Group::default();
        }
    }

    fn set_limit(&mut self, now: Duration, limit: Option<u32>) {
        self.limit = limit;
        self.changed_at = now;
        self.group = Group::default();
    }
}

fn is_awaited(expected: Option<Duration>) -> bool {
    expected.is_some_and(|expected| expected <= MAX_AWAITED)
}

#[cfg(test)]
mod tests;
