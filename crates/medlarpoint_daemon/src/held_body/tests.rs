//! Tests of [`super`].

use std::convert::Infallible;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, header};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::io::AsyncWriteExt;
use tokio::time::Instant;

use super::{HeldBody, MAX_REPLAY_BYTES, Permission, Reader, announce};
use crate::body::{Body, BodyError};
use crate::body_limit::Limiter;

type Chunk = Poll<Option<Result<Bytes, BodyError>>>;

fn held(bytes: usize) -> Arc<HeldBody> {
    HeldBody::new(Body::full(vec![7; bytes].into()))
}

fn announced(body: &Arc<HeldBody>) -> (Request<Body>, Permission) {
    let mut request = Request::new(Body::Held(body.reader()));
    let permission = announce(&mut request).expect("the body is held");
    (request, permission)
}

fn poll(reader: &mut Reader) -> Chunk {
    reader.poll_chunk(&mut Context::from_waker(Waker::noop()))
}

fn read_bytes(reader: &mut Reader) -> usize {
    let mut read = 0;
    while let Poll::Ready(Some(chunk)) = poll(reader) {
        read += chunk.expect("the body is complete").len();
    }
    read
}

fn reader(request: &mut Request<Body>) -> &mut Reader {
    match request.body_mut() {
        Body::Held(reader) => reader,
        _ => panic!("the body is held"),
    }
}

#[test]
fn an_announced_body_is_not_read_before_it_is_asked_for() {
    let body = held(60_000);
    let (mut request, permission) = announced(&body);
    assert_eq!(request.headers()[header::EXPECT], "100-continue");
    assert!(poll(reader(&mut request)).is_pending());
    let sender = super::lock(&permission.sender).take().expect("not given yet");
    sender.send(()).expect("the reader waits");
    assert_eq!(read_bytes(reader(&mut request)), 60_000);
}

#[test]
fn a_rejected_attempt_leaves_the_body_to_the_next_one() {
    let body = held(60_000);
    let (mut request, permission) = announced(&body);
    drop(permission);
    assert!(matches!(poll(reader(&mut request)), Poll::Ready(Some(Err(BodyError::Unwanted)))));
    assert!(body.is_replayable());
    assert_eq!(read_bytes(&mut body.reader()), 60_000);
}

#[test]
fn a_body_that_was_read_is_sent_again_from_memory() {
    let body = held(60_000);
    assert_eq!(read_bytes(&mut body.reader()), 60_000);
    assert!(body.is_replayable());
    assert_eq!(read_bytes(&mut body.reader()), 60_000);
}

#[test]
fn a_body_that_is_too_large_to_keep_is_sent_once() {
    let body = held(MAX_REPLAY_BYTES + 1);
    assert_eq!(read_bytes(&mut body.reader()), MAX_REPLAY_BYTES + 1);
    assert!(!body.is_replayable());
    assert!(matches!(poll(&mut body.reader()), Poll::Ready(Some(Err(BodyError::Consumed)))));
}

/// Returns the body of a request with 60,000 bytes that arrives over `stream`.
async fn receive_request(stream: tokio::io::DuplexStream) -> Arc<HeldBody> {
    let (sender, receiver) = tokio::sync::oneshot::channel();
    let sender = Mutex::new(Some(sender));
    let service = service_fn(move |request: Request<Incoming>| {
        if let Some(sender) = super::lock(&sender).take() {
            sender.send(request.into_body()).expect("the test waits");
        }
        std::future::pending::<Result<Response<Body>, Infallible>>()
    });
    let builder = hyper::server::conn::http1::Builder::new();
    tokio::spawn(builder.serve_connection(TokioIo::new(stream), service));
    let incoming = receiver.await.expect("the request arrives");
    let limiter = Limiter::new(u64::MAX, Duration::from_secs(60));
    HeldBody::new(Body::limited(Bytes::new(), incoming, limiter))
}

/// Reads until no more of the body arrives.
async fn read_available(reader: &mut Reader) -> usize {
    let mut read = 0;
    for _ in 0..1_000 {
        if let Poll::Ready(Some(chunk)) = poll(reader) {
            read += chunk.expect("the body is complete").len();
        }
        tokio::task::yield_now().await;
    }
    read
}

#[tokio::test]
async fn the_last_chunk_is_withheld_until_the_caller_has_sent_the_whole_body() {
    let (mut caller, stream) = tokio::io::duplex(1 << 20);
    let head = "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 60000\r\n\r\n";
    caller.write_all(head.as_bytes()).await.unwrap();
    let mut reader = receive_request(stream).await.reader();
    caller.write_all(&vec![7; 59_999]).await.unwrap();
    let early = read_available(&mut reader).await;
    assert!(early < 59_999, "{early} bytes were passed on before the end of the body");
    caller.write_all(&[7]).await.unwrap();
    assert_eq!(early + read_available(&mut reader).await, 60_000);
    assert!(reader.is_finished());
}

#[tokio::test]
async fn a_body_that_was_held_is_not_passed_on_before_the_close_of_its_connection_shows() {
    let (mut caller, stream) = tokio::io::duplex(1 << 20);
    let head = "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 60000\r\n\r\n";
    caller.write_all(head.as_bytes()).await.unwrap();
    let mut body = Arc::into_inner(receive_request(stream).await).expect("not shared yet");
    // The wait of this body for the close does not end within the test.
    body.check_from = Instant::now();
    body.close_delay = Duration::from_secs(3_600);
    let mut reader = Arc::new(body).reader();
    caller.write_all(&vec![7; 60_000]).await.unwrap();
    assert!(read_available(&mut reader).await < 60_000);
    assert!(!reader.is_finished());
}
