//! Tests of [`super`].

use std::net::{IpAddr, Ipv4Addr};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use super::{Condition, Link};

const IP: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);
/// Long enough for a byte on loopback, short enough for a test.
const MOMENT: Duration = Duration::from_millis(200);

/// A link to a server that sends everything back.
async fn link() -> Link {
    let listener = TcpListener::bind((IP, 0)).await.expect("a port");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut read, mut write) = stream.into_split();
                let _ = tokio::io::copy(&mut read, &mut write).await;
            });
        }
    });
    Link::start(IP, address).await.expect("a link")
}

async fn echoed(stream: &mut TcpStream) -> Option<u8> {
    stream.write_all(b"x").await.ok()?;
    tokio::time::timeout(MOMENT, stream.read_u8()).await.ok()?.ok()
}

#[tokio::test]
async fn a_clear_link_carries_both_ways() {
    let link = link().await;
    let mut stream = TcpStream::connect(link.address()).await.expect("connected");
    assert_eq!(echoed(&mut stream).await, Some(b'x'));
}

#[tokio::test]
async fn a_cut_link_holds_bytes_until_it_is_clear() {
    for cut in [Condition::ForwardCut, Condition::BackwardCut, Condition::Silent] {
        let link = link().await;
        let mut stream = TcpStream::connect(link.address()).await.expect("connected");
        link.set(cut);
        assert_eq!(echoed(&mut stream).await, None, "{cut:?}");
        link.set(Condition::Clear);
        assert_eq!(stream.read_u8().await.ok(), Some(b'x'), "{cut:?}");
    }
}

#[tokio::test]
async fn a_reset_breaks_open_connections_and_new_ones() {
    let link = link().await;
    let mut stream = TcpStream::connect(link.address()).await.expect("connected");
    assert_eq!(echoed(&mut stream).await, Some(b'x'));
    link.set(Condition::Reset);
    assert!(stream.read_u8().await.is_err());
    let mut next = TcpStream::connect(link.address()).await.expect("connected");
    assert!(next.read_u8().await.is_err());
}
