//! Asks the process of the target whether it is in service.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http::uri::PathAndQuery;
use http::{Method, Request};
use http_body_util::{BodyExt, Limited};
use medlarpoint_membership::instance::Instance;
use medlarpoint_platform::health;

use crate::interim;
use crate::state::{Shared, lock};

/// Size limit of the body of an answer, in bytes.
const MAX_BODY_BYTES: usize = 16 * 1024;

/// A request for the health path of the target's service.
#[derive(Clone, Debug)]
pub(crate) struct Question {
    address: SocketAddr,
    path: PathAndQuery,
    /// Instance id of the process that has reported.
    instance: Arc<str>,
}

impl Question {
    /// Creates a question to the process that has reported as the target and has not said that
    /// it leaves. Returns `None` if there is none, or if its service has no health path.
    pub(crate) fn new(shared: &Shared) -> Option<Self> {
        let target = lock(&shared.target).clone()?;
        let process = target.instance.filter(Instance::accepts_work)?;
        let path = shared.health_paths.load().get(&target.service)?.clone();
        let instance = Arc::clone(&process.report().instance);
        Some(Self { address: target.address, path, instance })
    }

    /// Returns whether the process answers that it is in service.
    pub(crate) async fn ask(self, shared: &Shared) -> bool {
        let request = Request::builder()
            .method(Method::GET)
            .uri(self.path)
            .header(http::header::HOST, self.address.to_string())
            .body(Bytes::new());
        let Ok(mut request) = request else {
            return false;
        };
        let interim = interim::Counter::watch(&mut request);
        let exchange = shared.target_pool.exchange_repeatable(self.address, request);
        let exchanged = tokio::select! {
            exchanged = exchange => exchanged,
            () = interim.exceeded() => return false,
        };
        let Ok((response, connection)) = exchanged else {
            return false;
        };
        let is_in_service =
            health::is_in_service(&self.instance, response.status(), response.headers());
        // The connection is closed if the body is longer or breaks off.
        if Limited::new(response.into_body(), MAX_BODY_BYTES).collect().await.is_ok() {
            connection.release();
        }
        is_in_service
    }
}
