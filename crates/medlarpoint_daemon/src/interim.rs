//! Limit on the interim responses of a target, such as `100 Continue`.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use http::Request;
use tokio::sync::Notify;

/// Limit on the interim responses to one request. A target that writes more is in trouble, and
/// may write them without end.
const MAX_RESPONSES: u32 = 16;

/// Counts the interim responses to a request.
#[derive(Clone, Debug, Default)]
pub(crate) struct Counter(Arc<State>);

#[derive(Debug, Default)]
struct State {
    count: AtomicU32,
    exceeded: Notify,
}

impl Counter {
    /// Counts the interim responses to `request` once it is sent.
    pub(crate) fn watch<B>(request: &mut Request<B>) -> Self {
        let counter = Self::default();
        let observer = counter.clone();
        hyper::ext::on_informational(request, move |_| observer.increment());
        counter
    }

    /// Waits until there are more than [`MAX_RESPONSES`].
    pub(crate) async fn exceeded(&self) {
        self.0.exceeded.notified().await;
    }

    fn increment(&self) {
        if self.0.count.fetch_add(1, Ordering::Relaxed) == MAX_RESPONSES {
            self.0.exceeded.notify_one();
        }
    }
}
