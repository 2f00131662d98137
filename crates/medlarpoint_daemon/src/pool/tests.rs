//! Tests of [`super`].

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderValue, Request, StatusCode};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use super::{Demand, MAX_REJECTIONS, Pool, STALE_AFTER};
use crate::body::Body;
use crate::idle::Retention;

const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";

/// What a peer does with the second request on a connection.
#[derive(Clone, Copy)]
enum SecondRequest {
    /// Closes the connection, like a peer that has restarted.
    Close,
    /// Never responds, like a connection that has gone silent.
    Ignore,
}

async fn serve_connection(mut stream: TcpStream, second: SecondRequest) {
    let mut buffer = [0; 1_024];
    let _ = stream.read(&mut buffer).await;
    stream.write_all(RESPONSE).await.unwrap();
    let _ = stream.read(&mut buffer).await;
    if let SecondRequest::Ignore = second {
        std::future::pending::<()>().await;
    }
}

async fn start_peer(second: SecondRequest) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve_connection(stream, second));
        }
    });
    address
}

fn request() -> Request<Bytes> {
    let request = Request::builder().method("POST").uri("/config").header("host", "peer");
    request.body(Bytes::from_static(b"pull")).unwrap()
}

async fn assert_second_request_gets_a_response(second: SecondRequest) {
    let address = start_peer(second).await;
    let pool = Arc::new(Pool::new(Retention::PEER));
    for _ in 0..2 {
        let (response, connection) = pool.exchange_repeatable(address, request()).await.unwrap();
        assert_eq!(response.status(), StatusCode::OK);
        connection.release();
    }
}

/// Guards against CONFIG of issue 25: a pull over a connection to a peer that had
/// restarted failed, and the peer was not tried again until its next probe.
#[tokio::test]
async fn a_connection_that_breaks_is_replaced_by_a_new_one() {
    assert_second_request_gets_a_response(SecondRequest::Close).await;
}

/// Guards against CONFIG of issue 25: a pull over a silent connection took until its time
/// limit to fail.
#[tokio::test]
async fn a_connection_that_has_gone_silent_is_replaced_by_a_new_one() {
    assert_second_request_gets_a_response(SecondRequest::Ignore).await;
}

/// Guards against the cause of the day `severed`: connections that go silent for good while
/// new ones work. However many are idle, a control request tries one of them.
#[tokio::test]
async fn a_request_is_not_lost_on_one_silent_connection_after_another() {
    const IDLE: usize = 5;
    let address = start_peer(SecondRequest::Ignore).await;
    let pool = Arc::new(Pool::new(Retention::PEER));
    let mut connections = Vec::new();
    for _ in 0..IDLE {
        let (_, connection) = pool.exchange_repeatable(address, request()).await.unwrap();
        connections.push(connection);
    }
    for connection in connections {
        connection.release();
    }
    let exchange = pool.exchange_repeatable(address, request());
    let (response, _) = tokio::time::timeout(STALE_AFTER * 4, exchange).await.unwrap().unwrap();
    assert_eq!(response.status(), StatusCode::OK);
}

fn demand(id: &'static str) -> Demand {
    Demand { repeatable: true, id: Some(HeaderValue::from_static(id)) }
}

/// Sends a call that is rejected, and returns whether its connection had been used.
async fn reject(pool: &Arc<Pool>, address: SocketAddr, id: &'static str) -> bool {
    let request = request().map(Body::full);
    let (_, connection) = pool.exchange(address, request, &demand(id)).await.unwrap();
    let is_reused = connection.is_reused();
    connection.release_rejected(Some(HeaderValue::from_static(id)));
    is_reused
}

async fn start_rejecting_peer() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut buffer = [0; 1_024];
                while stream.read(&mut buffer).await.is_ok_and(|bytes| bytes > 0) {
                    stream.write_all(RESPONSE).await.unwrap();
                }
            });
        }
    });
    address
}

/// Guards against a rejection that is written once more and taken for the response to the same
/// call, which is sent on the same connection again.
#[tokio::test]
async fn a_call_is_never_sent_on_a_connection_on_which_it_was_rejected() {
    let address = start_rejecting_peer().await;
    let pool = Arc::new(Pool::new(Retention::TARGET));
    assert!(!reject(&pool, address, "a").await);
    assert!(reject(&pool, address, "b").await, "another call uses the connection");
    assert!(!reject(&pool, address, "a").await, "the same one a new connection");
    assert!(!reject(&pool, address, "a").await, "and each further time");
    assert!(reject(&pool, address, "c").await);
}

#[tokio::test]
async fn a_connection_closes_after_many_rejections() {
    let address = start_rejecting_peer().await;
    let pool = Arc::new(Pool::new(Retention::TARGET));
    for number in 0..=MAX_REJECTIONS {
        let id: &'static str = format!("call-{number}").leak();
        assert_eq!(reject(&pool, address, id).await, number > 0);
    }
    assert!(!reject(&pool, address, "last").await, "the connection is closed");
}
