//! Tests of [`super`].

use std::task::{Context, Poll, Waker};

use bytes::Bytes;
use http::{Request, header};

use super::{HeldBody, MAX_REPLAY_BYTES, Reader};
use crate::body::{Body, BodyError};

type Chunk = Poll<Option<Result<Bytes, BodyError>>>;

fn held(bytes: usize) -> std::sync::Arc<HeldBody> {
    HeldBody::new(Body::full(vec![7; bytes].into()))
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
    let (mut request, permission) = body.announce(Request::new(Body::empty()));
    assert_eq!(request.headers()[header::EXPECT], "100-continue");
    assert!(poll(reader(&mut request)).is_pending());
    let sender = super::lock(&permission.sender).take().expect("not given yet");
    sender.send(()).expect("the reader waits");
    assert_eq!(read_bytes(reader(&mut request)), 60_000);
}

#[test]
fn a_rejected_attempt_leaves_the_body_to_the_next_one() {
    let body = held(60_000);
    let (mut request, permission) = body.announce(Request::new(Body::empty()));
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
