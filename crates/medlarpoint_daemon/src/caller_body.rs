//! Body of a request as its caller sends it.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use medlarpoint_routing::LARGE_MESSAGE_BYTES;

use crate::body::{Body, Buffered, buffer};
use crate::body_limit::Limiter;
use crate::buffer_budget::BufferBudget;
use crate::held_body::{HeldBody, MAX_REPLAY_BYTES};
use crate::outbound_call::Payload;
use crate::settings::LimitOptions;

/// Body of a request as its caller sends it.
#[derive(Debug)]
pub(crate) enum CallerBody {
    /// All of the body.
    Complete(Bytes),
    /// A body that is still read from the connection.
    Incoming(Incoming),
    /// A body that ended early.
    Truncated,
}

impl CallerBody {
    /// Creates the body of a request that has none.
    pub(crate) fn empty() -> Self {
        Self::Complete(Bytes::new())
    }

    /// Reads all of a body of which every byte has arrived.
    pub(crate) async fn read(incoming: Incoming) -> Self {
        match incoming.collect().await {
            Ok(body) => Self::Complete(body.to_bytes()),
            Err(_) => Self::Truncated,
        }
    }

    /// Returns the least size of the body that is known, in bytes.
    pub(crate) fn min_bytes(&self) -> u64 {
        match self {
            Self::Complete(bytes) => bytes.len() as u64,
            Self::Incoming(incoming) => incoming.size_hint().lower(),
            Self::Truncated => 0,
        }
    }

    /// Buffers a small body; holds a large one until a target has room for it. Returns `None`
    /// if a body that is read here is truncated or too slow.
    pub(crate) async fn accept(
        self,
        limits: &LimitOptions,
        budget: &Arc<BufferBudget>,
    ) -> Option<Payload> {
        let incoming = match self {
            Self::Complete(bytes) => return Some(payload(bytes)),
            Self::Truncated => return None,
            Self::Incoming(incoming) if incoming.is_end_stream() => {
                return Some(Payload::Buffered(Bytes::new()));
            }
            Self::Incoming(incoming) => incoming,
        };
        let max_pause = Duration::from_millis(limits.body_pause_ms);
        if incoming.size_hint().lower() >= LARGE_MESSAGE_BYTES as u64 {
            let limiter = Limiter::new(limits.body_bytes, max_pause);
            return Some(Payload::Held(HeldBody::new(Body::limited(
                Bytes::new(),
                incoming,
                limiter,
            ))));
        }
        match tokio::time::timeout(max_pause, buffer(incoming, MAX_REPLAY_BYTES, budget)).await {
            Ok(Ok(Buffered::Complete(bytes))) => Some(payload(bytes)),
            Ok(Ok(Buffered::Partial(prefix, rest))) => {
                let max_rest = limits.body_bytes.saturating_sub(prefix.len() as u64);
                let limiter = Limiter::new(max_rest, max_pause);
                Some(Payload::Held(HeldBody::new(Body::limited(prefix, rest, limiter))))
            }
            Ok(Err(_)) | Err(_) => None,
        }
    }
}

fn payload(bytes: Bytes) -> Payload {
    if bytes.len() < LARGE_MESSAGE_BYTES {
        Payload::Buffered(bytes)
    } else {
        Payload::Held(HeldBody::new(Body::full(bytes)))
    }
}
