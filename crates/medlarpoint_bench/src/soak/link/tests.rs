//! Tests of [`super`].

use std::net::{IpAddr, Ipv4Addr};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use super::{Condition, Link};

const IP: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);
/// Time that suffices for a byte on loopback and keeps the tests short.
const READ_TIMEOUT: Duration = Duration::from_millis(200);

/// Starts a link to a server that echoes all bytes.
async fn link_to_echo_server() -> Link {
    let listener = TcpListener::bind((IP, 0)).await.expect("a free loopback port");
    let address = listener.local_addr().expect("a bound listener has an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut read, mut write) = stream.into_split();
                let _ = tokio::io::copy(&mut read, &mut write).await;
            });
        }
    });
    Link::start(IP, address, tokio::sync::watch::channel(false).1).await.expect("the link starts")
}

async fn echo(stream: &mut TcpStream) -> Option<u8> {
    stream.write_all(b"x").await.ok()?;
    tokio::time::timeout(READ_TIMEOUT, stream.read_u8()).await.ok()?.ok()
}

#[tokio::test]
async fn a_normal_link_forwards_in_both_directions() {
    let link = link_to_echo_server().await;
    let mut stream =
        TcpStream::connect(link.address()).await.expect("the link accepts connections");
    assert_eq!(echo(&mut stream).await, Some(b'x'));
}

#[tokio::test]
async fn a_blocked_link_holds_bytes_until_it_is_normal() {
    for condition in [Condition::ForwardBlocked, Condition::BackwardBlocked, Condition::Blocked] {
        let link = link_to_echo_server().await;
        let mut stream =
            TcpStream::connect(link.address()).await.expect("the link accepts connections");
        link.set_condition(condition);
        assert_eq!(echo(&mut stream).await, None, "{condition:?}");
        link.set_condition(Condition::Normal);
        assert_eq!(stream.read_u8().await.ok(), Some(b'x'), "{condition:?}");
    }
}

#[tokio::test]
async fn a_reset_breaks_open_and_new_connections() {
    let link = link_to_echo_server().await;
    let mut stream =
        TcpStream::connect(link.address()).await.expect("the link accepts connections");
    assert_eq!(echo(&mut stream).await, Some(b'x'));
    link.set_condition(Condition::Reset);
    assert!(stream.read_u8().await.is_err());
    let mut second =
        TcpStream::connect(link.address()).await.expect("the link accepts connections");
    assert!(second.read_u8().await.is_err());
}
