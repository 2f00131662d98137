//! Tests of [`super`].

use std::convert::Infallible;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use proptest::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use super::{Framed, Framing, Item, OffReason};

const MAX_HEAD_BYTES: usize = 8_192;
/// Time limit for the HTTP library to read what a test sends.
const SERVE_TIMEOUT: Duration = Duration::from_secs(10);

/// Returns what is found in bytes that arrive in chunks.
fn frame<'a>(chunks: impl IntoIterator<Item = &'a [u8]>) -> (Vec<Framed>, Option<OffReason>) {
    let mut framing = Framing::new(MAX_HEAD_BYTES);
    let (mut requests, mut off) = (Vec::new(), None);
    for mut chunk in chunks {
        while !chunk.is_empty() {
            let (consumed, item) = framing.next(chunk, true);
            assert!(consumed > 0 && consumed <= chunk.len());
            chunk = &chunk[consumed..];
            match item {
                Some(Item::Request(framed)) => requests.push(framed),
                Some(Item::Off(reason)) => assert_eq!(off.replace(reason), None),
                None => {}
            }
        }
    }
    assert!(framing.partial.len() <= MAX_HEAD_BYTES);
    (requests, off)
}

fn off(bytes: &[u8]) -> Option<OffReason> {
    frame([bytes]).1
}

#[test]
fn requests_with_and_without_bodies_are_found() {
    let bytes =
        b"GET /a HTTP/1.1\r\nhost: a\r\n\r\nPOST /b HTTP/1.1\r\ncontent-length: 3\r\n\r\nabc\
        HEAD /c HTTP/1.1\r\ncontent-length: 0\r\n\r\n";
    let (requests, off) = frame([&bytes[..]]);
    assert_eq!(off, None);
    let bodies: Vec<u64> = requests.iter().map(|request| request.body_bytes).collect();
    assert_eq!(bodies, [0, 3, 0]);
    let targets: Vec<_> = requests.iter().map(|r| r.head.as_ref().map(|h| h.uri.path())).collect();
    assert_eq!(targets, [Some("/a"), None, Some("/c")]);
    let total: u64 = requests.iter().map(|r| r.head_bytes as u64 + r.body_bytes).sum();
    assert_eq!(total, bytes.len() as u64);
}

/// Guards against starting calls that a caller may not expect to run: those that it would
/// take back, or that are not the ones that the HTTP library reads.
#[test]
fn only_plain_reads_may_start_before_their_turn() {
    let may_start = |head: &str| frame([head.as_bytes()]).0.into_iter().any(|r| r.head.is_some());
    assert!(may_start("GET / HTTP/1.1\r\n\r\n"));
    assert!(may_start("HEAD / HTTP/1.1\r\ncontent-length: 0\r\n\r\n"));
    for head in [
        "POST / HTTP/1.1\r\n\r\n",
        "get / HTTP/1.1\r\n\r\n",
        "GET / HTTP/1.1\r\nexpect: 100-continue\r\n\r\n",
        "GET / HTTP/1.1\r\ncontent-length: 1\r\n\r\n",
        "GET / HTTP/1.1\r\nupgrade: websocket\r\n\r\n",
        "GET / HTTP/1.0\r\n\r\n",
    ] {
        assert!(!may_start(head), "{head:?}");
    }
}

/// Guards against request smuggling: bytes that a caller, the framing and the HTTP library
/// could divide differently must not be divided by the framing at all.
#[test]
fn ambiguous_requests_turn_the_framing_off() {
    let cases: [(&str, OffReason); 19] = [
        ("POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n", OffReason::TransferEncoding),
        (
            "POST / HTTP/1.1\r\ncontent-length: 4\r\ntransfer-encoding: chunked\r\n\r\n",
            OffReason::TransferEncoding,
        ),
        (
            "POST / HTTP/1.1\r\nTransfer-Encoding: xchunked\r\nContent-Length: 4\r\n\r\n",
            OffReason::TransferEncoding,
        ),
        ("GET / HTTP/1.1\r\ncontent-length: 4\r\ncontent-length: 5\r\n\r\n", OffReason::BodyLength),
        ("GET / HTTP/1.1\r\ncontent-length: 0\r\ncontent-length: 0\r\n\r\n", OffReason::BodyLength),
        ("GET / HTTP/1.1\r\ncontent-length: 4, 4\r\n\r\n", OffReason::BodyLength),
        ("GET / HTTP/1.1\r\ncontent-length: +4\r\n\r\n", OffReason::BodyLength),
        ("GET / HTTP/1.1\r\ncontent-length: 0x4\r\n\r\n", OffReason::BodyLength),
        ("GET / HTTP/1.1\r\ncontent-length:\r\n\r\n", OffReason::BodyLength),
        ("GET / HTTP/1.1\r\ncontent-length: 99999999999999999999\r\n\r\n", OffReason::BodyLength),
        ("GET / HTTP/1.1\r\ncontent-length : 4\r\n\r\n", OffReason::Malformed),
        ("GET / HTTP/1.1\r\nx: a\r\n folded: b\r\n\r\n", OffReason::Malformed),
        ("GET / HTTP/1.1\r\nx: a\r\n\tcontent-length: 4\r\n\r\n", OffReason::Malformed),
        ("GET / HTTP/1.1\r\nx: a\n\r\n", OffReason::BareLineFeed),
        ("GET / HTTP/1.1\n\n", OffReason::BareLineFeed),
        ("GET / HTTP/1.0\r\n\r\n", OffReason::OldVersion),
        ("\r\n\r\nGET / HTTP/1.1\r\n\r\n", OffReason::Malformed),
        ("CONNECT a:1 HTTP/1.1\r\n\r\n", OffReason::Upgrade),
        ("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", OffReason::Http2),
    ];
    for (bytes, reason) in cases {
        let bytes = format!("{bytes}GET /smuggled HTTP/1.1\r\n\r\n");
        let (requests, off) = frame([bytes.as_bytes()]);
        assert_eq!((requests.len(), off), (0, Some(reason)), "{bytes:?}");
    }
}

#[test]
fn a_head_above_the_limit_turns_the_framing_off() {
    let long = format!("GET / HTTP/1.1\r\nx: {}", "a".repeat(MAX_HEAD_BYTES));
    assert_eq!(off(long.as_bytes()), Some(OffReason::HeadSize));
    assert_eq!(off(format!("{long}\r\n\r\n").as_bytes()), Some(OffReason::HeadSize));
    let mut framing = Framing::new(MAX_HEAD_BYTES);
    let found = long.as_bytes().iter().find_map(|&byte| framing.next(&[byte], true).1);
    assert_eq!(found, Some(Item::Off(OffReason::HeadSize)));
}

/// Guards against starting calls behind a request after which the connection ends.
#[test]
fn nothing_is_found_behind_a_request_that_closes_the_connection() {
    let bytes = b"GET /a HTTP/1.1\r\nconnection: x, Close\r\n\r\nGET /b HTTP/1.1\r\n\r\n";
    let (requests, off) = frame([&bytes[..]]);
    assert_eq!((requests.len(), off), (1, None));
}

/// What the HTTP library has read of a request.
#[derive(Debug, PartialEq, Eq)]
struct Served {
    method: String,
    target: String,
    headers: usize,
    body_bytes: u64,
}

/// Returns the requests that the HTTP library serves from bytes.
async fn serve(bytes: Vec<u8>) -> Vec<Served> {
    let served = Arc::new(Mutex::new(Vec::new()));
    let (mut caller, server) = tokio::io::duplex(1 << 20);
    let service = {
        let served = Arc::clone(&served);
        service_fn(move |request: Request<Incoming>| {
            let served = Arc::clone(&served);
            async move {
                let (parts, body) = request.into_parts();
                if let Ok(body) = body.collect().await {
                    let request = Served {
                        method: parts.method.to_string(),
                        target: parts.uri.to_string(),
                        headers: parts.headers.len(),
                        body_bytes: body.to_bytes().len() as u64,
                    };
                    served.lock().unwrap().push(request);
                }
                Ok::<_, Infallible>(Response::new(Full::new(Bytes::new())))
            }
        })
    };
    let mut builder = http1::Builder::new();
    builder.max_buf_size(MAX_HEAD_BYTES).half_close(true);
    let connection = builder.serve_connection(TokioIo::new(server), service);
    let exchange = async {
        caller.write_all(&bytes).await.unwrap();
        caller.shutdown().await.unwrap();
        let mut responses = Vec::new();
        caller.read_to_end(&mut responses).await.unwrap();
    };
    let both = async { tokio::join!(connection, exchange) };
    // The result is an error for most malformed input.
    let _ = tokio::time::timeout(SERVE_TIMEOUT, both).await.unwrap();
    Arc::into_inner(served).unwrap().into_inner().unwrap()
}

/// Parts of requests, valid ones and those of smuggling attempts.
const LINES: [&str; 24] = [
    "host: a\r\n",
    "x-request-id: 7\r\n",
    "content-length: 0\r\n",
    "content-length: 5\r\n",
    "Content-Length: 17\r\n",
    "content-length: 05\r\n",
    "content-length: 5, 5\r\n",
    "content-length: -1\r\n",
    "content-length: +5\r\n",
    "content-length:5\r\n",
    "content-length: \t5 \r\n",
    "content-length : 5\r\n",
    "transfer-encoding: chunked\r\n",
    "Transfer-Encoding: identity\r\n",
    "transfer-encoding:\tchunked\r\n",
    "transfer_encoding: chunked\r\n",
    "connection: close\r\n",
    "connection: keep-alive\r\n",
    "expect: 100-continue\r\n",
    "upgrade: h2c\r\n",
    "x: a\r\n b\r\n",
    "x: a\n",
    "x: a\rb\r\n",
    "\u{0}: b\r\n",
];
const STARTS: [&str; 9] = [
    "GET /a HTTP/1.1\r\n",
    "GET /b?c=d HTTP/1.1\r\n",
    "POST /a HTTP/1.1\r\n",
    "HEAD /a HTTP/1.1\r\n",
    "GET /a HTTP/1.0\r\n",
    "GET  /a HTTP/1.1\r\n",
    "GET http://a/b HTTP/1.1\r\n",
    "\r\nGET /a HTTP/1.1\r\n",
    "GET /a HTTP/1.1\n",
];
const ENDS: [&str; 8] = [
    "\r\n",
    "\r\n",
    "\r\nabcde",
    "\r\nabcde",
    "\r\n5\r\nabcde\r\n0\r\n\r\n",
    "\r\n0\r\n\r\n",
    "\n",
    "\r\nGET /s HTTP/1.1\r\n\r\n",
];

/// Generates the bytes of a sequence of requests, many of which are valid.
fn sequence() -> impl Strategy<Value = Vec<u8>> {
    let valid = (0..4_usize, prop::collection::vec(0..2_usize, 0..3), 0..40_usize).prop_map(
        |(start, lines, body)| {
            let lines: String = lines.into_iter().map(|line| LINES[line]).collect();
            let (start, body) = (STARTS[start], "b".repeat(body));
            format!("{start}{lines}content-length: {}\r\n\r\n{body}", body.len()).into_bytes()
        },
    );
    let mixed = (0..STARTS.len(), prop::collection::vec(0..LINES.len(), 0..3), 0..ENDS.len())
        .prop_map(|(start, lines, end)| {
            let lines: String = lines.into_iter().map(|line| LINES[line]).collect();
            format!("{}{lines}{}", STARTS[start], ENDS[end]).into_bytes()
        });
    let noise = prop::collection::vec(any::<u8>(), 1..40);
    let request = prop_oneof![6 => valid, 6 => mixed, 1 => noise];
    prop::collection::vec(request, 1..6).prop_map(|requests| requests.concat())
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(1_000))]

    /// Guards against boundaries that depend on how the network splits the bytes.
    #[test]
    fn any_split_gives_the_same_framing(
        bytes in sequence(),
        cuts in prop::collection::vec(any::<prop::sample::Index>(), 0..12),
    ) {
        let mut cuts: Vec<usize> = cuts.iter().map(|cut| cut.index(bytes.len() + 1)).collect();
        cuts.extend([0, bytes.len()]);
        cuts.sort_unstable();
        let split = frame(cuts.windows(2).map(|cut| &bytes[cut[0]..cut[1]]));
        let whole = frame([&bytes[..]]);
        prop_assert_eq!(&split, &whole);
        prop_assert_eq!(&frame(bytes.chunks(1)), &whole);
    }

    /// Guards against request smuggling: each request that the framing finds is the one that
    /// the HTTP library reads, with the same end.
    #[test]
    fn the_framing_agrees_with_the_http_library(bytes in sequence()) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        let served = runtime.block_on(serve(bytes.clone()));
        let (requests, off) = frame([&bytes[..]]);
        let mut end = 0;
        let mut complete = 0;
        for (index, framed) in requests.iter().enumerate() {
            end += framed.head_bytes as u64 + framed.body_bytes;
            if end > bytes.len() as u64 {
                break;
            }
            complete += 1;
            let Some(request) = served.get(index) else {
                return Err(TestCaseError::fail(format!("{index} of {requests:?}: {served:?}")));
            };
            prop_assert_eq!(framed.body_bytes, request.body_bytes);
            if let Some(head) = &framed.head {
                prop_assert_eq!(head.method.as_str(), &request.method);
                prop_assert_eq!(head.uri.to_string(), request.target.clone());
                prop_assert_eq!(head.headers.len(), request.headers);
            }
        }
        if off.is_none() {
            prop_assert_eq!(complete, served.len());
        }
    }
}
