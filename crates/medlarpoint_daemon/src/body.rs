//! Bodies that pass through the proxies without being collected.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::{Bytes, BytesMut};
use http_body::{Body as HttpBody, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::inbound::Job;
use crate::limit::Pace;
use crate::pool::Lease;
use crate::sending::Sending;

/// Largest answer read whole before any of it is passed on, in bytes. What
/// breaks off before can still be had from another target.
pub(crate) const MAX_WHOLE_BYTES: usize = 1 << 20;

/// Told when a body has passed whole; dropped earlier, it was cut off.
#[derive(Debug)]
pub(crate) enum Finish {
    /// Nobody.
    Nothing,
    /// The connection the body came on can be used again.
    Connection(Lease),
    /// The target is done with the call.
    Job(Box<Job>, Lease),
}

impl Finish {
    fn complete(self) {
        match self {
            Self::Nothing => {}
            Self::Connection(lease) => lease.complete(),
            Self::Job(job, lease) => {
                lease.complete();
                job.answered();
            }
        }
    }
}

/// The body of a request or an answer.
#[derive(Debug)]
pub(crate) enum Body {
    /// Bytes at hand.
    Whole(Option<Bytes>),
    /// Bytes at hand that wait for the link.
    Sending(Sending),
    /// Bytes that pass through.
    Passing {
        /// Those that were read ahead.
        head: Option<Bytes>,
        /// Where they come from.
        incoming: Incoming,
        /// Limits on a caller's body.
        pace: Option<Pace>,
        /// Told of the end.
        finish: Option<Finish>,
    },
}

/// A body that was cut off.
#[derive(Debug, thiserror::Error)]
pub(crate) enum BodyError {
    /// The connection broke.
    #[error("the body was cut off: {0}")]
    Broken(#[from] hyper::Error),
    /// The caller exceeded a limit.
    #[error(transparent)]
    Limit(#[from] crate::limit::Exceeded),
}

impl Body {
    pub(crate) fn empty() -> Self {
        Self::Whole(None)
    }

    pub(crate) fn whole(bytes: Bytes) -> Self {
        Self::Whole((!bytes.is_empty()).then_some(bytes))
    }

    pub(crate) fn passing(incoming: Incoming, finish: Finish) -> Self {
        if incoming.is_end_stream() {
            finish.complete();
            return Self::empty();
        }
        Self::Passing { head: None, incoming, pace: None, finish: Some(finish) }
    }

    pub(crate) fn paced(incoming: Incoming, pace: Pace) -> Self {
        Self::Passing { head: None, incoming, pace: Some(pace), finish: None }
    }

    /// Passes on what was read ahead, and then the rest.
    pub(crate) fn resumed(read: Bytes, incoming: Incoming, finish: Finish) -> Self {
        let head = (!read.is_empty()).then_some(read);
        Self::Passing { head, incoming, pace: None, finish: Some(finish) }
    }
}

/// A body read ahead.
pub(crate) enum Gathered {
    /// It is whole.
    Whole(Bytes),
    /// It is larger than wanted: its beginning and the rest.
    Large(Bytes, Incoming),
}

/// Reads a body ahead, up to `limit` bytes and a frame.
pub(crate) async fn gather(mut incoming: Incoming, limit: usize) -> Result<Gathered, hyper::Error> {
    let mut read = BytesMut::new();
    while let Some(frame) = incoming.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        if read.is_empty() && incoming.is_end_stream() {
            return Ok(Gathered::Whole(data));
        }
        read.extend_from_slice(&data);
        if read.len() > limit {
            return Ok(Gathered::Large(read.freeze(), incoming));
        }
    }
    Ok(Gathered::Whole(read.freeze()))
}

impl HttpBody for Body {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match &mut *self {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            Self::Sending(sending) => {
                let chunk = ready!(sending.poll_chunk(cx));
                Poll::Ready(chunk.map(|chunk| Ok(Frame::data(chunk))))
            }
            Self::Passing { head, incoming, pace, finish } => {
                if let Some(read) = head.take() {
                    return Poll::Ready(Some(Ok(Frame::data(read))));
                }
                if let Some(pace) = pace
                    && incoming.is_end_stream()
                {
                    pace.rest();
                }
                let polled = Pin::new(&mut *incoming).poll_frame(cx);
                if polled.is_pending() {
                    let Some(pace) = pace else {
                        return Poll::Pending;
                    };
                    let exceeded = ready!(pace.poll_pause(cx));
                    return Poll::Ready(Some(Err(exceeded.into())));
                }
                let frame = ready!(polled);
                if let (Some(pace), Some(Ok(frame))) = (pace, &frame) {
                    let size = frame.data_ref().map_or(0, Bytes::len);
                    if let Err(exceeded) = pace.take(size) {
                        return Poll::Ready(Some(Err(exceeded.into())));
                    }
                }
                let ended = match &frame {
                    None => true,
                    Some(Ok(_)) => incoming.is_end_stream(),
                    Some(Err(_)) => false,
                };
                if ended && let Some(finish) = finish.take() {
                    finish.complete();
                }
                Poll::Ready(frame.map(|result| result.map_err(BodyError::from)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(bytes) => bytes.is_none(),
            Self::Sending(sending) => sending.left() == 0,
            Self::Passing { head, incoming, .. } => head.is_none() && incoming.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64))
            }
            Self::Sending(sending) => SizeHint::with_exact(sending.left() as u64),
            Self::Passing { head, incoming, .. } => {
                let read = head.as_ref().map_or(0, |read| read.len() as u64);
                let rest = incoming.size_hint();
                let mut hint = SizeHint::new();
                hint.set_lower(rest.lower() + read);
                if let Some(upper) = rest.upper() {
                    hint.set_upper(upper + read);
                }
                hint
            }
        }
    }
}
