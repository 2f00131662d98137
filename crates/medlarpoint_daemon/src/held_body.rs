//! Request bodies that stay with the caller until a target has room for them.
//!
//! A large body fills the links of both VMs. Its sender therefore announces it with
//! `Expect: 100-continue` and reads nothing from the caller until the inbound proxy
//! asks for it. An attempt that is rejected before that leaves the body intact for
//! the next one.

use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Request, StatusCode};
use http_body::{Body as _, SizeHint};
use tokio::sync::oneshot;
use tokio::time::{Instant, Sleep};

use crate::body::{Body, BodyError};
use crate::state::lock;

/// Limit on the bytes of a body that are kept so that it can be sent again.
pub(crate) const MAX_REPLAY_BYTES: usize = 64 * 1024;

/// Age from which a body is passed on only after a check that its caller is still there.
const CHECK_AGE: Duration = Duration::from_millis(250);
/// Time after the end of a body in which the close of its connection arrives, if the
/// caller has closed it.
const CLOSE_DELAY: Duration = Duration::from_millis(10);

/// The body of a caller's request, read by one attempt after the other.
#[derive(Debug)]
pub(crate) struct HeldBody {
    size: SizeHint,
    source: Mutex<Source>,
    /// Time from which the caller may have left unnoticed.
    check_from: Instant,
    close_delay: Duration,
}

#[derive(Debug)]
struct Source {
    body: Body,
    /// Chunks read so far; empty if they exceeded [`MAX_REPLAY_BYTES`].
    kept: Vec<Bytes>,
    /// Number of bytes read so far.
    read_bytes: usize,
    /// Number of chunks read so far.
    read_chunks: usize,
}

impl HeldBody {
    /// Creates a held body that reads from `body`.
    pub(crate) fn new(body: Body) -> Arc<Self> {
        let size = body.size_hint();
        let source = Source { body, kept: Vec::new(), read_bytes: 0, read_chunks: 0 };
        let check_from = Instant::now() + CHECK_AGE;
        Arc::new(Self { size, source: Mutex::new(source), check_from, close_delay: CLOSE_DELAY })
    }

    /// Returns the size of the body in bytes, or what is known of it so far.
    pub(crate) fn len(&self) -> usize {
        self.size.exact().unwrap_or(self.size.lower()) as usize
    }

    /// Returns whether the body can be sent from its beginning.
    pub(crate) fn is_replayable(&self) -> bool {
        lock(&self.source).is_replayable()
    }

    /// Returns a reader that starts at once.
    pub(crate) fn reader(self: &Arc<Self>) -> Reader {
        Reader {
            body: Arc::clone(self),
            next_chunk: 0,
            withheld: None,
            close_check: None,
            finished: false,
            permission: None,
        }
    }
}

/// Makes the held body of a request wait until the receiver asks for it. Returns the
/// permission to send it, which is withdrawn when it is dropped; `None` if the body is
/// not held.
pub(crate) fn announce(request: &mut Request<Body>) -> Option<Permission> {
    let Body::Held(reader) = request.body_mut() else {
        return None;
    };
    let (sender, receiver) = oneshot::channel();
    reader.permission = Some(receiver);
    let permission = Permission { sender: Arc::new(Mutex::new(Some(sender))) };
    let expect = HeaderValue::from_static("100-continue");
    request.headers_mut().insert(http::header::EXPECT, expect);
    let sender = Arc::clone(&permission.sender);
    hyper::ext::on_informational(request, move |response| {
        if response.status() == StatusCode::CONTINUE
            && let Some(sender) = lock(&sender).take()
        {
            // The reader is gone if the attempt was cancelled.
            let _ = sender.send(());
        }
    });
    Some(permission)
}

impl Source {
    fn is_replayable(&self) -> bool {
        self.kept.len() == self.read_chunks
    }

    fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        loop {
            let Some(frame) = ready!(Pin::new(&mut self.body).poll_frame(cx)) else {
                return Poll::Ready(None);
            };
            match frame.map(http_body::Frame::into_data) {
                Ok(Ok(chunk)) => {
                    self.keep(&chunk);
                    return Poll::Ready(Some(Ok(chunk)));
                }
                // Trailers are not forwarded.
                Ok(Err(_)) => {}
                Err(error) => return Poll::Ready(Some(Err(error))),
            }
        }
    }

    fn keep(&mut self, chunk: &Bytes) {
        let replayable = self.is_replayable();
        self.read_bytes += chunk.len();
        self.read_chunks += 1;
        if replayable && self.read_bytes <= MAX_REPLAY_BYTES {
            self.kept.push(chunk.clone());
        } else {
            self.kept = Vec::new();
        }
    }
}

/// Reads a held body for one attempt.
///
/// Whether the caller is still there shows only behind the end of what it has sent, when
/// the close of its connection arrives. The last chunk of a body that was held for long is
/// therefore withheld for a moment, so that a call whose caller has left does not arrive
/// complete.
#[derive(Debug)]
pub(crate) struct Reader {
    body: Arc<HeldBody>,
    /// Index of the next chunk.
    next_chunk: usize,
    /// Chunk that is returned once it is known whether it is the last one.
    withheld: Option<Bytes>,
    /// Wait for the close of the caller's connection.
    close_check: Option<Pin<Box<Sleep>>>,
    finished: bool,
    /// Completes once the receiver asks for the body. `None` if it has.
    permission: Option<oneshot::Receiver<()>>,
}

impl Reader {
    /// Returns the next chunk, and `None` after the last one.
    pub(crate) fn poll_chunk(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, BodyError>>> {
        if let Some(permission) = &mut self.permission {
            if ready!(Pin::new(permission).poll(cx)).is_err() {
                return Poll::Ready(Some(Err(BodyError::Unwanted)));
            }
            self.permission = None;
        }
        while !self.finished {
            match ready!(self.poll_source(cx)) {
                Some(Ok(chunk)) => {
                    self.next_chunk += 1;
                    if let Some(previous) = self.withheld.replace(chunk) {
                        return Poll::Ready(Some(Ok(previous)));
                    }
                }
                Some(Err(error)) => return Poll::Ready(Some(Err(error))),
                None => {
                    ready!(self.poll_close_check(cx));
                    self.finished = true;
                }
            }
        }
        Poll::Ready(self.withheld.take().map(Ok))
    }

    /// Completes once the close of the caller's connection would have ended this call.
    fn poll_close_check(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if Instant::now() < self.body.check_from {
            return Poll::Ready(());
        }
        let delay = self.body.close_delay;
        let close_check =
            self.close_check.get_or_insert_with(|| Box::pin(tokio::time::sleep(delay)));
        close_check.as_mut().poll(cx)
    }

    /// Reads the next chunk, from memory if an earlier attempt has read it.
    fn poll_source(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        let mut source = lock(&self.body.source);
        if self.next_chunk < source.read_chunks && !source.is_replayable() {
            return Poll::Ready(Some(Err(BodyError::Consumed)));
        }
        match source.kept.get(self.next_chunk) {
            Some(kept) => Poll::Ready(Some(Ok(kept.clone()))),
            None => source.poll_next(cx),
        }
    }

    /// Returns whether the end of the body was returned.
    pub(crate) fn is_finished(&self) -> bool {
        self.finished && self.withheld.is_none()
    }

    /// Returns the size of the complete body.
    pub(crate) fn size_hint(&self) -> SizeHint {
        self.body.size
    }
}

/// Permission to send a body, given by the receiver. Dropping it before that ends the
/// body with an error, which closes the connection.
#[derive(Debug)]
pub(crate) struct Permission {
    sender: Arc<Mutex<Option<oneshot::Sender<()>>>>,
}

impl Drop for Permission {
    fn drop(&mut self) {
        lock(&self.sender).take();
    }
}

#[cfg(test)]
mod tests;
