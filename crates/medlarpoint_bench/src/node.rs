//! A daemon in a process of its own, for experiments that measure processes.

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

/// Longest wait of a watch of the baseline.
const WATCH_WAIT: Duration = Duration::from_secs(10);

/// A line that a node prints.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Line {
    /// It listens.
    Started {
        /// Address of its API.
        api: SocketAddr,
        /// Address for peers.
        peer: SocketAddr,
    },
    /// It serves callers.
    Ready {
        /// When, in microseconds since the Unix epoch.
        at_us: u64,
    },
    /// A version is in force.
    Applied {
        /// The version.
        version: Version,
        /// When, in microseconds since the Unix epoch.
        at_us: u64,
    },
}

/// Returns the wall-clock time, in microseconds since the Unix epoch.
pub fn wall_us() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64
}

fn print(line: &Line) -> Result<(), Failure> {
    let mut out = std::io::stdout().lock();
    serde_json::to_writer(&mut out, line)?;
    out.write_all(b"\n")?;
    out.flush()?;
    Ok(())
}

/// Runs a daemon and prints what happens, until it is killed.
pub async fn run(settings: &Path) -> Result<(), Failure> {
    let settings = Settings::read(settings)?;
    let log = Log::new(settings.options.log.format, &settings.options.vm)?;
    let daemon = Daemon::start(settings, log, None).await?;
    let addresses = daemon.addresses();
    print(&Line::Started { api: addresses.api, peer: addresses.peer })?;
    let mut version = Version::ZERO;
    let mut ready = false;
    loop {
        if !ready && daemon.is_ready() {
            ready = true;
            print(&Line::Ready { at_us: wall_us() })?;
        }
        let later = daemon.wait_for_version_after(version);
        let waited = if ready {
            Some(later.await)
        } else {
            tokio::time::timeout(Duration::from_millis(5), later).await.ok()
        };
        if let Some(later) = waited {
            version = later;
            print(&Line::Applied { version, at_us: wall_us() })?;
        }
    }
}

/// The baseline: watches the store itself, and nothing else.
pub async fn run_baseline(store: SocketAddr) -> Result<(), Failure> {
    let store = Client::new(&[Endpoint(store)], Duration::from_secs(2));
    print(&Line::Started {
        api: SocketAddr::from(([0; 4], 0)),
        peer: SocketAddr::from(([0; 4], 0)),
    })?;
    print(&Line::Ready { at_us: wall_us() })?;
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
                print(&Line::Applied { version: head.version, at_us: wall_us() })?;
            }
        }
    }
}
