//! Target processes that have deregistered.
//!
//! A process may deregister when its daemon has only just started and does not
//! know it yet. A late heartbeat of the process must not make it a target again.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use crate::instance::Report;

/// Time after a deregistration within which late heartbeats are expected.
const RETENTION: Duration = Duration::from_secs(30);
/// Maximum number of deregistrations kept; a VM has one target process at a
/// time.
const MAX_PROCESSES: usize = 16;

#[derive(Clone, Debug)]
struct Process {
    instance: Arc<str>,
    /// Start time; a process of the same instance id that started later is
    /// another one.
    born_ms: u64,
    at: Duration,
}

/// Recent deregistrations of target processes of a VM.
#[derive(Clone, Debug, Default)]
pub struct Deregistrations {
    processes: VecDeque<Process>,
}

impl Deregistrations {
    /// Records the deregistration of a process that started at `born_ms`, or no
    /// later than `wall_ms`, the current wall-clock time, if that is not known.
    pub fn record(&mut self, now: Duration, instance: &str, born_ms: Option<u64>, wall_ms: u64) {
        if self.processes.len() >= MAX_PROCESSES {
            self.processes.pop_front();
        }
        let born_ms = born_ms.unwrap_or(wall_ms);
        self.processes.push_back(Process { instance: instance.into(), born_ms, at: now });
    }

    /// Returns whether a report is from a process that has deregistered. A report
    /// without a start time may be from another process of the same instance id,
    /// so it never matches.
    pub fn contains(&self, now: Duration, report: &Report) -> bool {
        let known = report.born_ms > 0;
        known
            && self.processes.iter().any(|process| {
                process.instance == report.instance
                    && report.born_ms <= process.born_ms
                    && now.saturating_sub(process.at) < RETENTION
            })
    }
}

#[cfg(test)]
mod tests;
