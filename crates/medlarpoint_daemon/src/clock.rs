//! Monotonic and wall-clock time of a daemon.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Monotonic clock that starts at zero with the daemon.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts the monotonic clock.
    pub(crate) fn start() -> Self {
        Self { start: Instant::now() }
    }

    /// Returns the time since the daemon started.
    pub(crate) fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Converts a time since the start of the daemon to an instant for Tokio's timers.
    pub(crate) fn instant(&self, at: Duration) -> tokio::time::Instant {
        tokio::time::Instant::from_std(self.start + at)
    }
}

/// Returns the wall-clock time, in milliseconds since the Unix epoch.
pub(crate) fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// Returns a random duration up to `limit` (full jitter), so that daemons that wait
/// for the same event do not act at the same time.
pub(crate) fn jitter(limit: Duration) -> Duration {
    limit.mul_f64(rand::random::<f64>())
}
