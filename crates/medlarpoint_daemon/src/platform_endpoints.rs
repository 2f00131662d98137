//! Listeners for the platform's readiness probe and for reports from the target
//! of this VM.

use std::convert::Infallible;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use medlarpoint_platform::{readiness, report};
use tokio::net::TcpListener;

use crate::control::Driver;
use crate::event::Event;
use crate::server::accept;
use crate::state::Shared;
use crate::target::{self, ReportError};

/// Maximum time to wait for a request on an open connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum size of a report, in bytes.
const MAX_REPORT_BYTES: usize = 16 * 1024;

/// Responds to readiness probes until the daemon closes.
pub(crate) async fn serve_readiness(shared: Arc<Shared>, listener: TcpListener) {
    let state = Arc::clone(&shared);
    serve(&shared, listener, move |request| {
        let status = if !readiness::is_probe(request.method(), request.uri().path()) {
            StatusCode::NOT_FOUND
        } else if state.lifecycle.reports_ready() {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        async move { respond(status, "") }
    })
    .await;
}

/// Accepts reports from the target until the daemon closes.
pub(crate) async fn serve_reports(driver: Arc<Driver>, listener: TcpListener) {
    let shared = Arc::clone(driver.shared());
    serve(&shared, listener, move |request| handle_report(Arc::clone(&driver), request)).await;
}

async fn serve<F>(
    shared: &Arc<Shared>,
    listener: TcpListener,
    handle: impl Fn(Request<Incoming>) -> F + Clone + Send + 'static,
) where
    F: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    loop {
        let Some(stream) = accept(shared, &listener).await else {
            return;
        };
        let (shared, handle) = (Arc::clone(shared), handle.clone());
        tokio::spawn(async move {
            let service = service_fn(move |request| {
                let response = handle(request);
                async move { Ok::<_, Infallible>(response.await) }
            });
            let connection = hyper::server::conn::http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(IDLE_TIMEOUT)
                .serve_connection(TokioIo::new(stream), service);
            tokio::select! {
                // The client handles a broken connection.
                _ = connection => {}
                () = shared.lifecycle.wait_closed() => {}
            }
        });
    }
}

fn respond(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response
}

async fn handle_report(driver: Arc<Driver>, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let (parts, body) = request.into_parts();
    let Some(message) = report::classify(&parts.method, parts.uri.path()) else {
        return respond(StatusCode::NOT_FOUND, "");
    };
    let Ok(body) = Limited::new(body, MAX_REPORT_BYTES).collect().await else {
        return respond(StatusCode::PAYLOAD_TOO_LARGE, "");
    };
    let body = body.to_bytes();
    let (instance, result) = match message {
        report::Message::Heartbeat { instance } => {
            (instance, accept_heartbeat(&driver, instance, &body).await)
        }
        report::Message::Deregistration { instance } => {
            (instance, deregister(&driver, instance, &body).await)
        }
    };
    match result {
        Ok(()) => respond(StatusCode::OK, report::ACCEPTED_BODY),
        Err(ReportError::NotKept(_)) => respond(StatusCode::SERVICE_UNAVAILABLE, ""),
        Err(error) => {
            let (instance, reason) = (instance.to_owned(), error.to_string());
            driver.shared().emit(&Event::BadReport { instance, reason });
            respond(StatusCode::BAD_REQUEST, "")
        }
    }
}

async fn accept_heartbeat(
    driver: &Arc<Driver>,
    instance: &str,
    body: &[u8],
) -> Result<(), ReportError> {
    let heartbeat = report::parse_heartbeat(body)?;
    target::accept_heartbeat(driver, instance, &heartbeat).await
}

async fn deregister(driver: &Arc<Driver>, instance: &str, body: &[u8]) -> Result<(), ReportError> {
    let born_ms = report::parse_deregistration(body)?;
    target::deregister(driver, instance, born_ms).await
}
