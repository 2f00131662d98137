//! Decides which peer to pull a newer version from, and when.

use std::time::Duration;

use indexmap::IndexMap;
use medlarpoint_model::Vm;
use medlarpoint_wire::Tip;

/// Time without a response after which another peer is tried. The response still counts
/// if it arrives later.
const PULL_PATIENCE: Duration = Duration::from_millis(300);
/// Delay after the first failed pull; doubled with each further failure.
const BASE_BACKOFF: Duration = Duration::from_millis(50);
/// Longest delay after failed pulls.
const MAX_BACKOFF: Duration = Duration::from_millis(400);
/// Delay of the second-ranked daemon of a data centre or region.
const SECOND_RANK_DELAY: Duration = Duration::from_millis(150);
/// Delay of lower-ranked daemons before they pull from another data centre of
/// their region.
const SAME_REGION_DELAY: Duration = Duration::from_millis(500);
/// Delay of lower-ranked daemons before they pull from another region; longer,
/// since links between regions are billed by volume.
const OTHER_REGION_DELAY: Duration = Duration::from_millis(1_500);
/// Maximum number of candidate peers kept.
const MAX_CANDIDATES: usize = 8;

/// Network distance to a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// The same data centre.
    Near,
    /// Another data centre of the region.
    Region,
    /// Another region.
    Remote,
}

/// Rank of this daemon among those that may pull across the boundary of a data
/// centre or region.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rank {
    /// Pulls at once.
    First,
    /// Pulls if the first-ranked daemon has not announced the version after a
    /// short delay.
    Second,
    /// Pulls only if no nearer peer has announced the version after a longer
    /// delay.
    Rest,
}

#[derive(Clone, Copy, Debug)]
struct Candidate {
    tip: Tip,
    distance: Distance,
    /// Earliest time of a pull from this peer.
    not_before: Duration,
}

#[derive(Clone, Debug)]
struct InFlight {
    peer: Vm,
    /// Time at which another peer is tried.
    deadline: Duration,
}

/// Schedules pulls: one at a time, unless a peer does not respond, and only while a peer
/// is known to have a newer version.
#[derive(Clone, Debug, Default)]
pub struct Scheduler {
    local: Tip,
    candidates: IndexMap<Vm, Candidate>,
    in_flight: Option<InFlight>,
    failures: u32,
    not_before: Duration,
}

impl Scheduler {
    /// Sets the version in force and drops the candidates that have nothing
    /// newer.
    pub fn set_tip(&mut self, tip: Tip) {
        self.local = tip;
        self.candidates.retain(|_, candidate| candidate.tip.version > tip.version);
    }

    /// Records that a peer has `tip` in force. `rank` is the rank of this
    /// daemon among those that may pull over `distance`. Returns how long a pull
    /// waits if it was delayed in favour of nearer peers.
    pub fn add_candidate(
        &mut self,
        now: Duration,
        peer: &Vm,
        tip: Tip,
        distance: Distance,
        rank: Rank,
    ) -> Option<Duration> {
        if tip.version <= self.local.version {
            return None;
        }
        let wait = delay(distance, rank);
        let candidate = Candidate { tip, distance, not_before: now + wait };
        if let Some(known) = self.candidates.get_mut(peer) {
            known.tip = known.tip.max(tip);
            return None;
        }
        if self.candidates.len() >= MAX_CANDIDATES {
            let farthest = self.candidates.iter().max_by_key(|(_, c)| c.distance);
            let farther = farthest.filter(|(_, c)| c.distance > distance);
            let key = farther.map(|(key, _)| key.clone())?;
            self.candidates.swap_remove(&key);
        }
        self.candidates.insert(peer.clone(), candidate);
        (!wait.is_zero()).then_some(wait)
    }

    /// Ends the waits for nearer peers: pulls may start at `now` from every candidate.
    pub fn expedite(&mut self, now: Duration) {
        for candidate in self.candidates.values_mut() {
            candidate.not_before = candidate.not_before.min(now);
        }
    }

    /// Returns the peer to pull from now, if any. The caller must report the
    /// end of the pull with [`Scheduler::on_finished`].
    pub fn next_peer(&mut self, now: Duration) -> Option<Vm> {
        if let Some(in_flight) = &self.in_flight {
            if now < in_flight.deadline {
                return None;
            }
            let peer = in_flight.peer.clone();
            self.on_finished(now, &peer, false);
        }
        if now < self.not_before {
            return None;
        }
        let ready = self.candidates.iter().filter(|(_, c)| c.not_before <= now);
        let (peer, _) = ready.min_by_key(|(_, c)| (c.distance, c.not_before))?;
        let peer = peer.clone();
        self.in_flight = Some(InFlight { peer: peer.clone(), deadline: now + PULL_PATIENCE });
        Some(peer)
    }

    /// Records the end of a pull. A pull that left this daemon behind the version
    /// announced by the peer counts as failed. The end of a pull that took longer than
    /// [`PULL_PATIENCE`] is ignored: it has counted as failed already.
    pub fn on_finished(&mut self, now: Duration, peer: &Vm, success: bool) {
        if self.in_flight.as_ref().is_none_or(|in_flight| in_flight.peer != *peer) {
            return;
        }
        self.in_flight = None;
        let progressed =
            self.candidates.get(peer).is_none_or(|c| c.tip.version <= self.local.version);
        if success && progressed {
            self.failures = 0;
            return;
        }
        // The peer does not have the version it announced, or is unreachable.
        // Its next probe makes it a candidate again.
        self.candidates.swap_remove(peer);
        let wait = BASE_BACKOFF.saturating_mul(1 << self.failures.min(8)).min(MAX_BACKOFF);
        self.failures += 1;
        if self.candidates.is_empty() {
            self.not_before = now + wait;
        }
    }

    /// Returns the earliest time at which [`Scheduler::next_peer`] may return a
    /// peer.
    pub fn next_wake(&self) -> Option<Duration> {
        if let Some(in_flight) = &self.in_flight {
            return Some(in_flight.deadline);
        }
        let first = self.candidates.values().map(|c| c.not_before).min()?;
        Some(first.max(self.not_before))
    }
}

fn delay(distance: Distance, rank: Rank) -> Duration {
    match (distance, rank) {
        (Distance::Near, _) | (_, Rank::First) => Duration::ZERO,
        (_, Rank::Second) => SECOND_RANK_DELAY,
        (Distance::Region, Rank::Rest) => SAME_REGION_DELAY,
        (Distance::Remote, Rank::Rest) => OTHER_REGION_DELAY,
    }
}

#[cfg(test)]
mod tests;
