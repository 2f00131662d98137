//! Reads the requests of a connection ahead and starts repeatable ones.

use std::collections::VecDeque;
use std::fmt;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::{Buf, BufMut, BytesMut};
use http::Request;
use tokio::io::{Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;

use super::bounds::Bounds;
use super::early_call::{CancelReason, EarlyCall, Start};
use super::framing::{Framed, Framing, Item, OffReason};
use super::stream::Stream;
use crate::event::Event;
use crate::state::{Shared, lock};

/// Bytes that are read from the socket at a time.
const READ_BYTES: usize = 8 * 1024;

/// Free space in the buffer below which it grows.
const MIN_READ_BYTES: usize = 1_024;

/// Read-ahead on one connection, shared by the socket that the HTTP library reads, the
/// service that it calls, and the task that runs the connection.
pub(crate) struct ReadAhead {
    shared: Arc<Shared>,
    socket: OwnedReadHalf,
    state: Mutex<State>,
}

struct State {
    framing: Framing,
    bounds: Bounds,
    /// Bytes that the HTTP library has not read.
    unread: BytesMut,
    /// Length of the prefix of `unread` that the framing has consumed. The HTTP library gets
    /// only these.
    framed_bytes: usize,
    /// Requests that the framing found and the HTTP library has not read, in order.
    waiting: VecDeque<WaitingRequest>,
    /// Whether calls may still be started before their turn.
    starts_early: bool,
    /// Whether the HTTP library waits for bytes.
    is_awaited: bool,
    /// End of the stream or error, once there was one.
    end: Option<Result<(), io::ErrorKind>>,
}

/// A request that was read ahead.
struct WaitingRequest {
    /// Time at which its head was complete, on the local clock, if it was behind an
    /// unfinished request.
    read_at: Option<Duration>,
    early_call: Option<Box<EarlyCall>>,
}

/// The turn of a request: what was done for it before.
pub(crate) struct Turn {
    /// Time at which the request was read, on the local clock, if it has waited since.
    pub(crate) read_at: Option<Duration>,
    /// The call, if it was started.
    pub(crate) early_call: Option<Box<EarlyCall>>,
    /// Whether every byte of the request's body has arrived.
    pub(crate) body_arrived: bool,
}

impl fmt::Debug for ReadAhead {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ReadAhead").field("socket", &self.socket).finish_non_exhaustive()
    }
}

impl ReadAhead {
    /// Wraps the socket of a caller. Returns the socket for the HTTP library.
    pub(crate) fn wrap(shared: &Arc<Shared>, socket: TcpStream) -> (Arc<Self>, Stream) {
        let limits = &shared.settings.options.limits;
        let (socket, writer) = socket.into_split();
        let state = State {
            framing: Framing::new(limits.head_bytes),
            bounds: Bounds::new(limits.pipelined_requests),
            unread: BytesMut::new(),
            framed_bytes: 0,
            waiting: VecDeque::new(),
            starts_early: true,
            is_awaited: false,
            end: None,
        };
        let read_ahead =
            Arc::new(Self { shared: Arc::clone(shared), socket, state: Mutex::new(state) });
        let stream = Stream::new(Arc::clone(&read_ahead), writer);
        (read_ahead, stream)
    }

    /// Completes once the caller has closed its side of the connection, also while bytes of
    /// it are unread.
    pub(crate) async fn closed_by_caller(&self) {
        let socket: &TcpStream = self.socket.as_ref();
        loop {
            // The end of the stream belongs to this interest as well as to `READABLE`, which
            // would be ready all the time while bytes are unread.
            match socket.ready(Interest::PRIORITY).await {
                Ok(ready) if !ready.is_read_closed() => tokio::task::yield_now().await,
                Ok(_) | Err(_) => return,
            }
        }
    }

    /// Reads ahead. Completes if the connection has to end because its caller has left while
    /// calls are unfinished. `closed` is [`Self::closed_by_caller`].
    pub(crate) fn poll<F>(&self, cx: &mut Context<'_>, closed: &mut ClosedByCaller<F>) -> Poll<()>
    where
        F: Future<Output = ()>,
    {
        let is_closed = closed.poll(cx);
        let mut state = lock(&self.state);
        self.read(&mut state, cx);
        if (is_closed || state.end.is_some()) && state.bounds.unfinished() > 0 {
            return Poll::Ready(());
        }
        if state.is_awaited && state.framed_bytes > 0 {
            state.is_awaited = false;
            cx.waker().wake_by_ref();
        }
        Poll::Pending
    }

    /// Passes bytes on to the HTTP library.
    pub(super) fn poll_read(
        &self,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let mut state = lock(&self.state);
        self.read(&mut state, cx);
        state.is_awaited = false;
        if state.framed_bytes > 0 {
            state.pass_on(buffer);
            return Poll::Ready(Ok(()));
        }
        if let Some(end) = state.end {
            return Poll::Ready(end.map_err(io::Error::from));
        }
        if let Some(max_bytes) = state.passes_through() {
            let read = ready!(self.poll_socket(cx, &mut buffer.limit(max_bytes)))?;
            state.framing.skip_body(read as u64);
            if read == 0 {
                state.end = Some(Ok(()));
            }
            return Poll::Ready(Ok(()));
        }
        state.is_awaited = true;
        Poll::Pending
    }

    /// Begins the turn of a request that the HTTP library has read.
    ///
    /// A request whose body is left unread ends the connection. While parts of its body are
    /// missing, no call behind it is started.
    pub(crate) fn begin_turn<B>(&self, request: &Request<B>) -> Turn {
        let mut state = lock(&self.state);
        state.bounds.on_taken();
        let waiting = state.waiting.pop_front();
        // A request was found behind the body, or the end of the body.
        let body_arrived =
            !state.waiting.is_empty() || (state.framing.is_on() && state.framing.body_left() == 0);
        if !body_arrived {
            state.bounds.pause();
        }
        let Some(waiting) = waiting else {
            return Turn { read_at: None, early_call: None, body_arrived };
        };
        let WaitingRequest { read_at, early_call } = waiting;
        match early_call {
            Some(call) if !call.matches(request) => {
                call.cancel(CancelReason::Mismatch);
                state.cancel(CancelReason::Mismatch);
                state.framing.turn_off();
                self.log_off(&state, OffReason::Mismatch);
                Turn { read_at, early_call: None, body_arrived }
            }
            early_call => Turn { read_at, early_call, body_arrived },
        }
    }

    /// Ends the turn of a request: its response is complete.
    pub(super) fn finish_turn(&self) {
        lock(&self.state).bounds.on_finished();
    }

    /// Returns whether calls that were started wait for their turn. The connection has to stay
    /// open until they are answered.
    pub(crate) fn has_started(&self) -> bool {
        lock(&self.state).waiting.iter().any(|waiting| waiting.early_call.is_some())
    }

    /// Starts no more calls before their turn.
    pub(crate) fn start_no_more(&self) {
        lock(&self.state).starts_early = false;
    }

    /// Cancels the calls that wait for their turn: the connection has ended.
    pub(crate) fn close(&self) {
        let is_closed = self.shared.lifecycle.is_closed();
        let reason = if is_closed { CancelReason::Stopping } else { CancelReason::ConnectionEnded };
        lock(&self.state).cancel(reason);
    }

    /// Reads from the socket as far as the bounds permit.
    fn read(&self, state: &mut State, cx: &mut Context<'_>) {
        loop {
            self.frame(state);
            if !state.may_read() {
                return;
            }
            if state.unread.capacity() - state.unread.len() < MIN_READ_BYTES {
                state.unread.reserve(READ_BYTES);
            }
            let mut unread = (&mut state.unread).limit(READ_BYTES);
            state.end = match self.poll_socket(cx, &mut unread) {
                Poll::Pending => {
                    if state.unread.is_empty() {
                        // Idle connections hold no buffer.
                        state.unread = BytesMut::new();
                    }
                    return;
                }
                Poll::Ready(Ok(0)) => Some(Ok(())),
                Poll::Ready(Ok(_)) => None,
                Poll::Ready(Err(error)) => Some(Err(error.kind())),
            };
        }
    }

    /// Reads once from the socket.
    fn poll_socket(
        &self,
        cx: &mut Context<'_>,
        buffer: &mut impl BufMut,
    ) -> Poll<io::Result<usize>> {
        let socket: &TcpStream = self.socket.as_ref();
        loop {
            ready!(socket.poll_read_ready(cx))?;
            match socket.try_read_buf(buffer) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result),
            }
        }
    }

    /// Finds requests in the bytes that were read, as far as the bounds permit.
    fn frame(&self, state: &mut State) {
        while state.framed_bytes < state.unread.len() {
            if state.framing.is_on() && !state.bounds.may_frame() {
                state.skip_body();
                return;
            }
            let may_start = state.starts_early && !self.shared.lifecycle.has_stopped_accepting();
            let wants_head = may_start && state.bounds.unfinished() > 0;
            let bytes = &state.unread[state.framed_bytes..];
            let (consumed, item) = state.framing.next(bytes, wants_head);
            state.framed_bytes += consumed;
            match item {
                Some(Item::Request(framed)) => self.add(state, framed),
                Some(Item::Off(reason)) => self.log_off(state, reason),
                None => {}
            }
        }
    }

    /// Adds a request, and starts its call if it may run before its turn.
    fn add(&self, state: &mut State, framed: Framed) {
        let now = self.shared.now();
        let read_at = (state.bounds.unfinished() > 0).then_some(now);
        let early_call =
            framed.head.and_then(|head| match EarlyCall::start(&self.shared, head, now) {
                Start::Started(call) => Some(call),
                Start::NotRepeatable => None,
                Start::Full => {
                    state.bounds.pause();
                    None
                }
            });
        state.bounds.on_framed();
        state.waiting.push_back(WaitingRequest { read_at, early_call });
    }

    fn log_off(&self, state: &State, reason: OffReason) {
        let requests = state.bounds.framed();
        self.shared.emit_call(&Event::ReadAheadOff { requests, reason });
    }
}

impl State {
    /// Returns whether to read from the socket before the HTTP library asks for bytes.
    fn may_read(&self) -> bool {
        let within_body = self.framing.body_left() > 0;
        self.framing.is_on()
            && self.end.is_none()
            && self.framed_bytes == self.unread.len()
            && self.bounds.may_read(self.unread.len(), within_body)
    }

    /// Returns the number of bytes that the HTTP library may read from the socket itself, or
    /// `None` if they have to be framed first.
    fn passes_through(&self) -> Option<usize> {
        if !self.unread.is_empty() {
            return None;
        }
        if !self.framing.is_on() {
            return Some(usize::MAX);
        }
        let body_left = self.framing.body_left();
        (body_left > 0 && self.bounds.unfinished() <= 1).then_some(body_left as usize)
    }

    /// Moves framed bytes to the buffer of the HTTP library.
    fn pass_on(&mut self, buffer: &mut ReadBuf<'_>) {
        let bytes = self.framed_bytes.min(buffer.remaining());
        buffer.put_slice(&self.unread[..bytes]);
        self.unread.advance(bytes);
        self.framed_bytes -= bytes;
    }

    /// Consumes bytes of a body, but no further head.
    fn skip_body(&mut self) {
        let unframed = (self.unread.len() - self.framed_bytes) as u64;
        let skipped = self.framing.body_left().min(unframed);
        self.framing.skip_body(skipped);
        self.framed_bytes += skipped as usize;
    }

    fn cancel(&mut self, reason: CancelReason) {
        self.starts_early = false;
        for waiting in &mut self.waiting {
            if let Some(call) = waiting.early_call.take() {
                call.cancel(reason);
            }
        }
    }
}

/// The close of a connection by its caller, which is remembered once it was seen.
pub(crate) struct ClosedByCaller<F> {
    future: Option<Pin<Box<F>>>,
}

impl<F: Future<Output = ()>> ClosedByCaller<F> {
    /// Waits for `future`.
    pub(crate) fn new(future: F) -> Self {
        Self { future: Some(Box::pin(future)) }
    }

    fn poll(&mut self, cx: &mut Context<'_>) -> bool {
        if let Some(future) = &mut self.future
            && future.as_mut().poll(cx).is_ready()
        {
            self.future = None;
        }
        self.future.is_none()
    }
}
