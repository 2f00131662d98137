//! Limits on what a caller may send.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::time::{Instant, Sleep};

/// A limit that a caller exceeded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Exceeded {
    /// The body is too large.
    #[error("the request body exceeds {limit} bytes")]
    BodySize {
        /// The limit in bytes.
        limit: u64,
    },
    /// The body paused for too long.
    #[error("the request body paused for more than {} ms", pause.as_millis())]
    BodyPause {
        /// The limit.
        pause: Duration,
    },
}

/// Watches the size and the pauses of a body.
#[derive(Debug)]
pub(crate) struct Limiter {
    limit: u64,
    left: u64,
    pause: Duration,
    timer: Pin<Box<Sleep>>,
    timer_stopped: bool,
}

impl Limiter {
    pub(crate) fn new(limit: u64, pause: Duration) -> Self {
        let timer = Box::pin(tokio::time::sleep(pause));
        Self { limit, left: limit, pause, timer, timer_stopped: false }
    }

    /// Counts bytes and restarts the pause.
    pub(crate) fn consume(&mut self, bytes: usize) -> Result<(), Exceeded> {
        let Some(left) = self.left.checked_sub(bytes as u64) else {
            return Err(Exceeded::BodySize { limit: self.limit });
        };
        self.left = left;
        self.timer.as_mut().reset(Instant::now() + self.pause);
        Ok(())
    }

    /// Stops the clock: the body has ended.
    pub(crate) fn stop_timer(&mut self) {
        self.timer_stopped = true;
    }

    /// Ready when the pause has lasted too long.
    pub(crate) fn poll_pause(&mut self, cx: &mut Context<'_>) -> Poll<Exceeded> {
        if self.timer_stopped {
            return Poll::Pending;
        }
        self.timer.as_mut().poll(cx).map(|()| Exceeded::BodyPause { pause: self.pause })
    }
}
