//! Which process is the target of this VM.
//!
//! A VM's target is replaced now and then, and reports of an earlier process
//! may arrive late. The reports' own order decides, not their arrival.

use std::sync::Arc;
use std::time::Duration;

/// Silence after which a process no longer holds its place against one that
/// seems older: wall clocks may have been set back in between.
const HOLD_TIME: Duration = Duration::from_secs(4);

/// What a process says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// Identity of the process.
    pub instance: Arc<str>,
    /// When it started, in milliseconds since the Unix epoch; zero if unknown.
    pub born_ms: u64,
    /// Rises with each report of a process.
    pub seq: u64,
    /// It leaves and takes no new work.
    pub draining: bool,
}

/// The process that is taken to be the target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    report: Report,
    heard: Duration,
    left: bool,
}

/// What a report changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// It is late: a newer report has been taken.
    Late,
    /// The process is as it was.
    Unchanged,
    /// The process began or ceased to leave.
    ReadinessChanged,
    /// Another process is the target.
    Replaced,
}

impl Instance {
    /// Returns the newest report.
    pub fn report(&self) -> &Report {
        &self.report
    }

    /// Returns when it was last heard of, on the local clock.
    pub fn last_report_at(&self) -> Duration {
        self.heard
    }

    /// Tells whether it takes new work.
    pub fn accepts_work(&self) -> bool {
        !self.report.draining && !self.left
    }

    /// Takes a report into the place that `place` holds.
    pub fn apply(place: &mut Option<Self>, now: Duration, report: Report) -> Effect {
        let verdict = place.as_ref().map_or(Effect::Replaced, |known| known.judge(now, &report));
        match (verdict, place.as_mut()) {
            (Effect::Late, _) => {}
            (Effect::Unchanged | Effect::ReadinessChanged, Some(known)) => {
                known.report = report;
                known.heard = now;
            }
            _ => *place = Some(Self { report, heard: now, left: false }),
        }
        verdict
    }

    /// Takes the deregistration of a process. Returns whether it was the target.
    pub fn deregister(&mut self, instance: &str, born_ms: Option<u64>) -> bool {
        let same = &*self.report.instance == instance;
        let current = born_ms.is_none_or(|born| born >= self.report.born_ms);
        if same && current {
            self.left = true;
        }
        same && current
    }

    fn judge(&self, now: Duration, report: &Report) -> Effect {
        let silent = now.saturating_sub(self.heard) >= HOLD_TIME;
        let older = report.born_ms < self.report.born_ms && report.born_ms > 0;
        if older && !silent {
            return Effect::Late;
        }
        let same = report.instance == self.report.instance;
        if !same || report.born_ms != self.report.born_ms {
            return Effect::Replaced;
        }
        if report.seq <= self.report.seq || self.left {
            return Effect::Late;
        }
        if report.draining == self.report.draining {
            Effect::Unchanged
        } else {
            Effect::ReadinessChanged
        }
    }
}

#[cfg(test)]
mod tests;
