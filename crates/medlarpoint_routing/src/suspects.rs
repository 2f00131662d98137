//! Calls under which targets have crashed, and how long they are kept from running again.
//!
//! A call that crashes each target that runs it (a query of death) takes one target after
//! the other from all other calls. Which of the calls that a process was running is the
//! cause does not show at once: each is a suspect, until it completes somewhere or further
//! processes end under it. A suspect may run again after a backoff that grows with the
//! crashes in a row, as for a process in a crash loop.
//!
//! Daemons exchange what they know as [`Report`]s. A run starts with the suspicion that is
//! known at that time and its end adds one crash to that, so that targets that end at the
//! same moment for another reason add one crash to a call together, and the order in which
//! reports arrive does not matter.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use indexmap::IndexMap;
use medlarpoint_model::Fingerprint;

use crate::RunEnd;

/// Crashes in a row after which a call may run again at once. One crash says little of a
/// call that ran beside others.
const FREE_CRASHES: u32 = 1;
/// Backoff after the first crash beyond [`FREE_CRASHES`], in which targets return.
const FIRST_BACKOFF: Duration = Duration::from_secs(5);
/// Factor by which the backoff grows with each further crash.
const BACKOFF_FACTOR: u32 = 10;
/// Upper bound on the backoff, after which a target that has been mended serves the call.
const MAX_BACKOFF: Duration = Duration::from_secs(15 * 60);
/// Time after its last crash for which a call is remembered.
const RETENTION: Duration = Duration::from_secs(30 * 60);
/// Limit on the calls that are remembered.
const MAX_CALLS: usize = 1_024;
/// Limit on the calls that one crash makes suspects, so that they fit into one datagram.
const MAX_CALLS_PER_CRASH: usize = 24;
/// Difference in age from which a report of a known crash counts as news: the call has
/// begun to run once more.
const RENEWAL_STEP: Duration = Duration::from_secs(1);
/// Number of times that a change is passed on with other messages.
const RETRANSMISSIONS: u32 = 12;

/// What the ends of its runs say about a call. The greater of two values is the newer one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Suspicion {
    /// Number of times that the call was cleared because a target answered it.
    pub acquittals: u32,
    /// Number of crashes in a row since it was last cleared.
    pub crashes: u32,
}

impl Suspicion {
    /// Returns the suspicion after a target has crashed under the call.
    fn after_crash(self) -> Self {
        Self { crashes: self.crashes.saturating_add(1), ..self }
    }

    /// Returns the suspicion after a target has answered the call.
    fn after_response(self) -> Self {
        Self { acquittals: self.acquittals.saturating_add(1), crashes: 0 }
    }

    /// Returns the time after the last crash for which the call may not run.
    fn backoff(self) -> Duration {
        let Some(further) = self.crashes.checked_sub(FREE_CRASHES + 1) else {
            return Duration::ZERO;
        };
        let factor = BACKOFF_FACTOR.saturating_pow(further);
        FIRST_BACKOFF.saturating_mul(factor).min(MAX_BACKOFF)
    }

    /// Returns whether the last run of the call ended with a crash.
    pub fn is_suspect(self) -> bool {
        self.crashes > 0
    }
}

/// What one daemon tells another about a call. Its text form is sent with attempts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// What is known about the call.
    pub suspicion: Suspicion,
    /// Time since its last crash, or since it began to run once more.
    pub age: Duration,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Suspicion { acquittals, crashes } = self.suspicion;
        write!(f, "{acquittals},{crashes},{}", self.age.as_millis())
    }
}

/// Error for a text that is not a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidReport;

impl FromStr for Report {
    type Err = InvalidReport;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut numbers = text.split(',').map(str::parse::<u64>);
        let mut next = || numbers.next().and_then(Result::ok).ok_or(InvalidReport);
        let (acquittals, crashes, age_ms) = (next()?, next()?, next()?);
        let count = |number| u32::try_from(number).map_err(|_| InvalidReport);
        let suspicion = Suspicion { acquittals: count(acquittals)?, crashes: count(crashes)? };
        Ok(Self { suspicion, age: Duration::from_millis(age_ms) })
    }
}

/// Decision on a call that is about to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The call may run.
    Run,
    /// The call may run after this time at the earliest.
    Backoff(Duration),
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    report: Report,
    /// Time on the local clock at which the report had its age.
    as_of: Duration,
    /// Number of times that the report was passed on with other messages.
    sent: u32,
}

impl Entry {
    fn report(&self, now: Duration) -> Report {
        Report { age: self.report.age + now.saturating_sub(self.as_of), ..self.report }
    }

    fn verdict(&self, now: Duration) -> Verdict {
        let report = self.report(now);
        let remaining = report.suspicion.backoff().saturating_sub(report.age);
        if remaining.is_zero() { Verdict::Run } else { Verdict::Backoff(remaining) }
    }
}

/// The calls under which targets have crashed, as one daemon knows them.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    calls: IndexMap<Fingerprint, Entry>,
    /// Calls whose change has to be broadcast.
    changed: Vec<Fingerprint>,
}

impl Suspects {
    /// Returns the number of calls that are remembered.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Returns whether no call is remembered.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Returns what is known about a call, or `None` if nothing is.
    pub fn report(&self, now: Duration, call: Fingerprint) -> Option<Report> {
        Some(self.calls.get(&call)?.report(now))
    }

    /// Returns what is known about a call; nothing is known about most.
    pub fn suspicion(&self, call: Fingerprint) -> Suspicion {
        self.calls.get(&call).map(|entry| entry.report.suspicion).unwrap_or_default()
    }

    /// Returns whether a call may run now.
    pub fn verdict(&self, now: Duration, call: Fingerprint) -> Verdict {
        self.calls.get(&call).map_or(Verdict::Run, |entry| entry.verdict(now))
    }

    /// Records that a call begins to run, if it may. Its backoff starts anew, so that other
    /// daemons do not run it as well until this run has ended.
    pub fn begin(&mut self, now: Duration, call: Fingerprint) -> Verdict {
        let verdict = self.verdict(now, call);
        if verdict != Verdict::Run {
            return verdict;
        }
        if let Some(entry) = self.calls.get_mut(&call)
            && !entry.report.suspicion.backoff().is_zero()
        {
            let suspicion = entry.report.suspicion;
            self.set(now, call, Report { suspicion, age: Duration::ZERO });
            self.changed.push(call);
        }
        Verdict::Run
    }

    /// Records that a target has answered a call that began to run with `known`.
    pub fn on_response(&mut self, now: Duration, call: Fingerprint, known: Suspicion) {
        let current = self.suspicion(call);
        if !current.is_suspect() || current.acquittals != known.acquittals {
            return;
        }
        self.set(now, call, Report { suspicion: current.after_response(), age: Duration::ZERO });
        self.changed.push(call);
    }

    /// Records that a process of the target has ended. Returns the calls that it was running
    /// and whose suspicion this has raised.
    ///
    /// A target that has answered no call may be unable to run any, so that its end says
    /// little about the calls: they are only kept apart for the first backoff.
    pub fn on_run_end(&mut self, now: Duration, end: &RunEnd) -> Vec<(Fingerprint, Suspicion)> {
        let mut raised: Vec<(Fingerprint, Suspicion)> = Vec::new();
        for call in &end.calls {
            let current = self.suspicion(call.fingerprint);
            let mut raised_to = call.known.after_crash();
            if !end.had_answered {
                raised_to.crashes = raised_to.crashes.min(FREE_CRASHES + 1);
            }
            if raised_to > current {
                raised.push((call.fingerprint, raised_to));
            }
        }
        raised.sort_by_key(|(_, suspicion)| std::cmp::Reverse(suspicion.crashes));
        raised.truncate(MAX_CALLS_PER_CRASH);
        for (call, suspicion) in &raised {
            self.set(now, *call, Report { suspicion: *suspicion, age: Duration::ZERO });
            self.changed.push(*call);
        }
        raised
    }

    /// Merges a report of another daemon. Returns whether it is news.
    pub fn merge(&mut self, now: Duration, call: Fingerprint, report: Report) -> bool {
        if report.age >= RETENTION || report.suspicion == Suspicion::default() {
            return false;
        }
        let is_news = self.report(now, call).is_none_or(|known| {
            let is_renewed = known.age > report.age + RENEWAL_STEP;
            report.suspicion > known.suspicion
                || (report.suspicion == known.suspicion && is_renewed)
        });
        if is_news {
            self.set(now, call, report);
        }
        is_news
    }

    /// Returns the reports that have to be broadcast, and forgets that they have.
    pub fn take_changed(&mut self, now: Duration) -> Vec<(Fingerprint, Report)> {
        let mut changed = std::mem::take(&mut self.changed);
        changed.sort_unstable();
        changed.dedup();
        let reports = changed.into_iter().filter_map(|call| Some((call, self.report(now, call)?)));
        reports.collect()
    }

    /// Returns up to `count` reports to be passed on with another message, those sent least
    /// often first. Calls that may not run are passed on as long as that holds.
    pub fn take_gossip(&mut self, now: Duration, count: usize) -> Vec<(Fingerprint, Report)> {
        let due = self.calls.iter().filter(|(_, entry)| {
            entry.sent < RETRANSMISSIONS || entry.verdict(now) != Verdict::Run
        });
        let mut due: Vec<(u32, Fingerprint)> =
            due.map(|(call, entry)| (entry.sent, *call)).collect();
        due.sort_unstable();
        due.truncate(count);
        let mut reports = Vec::new();
        for (_, call) in due {
            if let Some(entry) = self.calls.get_mut(&call) {
                entry.sent += 1;
                reports.push((call, entry.report(now)));
            }
        }
        reports
    }

    /// Returns up to `count` reports for a daemon that starts, those with most crashes first.
    pub fn reports(&self, now: Duration, count: usize) -> Vec<(Fingerprint, Report)> {
        let suspects = self.calls.iter().filter(|(_, entry)| entry.report.suspicion.is_suspect());
        let mut reports: Vec<(Fingerprint, Report)> =
            suspects.map(|(call, entry)| (*call, entry.report(now))).collect();
        reports
            .sort_by_key(|(_, report)| (std::cmp::Reverse(report.suspicion.crashes), report.age));
        reports.truncate(count);
        reports
    }

    /// Forgets calls whose last crash was long ago.
    pub fn sweep(&mut self, now: Duration) {
        self.calls.retain(|_, entry| entry.report(now).age < RETENTION);
    }

    fn set(&mut self, now: Duration, call: Fingerprint, report: Report) {
        if self.calls.len() >= MAX_CALLS && !self.calls.contains_key(&call) {
            self.evict(now);
        }
        self.calls.insert(call, Entry { report, as_of: now, sent: 0 });
    }

    /// Forgets the call that is the least likely to crash a target.
    fn evict(&mut self, now: Duration) {
        let least = self.calls.iter().min_by_key(|(_, entry)| {
            let report = entry.report(now);
            (report.suspicion.crashes, std::cmp::Reverse(report.age))
        });
        if let Some(call) = least.map(|(call, _)| *call) {
            self.calls.swap_remove(&call);
        }
    }
}

#[cfg(test)]
mod tests;
