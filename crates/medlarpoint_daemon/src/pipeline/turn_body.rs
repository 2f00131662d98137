//! Body of a response on a connection with read-ahead.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body as HttpBody, Frame, SizeHint};

use super::ReadAhead;
use crate::body::{Body, BodyError};

/// Body of a response. Dropping it ends the turn of its request: the HTTP library has then
/// taken the complete response.
#[derive(Debug)]
pub(crate) struct TurnBody {
    body: Body,
    read_ahead: Arc<ReadAhead>,
}

impl TurnBody {
    /// Wraps the body of the response whose turn it is.
    pub(crate) fn new(body: Body, read_ahead: Arc<ReadAhead>) -> Self {
        Self { body, read_ahead }
    }
}

impl Drop for TurnBody {
    fn drop(&mut self) {
        self.read_ahead.finish_turn();
    }
}

impl HttpBody for TurnBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
