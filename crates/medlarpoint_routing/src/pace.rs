//! Pace of a target: the limit on its calls in flight while it is cold or overloaded.
//!
//! A target that has just started takes longer for each call than its warm peers, and a
//! fixed time says nothing about when that ends. The limit therefore follows from the
//! target's answers, compared with the times that their routes usually take.

use std::time::Duration;

use indexmap::IndexMap;

use crate::AttemptId;

/// Divisor of the slots that gives the limit of a target that has just started.
const START_DIVISOR: u32 = 4;
/// Divisor of the slots that gives the step of the limit above the limit after the last cut.
const STEP_DIVISOR: u32 = 8;
/// Mean of service time over expected time up to which the limit doubles.
const GROWTH_RATIO: f64 = 1.5;
/// Mean of service time over expected time from which the limit is halved.
const CUT_RATIO: f64 = 2.5;
/// Largest ratio that one answer counts with, so that a single straggler among several
/// answers does not halve the limit.
const MAX_RATIO: f64 = 5.0;
/// Smallest number of answers that halve the limit if it is higher.
const MIN_CUT_GROUP: u32 = 4;
/// Shortest expected time. Below it, answers vary by more than [`CUT_RATIO`] through the
/// scheduling of processes alone.
const MIN_EXPECTED: Duration = Duration::from_millis(5);
/// Time after which the limit of a target doubles that has answered no call with an
/// expected time since its start.
const CLOCK_STEP: Duration = Duration::from_millis(250);
/// Time without an answer after which the limit doubles although earlier answers set it.
/// It is long against pauses between calls, which say nothing about the target.
const STALE_STEP: Duration = Duration::from_secs(2);
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
    /// Attempt of the call.
    pub(crate) attempt: AttemptId,
    /// Time at which the call was handed over, on the local clock.
    pub(crate) started_at: Duration,
    /// Time that its route usually takes, if known.
    pub(crate) expected: Option<Duration>,
    /// How it ended.
    pub(crate) end: End,
}

/// A call in flight with an expected time.
#[derive(Clone, Copy, Debug)]
struct Running {
    started_at: Duration,
    expected: Duration,
}

impl Running {
    /// Returns the time in flight over the expected time, if the call takes so long that it
    /// is a sign of overload before its answer.
    fn overdue_ratio(&self, now: Duration) -> Option<f64> {
        let ratio = ratio(now.saturating_sub(self.started_at), self.expected);
        (ratio > CUT_RATIO).then_some(ratio)
    }
}

/// Answers that were counted since the limit last changed.
#[derive(Clone, Copy, Debug, Default)]
struct Group {
    answers: u32,
    ratio_sum: f64,
}

impl Group {
    fn add(&mut self, ratio: f64) {
        self.answers += 1;
        self.ratio_sum += ratio.min(MAX_RATIO);
    }
}

/// Limit on the calls in flight at one target.
///
/// Invariant: the limit is at least 1, and below the slots for which it was last computed
/// unless these were zero.
#[derive(Clone, Debug)]
pub(crate) struct Pace {
    /// `None` while all slots are usable.
    limit: Option<u32>,
    /// Time of the last change of the limit. Only calls that start later tell about it.
    changed_at: Duration,
    /// Time of the last answer that could be compared with other targets. Until the first,
    /// the limit also rises by the clock.
    compared_at: Option<Duration>,
    group: Group,
    /// Limit after the last cut since the start. Above it, the limit rises by small steps,
    /// since doubling would soon exceed the limit before the cut.
    cut_to: Option<u32>,
    /// Calls in flight with an expected time.
    running: IndexMap<AttemptId, Running>,
    /// Largest number of such calls at a time since the group began.
    peak: usize,
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
            compared_at: None,
            group: Group::default(),
            cut_to: None,
            running: IndexMap::new(),
            peak: 0,
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
        self.compared_at = None;
        self.cut_to = None;
        self.running.clear();
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
    pub(crate) fn on_started(
        &mut self,
        now: Duration,
        attempt: AttemptId,
        expected: Option<Duration>,
    ) {
        if let Some(expected) = expected {
            self.running.insert(attempt, Running { started_at: now, expected });
            self.peak = self.peak.max(self.running.len());
        }
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
        self.running.swap_remove(&call.attempt);
        // Calls that started before the last change ran beside another number of calls.
        if call.started_at < self.changed_at {
            return;
        }
        let took = now.saturating_sub(call.started_at);
        let ratio = call.expected.or(usual).map(|expected| ratio(took, expected));
        if call.expected.is_some() && call.end != End::Withdrawn {
            self.compared_at = Some(now);
        }
        match (call.end, ratio) {
            (End::Rejected, _) => self.cut(now, slots),
            (End::Answered, Some(ratio)) => self.count(now, slots, ratio),
            (End::Unanswered, Some(ratio)) if ratio > CUT_RATIO => self.count(now, slots, ratio),
            (End::Answered | End::Unanswered | End::Withdrawn, _) => {}
        }
    }

    /// Cuts the limit if calls in flight are overdue, and opens the next step by the clock if
    /// there is no answer to decide on it.
    pub(crate) fn tick(&mut self, now: Duration, slots: u32) {
        let recent = self.running.values().filter(|call| call.started_at >= self.changed_at);
        let mut overdue = Group::default();
        recent.filter_map(|call| call.overdue_ratio(now)).for_each(|ratio| overdue.add(ratio));
        if overdue.answers > 0 && self.is_overloaded(slots, overdue) {
            self.compared_at = Some(now);
            self.cut(now, slots);
            return;
        }
        let Some(limit) = self.limit else {
            return;
        };
        let (step, heard_at) = match self.compared_at {
            Some(compared_at) => (STALE_STEP, compared_at.max(self.changed_at)),
            None => (CLOCK_STEP, self.changed_at),
        };
        if slots > 0 && !self.awaits_answers() && now.saturating_sub(heard_at) >= step {
            self.grow(now, slots, limit.saturating_mul(2));
        }
    }

    /// Returns the changes since the last call of this function.
    pub(crate) fn take_changes(&mut self) -> Changes {
        std::mem::take(&mut self.changes)
    }

    fn count(&mut self, now: Duration, slots: u32, ratio: f64) {
        self.group.add(ratio);
        let size = self.usable(slots).max(1);
        if self.is_overloaded(slots, Group::default()) {
            self.cut(now, slots);
            return;
        }
        if self.group.answers < size {
            return;
        }
        let mean = self.group.ratio_sum / f64::from(self.group.answers);
        let peak = self.begin_group();
        if let Some(limit) = self.limit {
            // Answers of a target that is hardly used tell little about more calls.
            let is_used = peak * 2 >= limit as usize;
            let is_quick = mean <= GROWTH_RATIO;
            let next = if is_quick && is_used { self.next_limit(slots, limit) } else { limit + 1 };
            self.grow(now, slots, next);
        }
    }

    /// Returns the limit after a group of quick answers.
    fn next_limit(&self, slots: u32, limit: u32) -> u32 {
        let doubled = limit.saturating_mul(2);
        let Some(cut_to) = self.cut_to else {
            return doubled;
        };
        let step = limit.saturating_add((slots / STEP_DIVISOR).max(1));
        step.max(doubled.min(cut_to))
    }

    /// Returns whether the mean of the answers, with the calls in flight that are overdue, will
    /// exceed [`CUT_RATIO`] whatever the further answers are. If fewer calls than the limit
    /// were in flight, as many answers as that decide.
    fn is_overloaded(&self, slots: u32, overdue: Group) -> bool {
        let in_flight = u32::try_from(self.peak).unwrap_or(u32::MAX).max(MIN_CUT_GROUP);
        let size = self.usable(slots).min(in_flight).max(1);
        let answers = (self.group.answers + overdue.answers).max(size);
        self.group.ratio_sum + overdue.ratio_sum > CUT_RATIO * f64::from(answers)
    }

    /// Returns whether the answer to a call in flight is to be waited for.
    fn awaits_answers(&self) -> bool {
        self.running.values().any(|call| call.expected <= MAX_AWAITED)
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
            self.cut_to = Some(limit);
            self.set_limit(now, Some(limit));
        } else {
            self.begin_group();
        }
    }

    fn set_limit(&mut self, now: Duration, limit: Option<u32>) {
        self.limit = limit;
        self.changed_at = now;
        self.begin_group();
    }

    /// Begins a group of answers. Returns the largest number of calls in flight during the
    /// group before.
    fn begin_group(&mut self) -> usize {
        self.group = Group::default();
        std::mem::replace(&mut self.peak, self.running.len())
    }
}

fn ratio(took: Duration, expected: Duration) -> f64 {
    took.as_secs_f64() / expected.max(MIN_EXPECTED).as_secs_f64()
}

#[cfg(test)]
mod tests;
