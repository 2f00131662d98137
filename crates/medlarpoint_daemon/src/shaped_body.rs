//! Sends large answers at the rate of this VM's link, one after the other.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use medlarpoint_model::Name;
use medlarpoint_routing::LARGE_BYTES;
use tokio::time::Sleep;

use crate::body::Body;
use crate::state::{Shared, lock};

/// Bytes sent at a time; short answers pass between two chunks.
const CHUNK_BYTES: usize = 16 * 1024;

/// A large answer that is sent in chunks when the link has room for them.
#[derive(Debug)]
pub(crate) struct ShapedBody {
    shared: Arc<Shared>,
    rest: Bytes,
    /// When the next chunk may be sent, on the local clock.
    due: Duration,
    timer: Pin<Box<Sleep>>,
}

/// Reserves the link for the answer to a call of `kind`.
pub(crate) fn reserve_link(shared: &Arc<Shared>, kind: &Name, answer: Bytes) -> Body {
    let now = shared.now();
    let due = {
        let mut intake = lock(&shared.intake);
        let link = intake.gate_mut().link_mut();
        link.observe(kind, answer.len());
        link.reserve(now, answer.len())
    };
    if answer.len() < LARGE_BYTES || !shared.settings.has_narrow_link() {
        return Body::full(answer);
    }
    let timer = Box::pin(tokio::time::sleep_until(shared.clock.instant(due)));
    Body::Shaped(ShapedBody { shared: Arc::clone(shared), rest: answer, due, timer })
}

impl ShapedBody {
    /// Bytes that have not been sent.
    pub(crate) fn left(&self) -> usize {
        self.rest.len()
    }

    /// Returns the next chunk once it may be sent; `None` after the last.
    pub(crate) fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<Option<Bytes>> {
        if self.rest.is_empty() {
            return Poll::Ready(None);
        }
        ready!(self.timer.as_mut().poll(cx));
        let chunk = self.rest.split_to(CHUNK_BYTES.min(self.rest.len()));
        let time = lock(&self.shared.intake).gate_mut().link_mut().time_for(chunk.len() as f64);
        self.due += time;
        self.timer.as_mut().reset(self.shared.clock.instant(self.due));
        Poll::Ready(Some(chunk))
    }
}

impl Drop for ShapedBody {
    fn drop(&mut self) {
        if !self.rest.is_empty() {
            lock(&self.shared.intake).gate_mut().link_mut().release(self.rest.len());
        }
    }
}
