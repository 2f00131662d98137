//! Response bodies sent at the rate of this VM's link, large ones one at a time.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use medlarpoint_model::Name;
use tokio::time::Sleep;

use crate::body::Body;
use crate::state::{Shared, lock};

/// Size of a chunk in bytes. Small responses are sent between two chunks.
const CHUNK_BYTES: usize = 16 * 1024;

/// A large response body, sent in chunks at the rate of the link. Dropping it
/// releases the part of its reservation that was not used.
#[derive(Debug)]
pub(crate) struct ShapedBody {
    shared: Arc<Shared>,
    remaining: Bytes,
    /// Time at which the next chunk may be sent, on the local clock.
    next_send: Duration,
    timer: Pin<Box<Sleep>>,
}

/// Reserves time on the link for the response to a call on `route` and returns the
/// body to send: shaped if it is large and the link is narrow.
pub(crate) fn reserve_link(shared: &Arc<Shared>, route: &Name, response: Bytes) -> Body {
    let now = shared.now();
    let (start, is_shaped) = {
        let mut intake = lock(&shared.intake);
        let link = intake.scheduler_mut().link_mut();
        link.observe(route, response.len());
        (link.reserve(now, response.len()), link.shapes(response.len()))
    };
    if !is_shaped {
        return Body::full(response);
    }
    let timer = Box::pin(tokio::time::sleep_until(shared.clock.instant(start)));
    Body::Shaped(ShapedBody {
        shared: Arc::clone(shared),
        remaining: response,
        next_send: start,
        timer,
    })
}

impl ShapedBody {
    /// Returns the number of bytes that have not been sent.
    pub(crate) fn remaining_bytes(&self) -> usize {
        self.remaining.len()
    }

    /// Returns the next chunk once it may be sent, and `None` after the last one.
    pub(crate) fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<Option<Bytes>> {
        if self.remaining.is_empty() {
            return Poll::Ready(None);
        }
        ready!(self.timer.as_mut().poll(cx));
        let chunk = self.remaining.split_to(CHUNK_BYTES.min(self.remaining.len()));
        let time =
            lock(&self.shared.intake).scheduler_mut().link_mut().transfer_time(chunk.len() as f64);
        self.next_send += time;
        self.timer.as_mut().reset(self.shared.clock.instant(self.next_send));
        Poll::Ready(Some(chunk))
    }
}

impl Drop for ShapedBody {
    fn drop(&mut self) {
        if !self.remaining.is_empty() {
            lock(&self.shared.intake).scheduler_mut().link_mut().release(self.remaining.len());
        }
    }
}
