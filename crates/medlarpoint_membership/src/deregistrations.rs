//! Processes that have said that they leave.
//!
//! A process may leave while the daemon beside it has only just started and
//! does not know it yet; a heartbeat of its that comes later is no reason to
//! give it work.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use crate::instance::Report;

/// Time for which heartbeats of a process that has left may still come.
const KEEP: Duration = Duration::from_secs(30);
/// Processes remembered; a VM has one at a time.
const MAX_PROCESSES: usize = 16;

#[derive(Clone, Debug)]
struct Process {
    instance: Arc<str>,
    /// Those of the same identity that started later are other processes.
    born_ms: u64,
    at: Duration,
}

/// The processes of a VM that have left lately.
#[derive(Clone, Debug, Default)]
pub struct Deregistrations {
    processes: VecDeque<Process>,
}

impl Deregistrations {
    /// Notes that a process leaves that started at `born_ms`, or that runs now
    /// where that is not known.
    pub fn record(&mut self, now: Duration, instance: &str, born_ms: Option<u64>, wall_ms: u64) {
        if self.processes.len() >= MAX_PROCESSES {
            self.processes.pop_front();
        }
        let born_ms = born_ms.unwrap_or(wall_ms);
        self.processes.push_back(Process { instance: instance.into(), born_ms, at: now });
    }

    /// Tells whether a report is of a process that has left. One that does not
    /// say when it started may be another process of the same identity.
    pub fn contains(&self, now: Duration, report: &Report) -> bool {
        let known = report.born_ms > 0;
        known
            && self.processes.iter().any(|process| {
                process.instance == report.instance
                    && report.born_ms <= process.born_ms
                    && now.saturating_sub(process.at) < KEEP
            })
    }
}

#[cfg(test)]
mod tests;
