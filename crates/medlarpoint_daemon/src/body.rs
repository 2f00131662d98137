//! Request and response bodies, buffered or streamed through the proxies.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use bytes::{Bytes, BytesMut};
use http_body::{Body as HttpBody, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::body_limit::Limiter;
use crate::buffer_budget::{BufferBudget, Reservation};
use crate::held_body;
use crate::inbound::InFlightAttempt;
use crate::pool::PooledConnection;
use crate::shaped_body::ShapedBody;

/// Limit on a response that is buffered before any of it is passed on, in bytes. A
/// response truncated before that can still be requested from another target.
pub(crate) const MAX_BUFFERED_BYTES: usize = 1 << 20;

/// Action to run once a body has been forwarded completely. Dropping it without
/// running it means that the body was truncated: the connection is closed and the
/// attempt counts as lost.
#[derive(Debug)]
pub(crate) enum EndAction {
    /// Nothing to do.
    None,
    /// Release the connection that carried the body.
    Connection(PooledConnection),
    /// Release the connection to the target and end the attempt.
    Attempt(Box<InFlightAttempt>, PooledConnection),
}

impl EndAction {
    fn run(self) {
        match self {
            Self::None => {}
            Self::Connection(connection) => connection.release(),
            Self::Attempt(attempt, connection) => {
                connection.release();
                attempt.complete();
            }
        }
    }
}

/// The body of a request or a response.
#[derive(Debug)]
pub(crate) enum Body {
    /// Bytes in memory.
    Full(Option<Bytes>),
    /// Bytes in memory, sent at the rate of the link.
    Shaped(ShapedBody),
    /// Request body that stays with the caller until the receiver asks for it.
    Held(held_body::Reader),
    /// Bytes passed on as they arrive.
    Streaming {
        /// Bytes that were read ahead.
        prefix: Option<Bytes>,
        /// Source of the remaining bytes.
        incoming: Incoming,
        /// Limits on the body of a caller's request.
        limiter: Option<Limiter>,
        /// Action at the end of the body.
        end_action: Option<EndAction>,
    },
}

/// Reason why a body ended before it was complete.
#[derive(Debug, thiserror::Error)]
pub(crate) enum BodyError {
    /// The connection failed.
    #[error("the body was truncated: {0}")]
    Connection(#[from] hyper::Error),
    /// The caller exceeded a limit.
    #[error(transparent)]
    Limit(#[from] crate::body_limit::Exceeded),
    /// The receiver did not ask for the body.
    #[error("the body was not asked for")]
    Unwanted,
    /// An earlier attempt has read the body, and it was too large to keep.
    #[error("the body was read by an earlier attempt")]
    Consumed,
}

impl Body {
    pub(crate) fn empty() -> Self {
        Self::Full(None)
    }

    pub(crate) fn full(bytes: Bytes) -> Self {
        Self::Full((!bytes.is_empty()).then_some(bytes))
    }

    pub(crate) fn streaming(incoming: Incoming, end_action: EndAction) -> Self {
        if incoming.is_end_stream() {
            end_action.run();
            return Self::empty();
        }
        Self::Streaming { prefix: None, incoming, limiter: None, end_action: Some(end_action) }
    }

    /// Streams the body of a caller's request, of which `prefix` was read ahead.
    pub(crate) fn limited(prefix: Bytes, incoming: Incoming, limiter: Limiter) -> Self {
        let prefix = (!prefix.is_empty()).then_some(prefix);
        Self::Streaming { prefix, incoming, limiter: Some(limiter), end_action: None }
    }

    /// Reads a streaming body into memory, up to [`MAX_BUFFERED_BYTES`] and as far as `budget`
    /// allows; the rest of a larger one still streams. Other bodies are returned as they are.
    pub(crate) async fn read_ahead(self, budget: &Arc<BufferBudget>) -> Result<Self, hyper::Error> {
        let Self::Streaming { prefix: None, incoming, limiter: None, end_action } = self else {
            return Ok(self);
        };
        let end_action = end_action.unwrap_or(EndAction::None);
        match buffer(incoming, MAX_BUFFERED_BYTES, budget).await? {
            Buffered::Complete(bytes) => {
                end_action.run();
                Ok(Self::full(bytes))
            }
            Buffered::Partial(prefix, rest) => Ok(Self::with_prefix(prefix, rest, end_action)),
        }
    }

    /// Streams the bytes that were read ahead, then the rest.
    pub(crate) fn with_prefix(prefix: Bytes, incoming: Incoming, end_action: EndAction) -> Self {
        let prefix = (!prefix.is_empty()).then_some(prefix);
        Self::Streaming { prefix, incoming, limiter: None, end_action: Some(end_action) }
    }
}

/// A body that was read ahead.
pub(crate) enum Buffered {
    /// The complete body.
    Complete(Bytes),
    /// The beginning of a body that exceeds the limit, and the source of the rest.
    Partial(Bytes, Incoming),
}

/// Reads a body ahead until it ends, exceeds `limit` bytes or finds no memory in `budget`. The
/// bytes read exceed the limit by at most one frame.
pub(crate) async fn buffer(
    mut incoming: Incoming,
    limit: usize,
    budget: &Arc<BufferBudget>,
) -> Result<Buffered, hyper::Error> {
    let mut read = BytesMut::new();
    let mut reservation = Reservation::empty(budget);
    while let Some(frame) = incoming.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        if read.is_empty() && incoming.is_end_stream() {
            return Ok(Buffered::Complete(data));
        }
        read.extend_from_slice(&data);
        let has_room = reservation.grow_to(read.capacity());
        if read.len() > limit || !has_room {
            return Ok(Buffered::Partial(reservation.attach(read.freeze()), incoming));
        }
    }
    Ok(Buffered::Complete(reservation.attach(read.freeze())))
}

impl HttpBody for Body {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match &mut *self {
            Self::Full(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            Self::Shaped(shaped) => {
                let chunk = ready!(shaped.poll_chunk(cx));
                Poll::Ready(chunk.map(|chunk| Ok(Frame::data(chunk))))
            }
            Self::Held(reader) => {
                let chunk = ready!(reader.poll_chunk(cx));
                Poll::Ready(chunk.map(|result| result.map(Frame::data)))
            }
            Self::Streaming { prefix, incoming, limiter, end_action } => {
                if let Some(prefix) = prefix.take() {
                    return Poll::Ready(Some(Ok(Frame::data(prefix))));
                }
                if let Some(limiter) = limiter
                    && incoming.is_end_stream()
                {
                    limiter.stop_timer();
                }
                let polled = Pin::new(&mut *incoming).poll_frame(cx);
                if polled.is_pending() {
                    let Some(limiter) = limiter else {
                        return Poll::Pending;
                    };
                    let exceeded = ready!(limiter.poll_pause(cx));
                    return Poll::Ready(Some(Err(exceeded.into())));
                }
                let frame = ready!(polled);
                if let (Some(limiter), Some(Ok(frame))) = (limiter, &frame) {
                    let size = frame.data_ref().map_or(0, Bytes::len);
                    if let Err(exceeded) = limiter.consume(size) {
                        return Poll::Ready(Some(Err(exceeded.into())));
                    }
                }
                let ended = match &frame {
                    None => true,
                    Some(Ok(_)) => incoming.is_end_stream(),
                    Some(Err(_)) => false,
                };
                if ended && let Some(end_action) = end_action.take() {
                    end_action.run();
                }
                Poll::Ready(frame.map(|result| result.map_err(BodyError::from)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Full(bytes) => bytes.is_none(),
            Self::Shaped(shaped) => shaped.remaining_bytes() == 0,
            Self::Held(reader) => reader.is_finished(),
            Self::Streaming { prefix, incoming, .. } => {
                prefix.is_none() && incoming.is_end_stream()
            }
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64)),
            Self::Shaped(shaped) => SizeHint::with_exact(shaped.remaining_bytes() as u64),
            Self::Held(reader) => reader.size_hint(),
            Self::Streaming { prefix, incoming, .. } => {
                let prefix_bytes = prefix.as_ref().map_or(0, |bytes| bytes.len() as u64);
                let rest = incoming.size_hint();
                let mut hint = SizeHint::new();
                hint.set_lower(rest.lower() + prefix_bytes);
                if let Some(upper) = rest.upper() {
                    hint.set_upper(upper + prefix_bytes);
                }
                hint
            }
        }
    }
}

#[cfg(test)]
mod tests;
