//! Limits on the body of a caller's request.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::time::{Instant, Sleep};

/// A limit on request bodies that a caller exceeded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Exceeded {
    /// The body is too large.
    #[error("the request body exceeds {limit} bytes: send less or raise `limits.body_bytes`")]
    BodySize {
        /// The limit in bytes.
        limit: u64,
    },
    /// No byte arrived within the limit on a pause.
    #[error("the request body paused for more than {} ms (`limits.body_pause_ms`)", pause.as_millis())]
    BodyPause {
        /// The limit on a pause.
        pause: Duration,
    },
}

/// Enforces the limits on the size and the pauses of a body.
#[derive(Debug)]
pub(crate) struct Limiter {
    max_bytes: u64,
    /// Number of bytes that may still arrive.
    remaining_bytes: u64,
    max_pause: Duration,
    /// Runs from the first wait for the body: until then, the caller is not asked to send.
    timer: Option<Pin<Box<Sleep>>>,
    /// Set once the body has ended.
    timer_stopped: bool,
}

impl Limiter {
    pub(crate) fn new(max_bytes: u64, max_pause: Duration) -> Self {
        Self { max_bytes, remaining_bytes: max_bytes, max_pause, timer: None, timer_stopped: false }
    }

    /// Subtracts received bytes from those that may still arrive and restarts the timer.
    pub(crate) fn consume(&mut self, bytes: usize) -> Result<(), Exceeded> {
        let Some(remaining) = self.remaining_bytes.checked_sub(bytes as u64) else {
            return Err(Exceeded::BodySize { limit: self.max_bytes });
        };
        self.remaining_bytes = remaining;
        if let Some(timer) = &mut self.timer {
            timer.as_mut().reset(Instant::now() + self.max_pause);
        }
        Ok(())
    }

    /// Stops the timer for good. Called once the body has ended.
    pub(crate) fn stop_timer(&mut self) {
        self.timer_stopped = true;
    }

    /// Completes once the body has paused for longer than the limit.
    pub(crate) fn poll_pause(&mut self, cx: &mut Context<'_>) -> Poll<Exceeded> {
        if self.timer_stopped {
            return Poll::Pending;
        }
        let max_pause = self.max_pause;
        let timer = self.timer.get_or_insert_with(|| Box::pin(tokio::time::sleep(max_pause)));
        timer.as_mut().poll(cx).map(|()| Exceeded::BodyPause { pause: self.max_pause })
    }
}
