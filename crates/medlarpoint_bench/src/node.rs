//! A node process, which runs one daemon for experiments that measure processes.

use std::io::Write as _;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use medlarpoint_config::{Head, head_key};
use medlarpoint_daemon::{Daemon, Log, Settings};
use medlarpoint_model::Version;
use medlarpoint_platform::store::{Client, Endpoint};
use medlarpoint_store::{Consistency, Store};
use serde::{Deserialize, Serialize};

use crate::Failure;

/// Limit on the wait of one watch request of the baseline.
const WATCH_WAIT: Duration = Duration::from_secs(10);

/// An event that a node prints as a line of JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Event {
    /// The node listens.
    Started {
        /// Address of the API.
        api: SocketAddr,
        /// Address for connections from peers.
        peer: SocketAddr,
    },
    /// The node serves callers.
    Ready {
        /// Time of the event, in microseconds since the Unix epoch.
        at_us: u64,
    },
    /// A version is in force.
    Applied {
        /// Version that is now in force.
        version: Version,
        /// Time of the event, in microseconds since the Unix epoch.
        at_us: u64,
    },
}

/// Returns the wall-clock time, in microseconds since the Unix epoch.
pub fn unix_time_us() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64
}

fn print(event: &Event) -> Result<(), Failure> {
    let mut out = std::io::stdout().lock();
    serde_json::to_writer(&mut out, event)?;
    out.write_all(b"\n")?;
    out.flush()?;
    Ok(())
}

/// Runs a daemon and prints its events until the process is killed.
pub async fn run(settings: &Path) -> Result<(), Failure> {
    let settings = Settings::read(settings)?;
    let log = Log::new(settings.options.log.format, &settings.options.vm)?;
    let daemon = Daemon::start(settings, log, None).await?;
    let addresses = daemon.addresses();
    print(&Event::Started { api: addresses.api, peer: addresses.peer })?;
    let mut version = Version::ZERO;
    let mut ready = false;
    loop {
        if !ready && daemon.is_ready() {
            ready = true;
            print(&Event::Ready { at_us: unix_time_us() })?;
        }
        let next = daemon.wait_for_version_after(version);
        let applied = if ready {
            Some(next.await)
        } else {
            tokio::time::timeout(Duration::from_millis(5), next).await.ok()
        };
        if let Some(newer) = applied {
            version = newer;
            print(&Event::Applied { version, at_us: unix_time_us() })?;
        }
    }
}

/// Runs the baseline, which only watches the configuration head in the store.
pub async fn run_baseline(store: SocketAddr) -> Result<(), Failure> {
    let store = Client::new(&[Endpoint(store)], Duration::from_secs(2));
    print(&Event::Started {
        api: SocketAddr::from(([0; 4], 0)),
        peer: SocketAddr::from(([0; 4], 0)),
    })?;
    print(&Event::Ready { at_us: unix_time_us() })?;
    let mut after = None;
    loop {
        let Some(revision) = after else {
            after = store
                .list(&head_key(), Consistency::Latest)
                .await
                .ok()
                .map(|listing| listing.current);
            continue;
        };
        let Ok(changes) = store.watch(&head_key(), revision, WATCH_WAIT).await else {
            after = None;
            continue;
        };
        after = Some(changes.current);
        for item in changes.changes.into_iter().filter_map(|change| change.item) {
            if let Ok(head) = Head::decode(&item.value) {
                print(&Event::Applied { version: head.version, at_us: unix_time_us() })?;
            }
        }
    }
}
