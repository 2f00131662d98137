//! Tests of [`super`] together with the client of the platform's store.

use std::time::Duration;

use medlarpoint_platform::operator;
use medlarpoint_platform::store::{Client, Endpoint};
use medlarpoint_store::{Consistency, Error, Expected, Key, Store};

use super::StoreServer;

const TTL: Duration = Duration::from_secs(60);

async fn start() -> (StoreServer, Client) {
    let server = StoreServer::start("127.0.0.1:0".parse().unwrap(), 1).await.unwrap();
    let client = Client::new(&[Endpoint(server.address())], Duration::from_secs(10));
    (server, client)
}

fn key(text: &str) -> Key {
    text.parse().unwrap()
}

/// Guards against CONFIG of issue 25: a change whose revision had been given out before
/// the store was restored from a copy was skipped by a watch from that time.
#[tokio::test]
async fn a_watch_from_before_a_restore_does_not_skip_changes() {
    let (server, client) = start().await;
    let copy = server.backup();
    client.put(&key("daemons/vm-1"), Expected::Any, "1".into(), None).await.unwrap();
    client.put(&key("daemons/vm-2"), Expected::Any, "2".into(), None).await.unwrap();
    let before = client.list(&operator::key(), Consistency::Latest).await.unwrap().current;
    server.restore(copy);
    server.publish("version 1");
    client.put(&key("daemons/vm-3"), Expected::Any, "3".into(), None).await.unwrap();
    let watched = client.watch(&operator::key(), before, Duration::ZERO).await;
    assert_eq!(watched, Err(Error::Compacted));
    let listing = client.list(&operator::key(), Consistency::Latest).await.unwrap();
    assert_eq!(listing.items.len(), 1);
    assert!(client.watch(&operator::key(), listing.current, Duration::ZERO).await.is_ok());
}

/// Guards against a daemon that renews a lease which another daemon was granted after the
/// store was restored from a copy, and whose own entry stays lost.
#[tokio::test]
async fn a_lease_from_before_a_restore_is_not_found() {
    let (server, client) = start().await;
    let copy = server.backup();
    let lease = client.grant(TTL).await.unwrap();
    assert_eq!(client.renew(lease).await, Ok(()));
    server.restore(copy);
    let other = client.grant(TTL).await.unwrap();
    assert_eq!(other.id, lease.id);
    assert_eq!(client.renew(lease).await, Err(Error::LeaseNotFound));
    assert_eq!(client.renew(other).await, Ok(()));
}

#[tokio::test]
async fn each_restore_starts_a_new_era() {
    let (server, client) = start().await;
    client.grant(TTL).await.unwrap();
    let first = client.era();
    for _ in 0..2 {
        server.restore(server.backup());
    }
    client.grant(TTL).await.unwrap();
    assert_eq!(client.era().0, first.0 + 2);
}
