//! A call that is started before its turn on the connection.

use std::sync::Arc;
use std::time::Duration;

use http::{Request, Response};
use medlarpoint_platform::call;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::task::JoinHandle;

use super::framing::Head;
use crate::body::Body;
use crate::caller_body::CallerBody;
use crate::event::Event;
use crate::outbound;
use crate::outbound_response::call_id;
use crate::state::Shared;

/// Limit on the early calls of the process whose responses were not taken.
const MAX_EARLY_CALLS: usize = 1_024;

/// Reason why a call that was started before its turn was cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum CancelReason {
    /// The connection ended: the caller closed it, or the HTTP library did.
    ConnectionEnded,
    /// The daemon closes: the time for its shutdown is over.
    Stopping,
    /// The HTTP library has read another request than the framing.
    Mismatch,
}

/// Limit on the early calls of the process.
#[derive(Debug)]
pub(crate) struct EarlyCalls {
    permits: Arc<Semaphore>,
}

impl EarlyCalls {
    /// Creates the limit; no call has been started.
    pub(crate) fn new() -> Self {
        Self { permits: Arc::new(Semaphore::new(MAX_EARLY_CALLS)) }
    }
}

/// Result of the attempt to start a call.
pub(crate) enum Start {
    /// The call runs.
    Started(Box<EarlyCall>),
    /// The call waits for its turn, because it is not repeatable.
    NotRepeatable,
    /// The call waits for its turn, because the process has too many early calls.
    Full,
}

/// A call that was started before its turn. Dropping it cancels the call, unless its
/// response was taken.
pub(crate) struct EarlyCall {
    shared: Arc<Shared>,
    head: Box<Head>,
    task: JoinHandle<Response<Body>>,
    taken: bool,
    cancel_reason: CancelReason,
    _permit: OwnedSemaphorePermit,
}

impl EarlyCall {
    /// Starts a call that was read at `read_at`, on the local clock.
    pub(crate) fn start(shared: &Arc<Shared>, head: Box<Head>, read_at: Duration) -> Start {
        if !outbound::is_repeatable(shared, head.to_request()) {
            return Start::NotRepeatable;
        }
        let Ok(permit) = Arc::clone(&shared.early_calls.permits).try_acquire_owned() else {
            return Start::Full;
        };
        metrics::counter!("medlarpoint_early_calls_total", "event" => "started").increment(1);
        let request = head.to_request();
        Start::Started(Box::new(Self {
            shared: Arc::clone(shared),
            head,
            task: tokio::spawn(outbound::serve(Arc::clone(shared), request, Some(read_at))),
            taken: false,
            cancel_reason: CancelReason::ConnectionEnded,
            _permit: permit,
        }))
    }

    /// Returns whether this is the call that the HTTP library has read.
    pub(crate) fn matches<B>(&self, request: &Request<B>) -> bool {
        let Head { method, uri, headers } = &*self.head;
        method == request.method() && uri == request.uri() && headers == request.headers()
    }

    /// Waits for the response. Returns `None` if the task that runs the call has panicked.
    pub(crate) async fn response(mut self) -> Option<Response<Body>> {
        let response = (&mut self.task).await.ok()?;
        self.taken = true;
        metrics::counter!("medlarpoint_early_calls_total", "event" => "used").increment(1);
        Some(response)
    }

    /// Cancels the call.
    pub(crate) fn cancel(mut self, reason: CancelReason) {
        self.cancel_reason = reason;
    }
}

impl Drop for EarlyCall {
    fn drop(&mut self) {
        if self.taken {
            return;
        }
        self.task.abort();
        metrics::counter!("medlarpoint_early_calls_total", "event" => "cancelled").increment(1);
        let id = call_id(call::caller_info(&self.head.headers).id.as_ref());
        let reason = self.cancel_reason;
        self.shared.emit_call(&Event::EarlyCallCancelled { id, reason });
    }
}

impl Head {
    fn to_request(&self) -> Request<CallerBody> {
        let mut request = Request::new(CallerBody::empty());
        request.method_mut().clone_from(&self.method);
        request.uri_mut().clone_from(&self.uri);
        request.headers_mut().clone_from(&self.headers);
        request
    }
}
