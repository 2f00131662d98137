//! The link over which a VM sends its answers.
//!
//! A few large answers fill a narrow link for seconds, and short ones wait
//! behind them. Here large answers are sent one after the other at the rate of
//! the link, and no more work on them is started than the link carries soon.

use std::time::Duration;

use indexmap::IndexMap;
use medlarpoint_model::Name;

/// Answers of this size and more wait for their turn on the link, in bytes.
pub const LARGE_RESPONSE_BYTES: usize = 16 * 1024;
/// Share of the link's rate that answers may use; the rest carries headers,
/// acknowledgements and control messages.
const USABLE_SHARE: f64 = 0.92;
/// Work on large answers is started while the link is free within this time.
/// Targets need about as long for an answer, so the link does not run dry.
const WINDOW: Duration = Duration::from_millis(500);
/// Weight of the newest size in the mean size of answers.
const SIZE_SMOOTHING: f64 = 0.1;
/// Kinds whose sizes are remembered.
const MAX_KINDS: usize = 256;

/// Answers of one kind.
#[derive(Clone, Copy, Debug, Default)]
struct Volume {
    /// Mean size, in bytes.
    mean: f64,
    /// Calls that run, whose answers are still to come.
    running: u32,
}

/// What a link has to carry.
///
/// Invariant: `free_at` lies no further ahead than the bytes reserved since
/// the link was last free need at its rate.
#[derive(Clone, Debug, Default)]
pub struct Link {
    /// Bytes a second; `None` where the link is no bottleneck.
    rate: Option<f64>,
    /// When everything reserved so far has been sent.
    free_at: Duration,
    by_kind: IndexMap<Name, Volume>,
}

impl Link {
    /// Creates a link of a rate in megabits a second; without one, nothing
    /// ever waits for it.
    pub fn new(megabits: Option<f64>) -> Self {
        let rate = megabits.map(|megabits| megabits * 1e6 / 8.0 * USABLE_SHARE);
        Self { rate, ..Self::default() }
    }

    /// Reserves the link for an answer; returns when to begin sending it.
    pub fn reserve(&mut self, now: Duration, bytes: usize) -> Duration {
        let start = self.free_at.max(now);
        self.free_at = start + self.transfer_time(bytes as f64);
        start
    }

    /// Gives back what was reserved and will not be sent.
    pub fn release(&mut self, bytes: usize) {
        self.free_at = self.free_at.saturating_sub(self.transfer_time(bytes as f64));
    }

    /// Returns the time that a number of bytes takes.
    pub fn transfer_time(&self, bytes: f64) -> Duration {
        self.rate.map_or(Duration::ZERO, |rate| Duration::from_secs_f64(bytes / rate))
    }

    /// Learns the size of an answer.
    pub fn observe(&mut self, kind: &Name, bytes: usize) {
        let sample = bytes as f64;
        let Some(volume) = self.volume_mut(kind) else {
            return;
        };
        let weight = if volume.mean == 0.0 { 1.0 } else { SIZE_SMOOTHING };
        volume.mean += (sample - volume.mean) * weight;
    }

    /// Notes that work on a call has started.
    pub(crate) fn started(&mut self, kind: &Name) {
        if let Some(volume) = self.volume_mut(kind) {
            volume.running += 1;
        }
    }

    /// Notes that work on a call is over; its answer, if any, has been
    /// reserved.
    pub(crate) fn ended(&mut self, kind: &Name) {
        if let Some(volume) = self.by_kind.get_mut(kind) {
            volume.running = volume.running.saturating_sub(1);
        }
    }

    /// Tells whether work on a kind has to wait until the link has room.
    pub(crate) fn blocks(&self, now: Duration, kind: &Name) -> bool {
        self.is_large(kind) && self.wait(now) > WINDOW
    }

    /// Time until the link has sent what is reserved and what running work
    /// will answer.
    pub(crate) fn wait(&self, now: Duration) -> Duration {
        let coming: f64 = self.by_kind.values().map(|v| v.mean * f64::from(v.running)).sum();
        self.free_at.saturating_sub(now) + self.transfer_time(coming)
    }

    /// Time that an answer of a kind takes; zero for those that do not wait.
    pub(crate) fn transfer(&self, kind: &Name) -> Duration {
        if self.is_large(kind) { self.transfer_time(self.mean(kind)) } else { Duration::ZERO }
    }

    /// Tells whether answers of a kind wait for their turn.
    pub(crate) fn is_large(&self, kind: &Name) -> bool {
        self.rate.is_some() && self.mean(kind) >= LARGE_RESPONSE_BYTES as f64
    }

    fn mean(&self, kind: &Name) -> f64 {
        self.by_kind.get(kind).map_or(0.0, |volume| volume.mean)
    }

    /// Returns the entry of a kind; `None` when too many kinds run to forget
    /// one.
    fn volume_mut(&mut self, kind: &Name) -> Option<&mut Volume> {
        if !self.by_kind.contains_key(kind) {
            if self.by_kind.len() >= MAX_KINDS {
                let idle = self.by_kind.values().position(|volume| volume.running == 0)?;
                self.by_kind.shift_remove_index(idle);
            }
            self.by_kind.insert(kind.clone(), Volume::default());
        }
        self.by_kind.get_mut(kind)
    }
}

#[cfg(test)]
mod tests;
