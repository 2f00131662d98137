//! The process that is the target of this VM.
//!
//! The target of a VM may be replaced by another process, and reports of the
//! earlier process may arrive late. The order is therefore determined by the
//! start times and sequence numbers in the reports, not by their arrival.

use std::sync::Arc;
use std::time::Duration;

/// Time without a report after which a process may be replaced by one with an
/// earlier start time, since the wall clock may have been set back.
const TAKEOVER_TIMEOUT: Duration = Duration::from_secs(4);

/// A report of a process about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// Instance id of the process.
    pub instance: Arc<str>,
    /// Start time, in milliseconds since the Unix epoch; zero if unknown.
    pub born_ms: u64,
    /// Sequence number; increases with each report of a process.
    pub seq: u64,
    /// Whether the process is shutting down and accepts no new work.
    pub draining: bool,
}

/// The process that is currently the target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    report: Report,
    last_report_at: Duration,
    /// Whether the process has deregistered, or has said in a response that it leaves.
    leaving: bool,
}

/// Effect of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The report is outdated and was ignored: a newer one was applied before,
    /// or the process has deregistered.
    Late,
    /// The state of the process is unchanged.
    Unchanged,
    /// The process started or stopped draining.
    ReadinessChanged,
    /// Another process has become the target.
    Replaced,
}

impl Instance {
    /// Returns the newest report.
    pub fn report(&self) -> &Report {
        &self.report
    }

    /// Returns the start time and the instance id, which together identify the process.
    pub fn identity(&self) -> (u64, &str) {
        (self.report.born_ms, &self.report.instance)
    }

    /// Returns the time of the newest report, on the local clock.
    pub fn last_report_at(&self) -> Duration {
        self.last_report_at
    }

    /// Returns whether the process accepts new work.
    pub fn accepts_work(&self) -> bool {
        !self.report.draining && !self.leaving
    }

    /// Returns whether the process has deregistered or has said that it leaves.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Applies a report to `current`, the process known so far, and returns its
    /// effect.
    pub fn apply(current: &mut Option<Self>, now: Duration, report: Report) -> Effect {
        let effect =
            current.as_ref().map_or(Effect::Replaced, |known| known.effect_of(now, &report));
        match (effect, current.as_mut()) {
            (Effect::Late, _) => {}
            (Effect::Unchanged | Effect::ReadinessChanged, Some(known)) => {
                known.report = report;
                known.last_report_at = now;
            }
            _ => *current = Some(Self { report, last_report_at: now, leaving: false }),
        }
        effect
    }

    /// Applies the deregistration of a process. Returns whether that process was
    /// the target.
    pub fn deregister(&mut self, instance: &str, born_ms: Option<u64>) -> bool {
        let same = &*self.report.instance == instance;
        let not_older = born_ms.is_none_or(|born| born >= self.report.born_ms);
        if same && not_older {
            self.leaving = true;
        }
        same && not_older
    }

    /// Records that the process has said that it leaves. Returns whether that is new.
    pub fn leave(&mut self) -> bool {
        let is_new = self.accepts_work();
        self.leaving = true;
        is_new
    }

    fn effect_of(&self, now: Duration, report: &Report) -> Effect {
        let is_silent = now.saturating_sub(self.last_report_at) >= TAKEOVER_TIMEOUT;
        let older = report.born_ms < self.report.born_ms && report.born_ms > 0;
        if older && !is_silent {
            return Effect::Late;
        }
        let same = report.instance == self.report.instance;
        if !same || report.born_ms != self.report.born_ms {
            return Effect::Replaced;
        }
        let left_meanwhile = self.leaving && !report.draining;
        if report.seq <= self.report.seq || left_meanwhile {
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
