//! Decides whom to ask for a newer version.

use std::time::Duration;

use indexmap::IndexMap;
use medlarpoint_model::Vm;
use medlarpoint_wire::Tip;

/// Time a pull may take before another peer is asked.
const PULL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time to wait after a failed pull, doubled each time.
const BACKOFF: Duration = Duration::from_millis(50);
/// Longest wait after failed pulls.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Wait of the second relay of a data centre or region.
const SECOND_DELAY: Duration = Duration::from_millis(150);
/// Wait of daemons that are not relays before they fetch from another data
/// centre themselves.
const LOCAL_DELAY: Duration = Duration::from_millis(500);
/// The same for another region, whose link is paid by volume.
const REGION_DELAY: Duration = Duration::from_millis(1_500);
/// Announcing peers remembered.
const MAX_CANDIDATES: usize = 8;

/// How far away an announcing peer is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// The same data centre.
    Near,
    /// Another data centre of the region.
    Region,
    /// Another region.
    Remote,
}

/// This daemon's place among those that fetch across a boundary.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rank {
    /// Fetches at once.
    First,
    /// Fetches if the first has not announced it shortly.
    Second,
    /// Fetches only if nobody announces it.
    Rest,
}

#[derive(Clone, Copy, Debug)]
struct Candidate {
    tip: Tip,
    distance: Distance,
    /// Earliest time to ask this peer.
    not_before: Duration,
}

#[derive(Clone, Debug)]
struct Flight {
    peer: Vm,
    deadline: Duration,
}

/// Keeps one pull in flight while a peer is known to have a newer version.
#[derive(Clone, Debug, Default)]
pub struct Scheduler {
    have: Tip,
    candidates: IndexMap<Vm, Candidate>,
    flight: Option<Flight>,
    failures: u32,
    not_before: Duration,
}

impl Scheduler {
    /// Notes the version in force and forgets peers that have nothing newer.
    pub fn set_tip(&mut self, tip: Tip) {
        self.have = tip;
        self.candidates.retain(|_, candidate| candidate.tip.version > tip.version);
    }

    /// Notes that a peer has `tip` in force. `order` is this daemon's place
    /// among those that fetch across the boundary given by `distance`.
    pub fn add_candidate(
        &mut self,
        now: Duration,
        peer: &Vm,
        tip: Tip,
        distance: Distance,
        order: Rank,
    ) {
        if tip.version <= self.have.version {
            return;
        }
        let not_before = now + delay(distance, order);
        let candidate = Candidate { tip, distance, not_before };
        if let Some(known) = self.candidates.get_mut(peer) {
            known.tip = known.tip.max(tip);
            return;
        }
        if self.candidates.len() < MAX_CANDIDATES {
            self.candidates.insert(peer.clone(), candidate);
            return;
        }
        let farthest = self.candidates.iter().max_by_key(|(_, c)| c.distance);
        let Some(key) = farthest.filter(|(_, c)| c.distance > distance).map(|(k, _)| k.clone())
        else {
            return;
        };
        self.candidates.swap_remove(&key);
        self.candidates.insert(peer.clone(), candidate);
    }

    /// Returns the peer to pull from now, if any. The caller reports the end
    /// of the pull with [`Scheduler::on_finished`].
    pub fn next_peer(&mut self, now: Duration) -> Option<Vm> {
        if let Some(flight) = &self.flight {
            if now < flight.deadline {
                return None;
            }
            let peer = flight.peer.clone();
            self.on_finished(now, &peer, false);
        }
        if now < self.not_before {
            return None;
        }
        let ready = self.candidates.iter().filter(|(_, c)| c.not_before <= now);
        let (peer, _) = ready.min_by_key(|(_, c)| (c.distance, c.not_before))?;
        let peer = peer.clone();
        self.flight = Some(Flight { peer: peer.clone(), deadline: now + PULL_TIMEOUT });
        Some(peer)
    }

    /// Notes the end of a pull.
    pub fn on_finished(&mut self, now: Duration, peer: &Vm, success: bool) {
        if self.flight.as_ref().is_some_and(|flight| flight.peer == *peer) {
            self.flight = None;
        }
        let progressed =
            self.candidates.get(peer).is_none_or(|c| c.tip.version <= self.have.version);
        if success && progressed {
            self.failures = 0;
            return;
        }
        // It does not have what it was heard to have, or cannot be asked.
        // The peer is heard of again with its next probe.
        self.candidates.swap_remove(peer);
        let wait = BACKOFF.saturating_mul(1 << self.failures.min(8)).min(MAX_BACKOFF);
        self.failures += 1;
        if self.candidates.is_empty() {
            self.not_before = now + wait;
        }
    }

    /// Returns when [`Scheduler::next_peer`] may have something to do.
    pub fn next_wake(&self) -> Option<Duration> {
        if let Some(flight) = &self.flight {
            return Some(flight.deadline);
        }
        let first = self.candidates.values().map(|c| c.not_before).min()?;
        Some(first.max(self.not_before))
    }
}

fn delay(distance: Distance, order: Rank) -> Duration {
    match (distance, order) {
        (Distance::Near, _) | (_, Rank::First) => Duration::ZERO,
        (_, Rank::Second) => SECOND_DELAY,
        (Distance::Region, Rank::Rest) => LOCAL_DELAY,
        (Distance::Remote, Rank::Rest) => REGION_DELAY,
    }
}

#[cfg(test)]
mod tests;
