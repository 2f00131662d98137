//! A stand-in of a target, whose calls share what it can do at a time.

use std::time::Duration;

use medlarpoint_routing::{AttemptId, Intake};

use crate::fleet::SLOTS;

/// How much slower than a warm target one is.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Slowness {
    /// Each call takes this many times as long, however many run.
    EachCall(f64),
    /// The target does this many times less work at a time: with few calls in flight each
    /// is quick, with all slots in use each takes this many times as long.
    Capacity(f64),
}

/// A call that the target runs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Work {
    pub(crate) attempt: AttemptId,
    pub(crate) since: Duration,
    /// Time of the call's arrival at the caller's daemon.
    pub(crate) arrived: Duration,
    left: Duration,
}

/// A target with its intake.
pub(crate) struct Target {
    pub(crate) intake: Option<Intake<()>>,
    pub(crate) boot: u64,
    pub(crate) started_at: Duration,
    pub(crate) running: Vec<Work>,
    /// How slow it is, and until when.
    pub(crate) slow: Option<(Slowness, Duration)>,
    /// Limit on the calls per second that it names.
    pub(crate) per_second: Option<f64>,
    /// Number of calls in flight from which it rejects others.
    pub(crate) max_in_flight: Option<usize>,
    /// Largest number of calls at a time that ran beyond their target latency.
    pub(crate) max_late_running: usize,
    /// Largest number of calls at a time that waited beyond their target latency.
    pub(crate) max_late_queued: usize,
    /// Times at which calls began.
    pub(crate) begun: Vec<Duration>,
}

impl Target {
    pub(crate) fn new() -> Self {
        Self {
            intake: None,
            boot: 0,
            started_at: Duration::ZERO,
            running: Vec::new(),
            slow: None,
            per_second: None,
            max_in_flight: None,
            max_late_running: 0,
            max_late_queued: 0,
            begun: Vec::new(),
        }
    }

    pub(crate) fn begin(
        &mut self,
        now: Duration,
        attempt: AttemptId,
        arrived: Duration,
        work: Duration,
    ) {
        self.begun.push(now);
        self.running.push(Work { attempt, since: now, arrived, left: work });
    }

    /// Returns whether the target rejects the call that began last.
    pub(crate) fn rejects(&self, now: Duration) -> bool {
        let is_slow = self.slow.is_some_and(|(_, until)| now < until);
        is_slow && self.max_in_flight.is_some_and(|max| self.running.len() > max)
    }

    /// Does the work of a step and returns the calls that are done.
    pub(crate) fn progress(&mut self, now: Duration, step: Duration) -> Vec<Work> {
        let slowness = self.slow.filter(|(_, until)| now < *until).map(|(slowness, _)| slowness);
        let rate = match slowness {
            None => 1.0,
            Some(Slowness::EachCall(factor)) => 1.0 / factor,
            Some(Slowness::Capacity(factor)) => {
                let parallel = f64::from(SLOTS) / factor;
                (parallel / self.running.len().max(1) as f64).min(1.0)
            }
        };
        let done = step.mul_f64(rate);
        for work in &mut self.running {
            work.left = work.left.saturating_sub(done);
        }
        self.running.extract_if(.., |work| work.left.is_zero()).collect()
    }

    /// Returns how many calls run beyond their target latency.
    pub(crate) fn count_late(&self, now: Duration, target_latency: Duration) -> usize {
        let is_late = |work: &&Work| now.saturating_sub(work.arrived) > target_latency;
        self.running.iter().filter(is_late).count()
    }
}
