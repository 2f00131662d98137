//! Starts, watches and measures node processes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::process::Stdio;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use medlarpoint_daemon::TrafficCounts;
use medlarpoint_model::Version;
use medlarpoint_standin::{HttpClient, StoreServer};
use tempfile::TempDir;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};

use crate::node::Line;
use crate::usage::Usage;
use crate::{Failure, Site, settings};

/// Longest wait for nodes.
const PATIENCE: Duration = Duration::from_secs(120);
/// Region of each of seven data centres in turn.
const REGIONS: [&str; 7] = ["north", "north", "north", "middle", "middle", "south", "south"];

/// What nodes do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Role {
    /// Run a daemon.
    Daemon,
    /// Watch the store.
    Baseline,
}

/// What a node has printed.
#[derive(Clone, Debug, Default)]
pub(crate) struct Seen {
    /// Address of its API.
    pub(crate) api: Option<SocketAddr>,
    /// When it became ready, in microseconds since the Unix epoch.
    pub(crate) ready_us: Option<u64>,
    /// When each version came into force, in the same unit.
    pub(crate) applied_us: HashMap<Version, u64>,
    /// Newest version in force.
    pub(crate) newest: Version,
}

/// A node process.
#[derive(Debug)]
pub(crate) struct Node {
    child: Child,
    site: Site,
    seen: Arc<Mutex<Seen>>,
}

impl Node {
    /// Returns what the node has printed so far.
    pub(crate) fn seen(&self) -> Seen {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn test(&self, test: impl Fn(&Seen) -> bool) -> bool {
        test(&self.seen.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// Node processes with their store.
#[derive(Debug)]
pub(crate) struct Processes {
    /// The store.
    pub(crate) store: StoreServer,
    /// The nodes.
    pub(crate) nodes: Vec<Node>,
    role: Role,
    directory: TempDir,
}

/// Returns where node `number` runs: seven data centres in three regions.
pub(crate) fn site(number: usize) -> Site {
    let place = number % REGIONS.len();
    Site {
        vm: format!("vm-{number}"),
        data_centre: format!("{}-{place}", REGIONS[place]),
        region: REGIONS[place].to_owned(),
    }
}

impl Processes {
    /// Starts a store and no node.
    pub(crate) async fn start(role: Role, seed: u64) -> Result<Self, Failure> {
        let store = StoreServer::start(SocketAddr::from(([127, 0, 0, 1], 0)), seed).await?;
        Ok(Self { store, nodes: Vec::new(), role, directory: TempDir::new()? })
    }

    /// Starts nodes, all at once.
    pub(crate) fn add(&mut self, count: usize) -> Result<(), Failure> {
        for _ in 0..count {
            let node = self.spawn(site(self.nodes.len()))?;
            self.nodes.push(node);
        }
        Ok(())
    }

    fn spawn(&self, site: Site) -> Result<Node, Failure> {
        let mut command = Command::new(std::env::current_exe()?);
        match self.role {
            Role::Daemon => {
                let text = settings(&site, self.store.address(), "workers = 1");
                let path = self.directory.path().join(format!("{}.toml", site.vm));
                std::fs::write(&path, text)?;
                command.args(["node", "--settings"]).arg(path);
            }
            Role::Baseline => {
                command.args(["node", "--watch", &self.store.address().to_string()]);
            }
        }
        command.stdout(Stdio::piped()).stdin(Stdio::null()).kill_on_drop(true);
        let mut child = command.spawn()?;
        let out = child.stdout.take().ok_or_else(|| Failure::Node("no output".to_owned()))?;
        let seen = Arc::new(Mutex::new(Seen::default()));
        let taken = Arc::clone(&seen);
        tokio::spawn(async move {
            let mut lines = BufReader::new(out).lines();
            while let Ok(Some(text)) = lines.next_line().await {
                if let Ok(line) = serde_json::from_str(&text) {
                    take(&mut taken.lock().unwrap_or_else(PoisonError::into_inner), &line);
                }
            }
        });
        Ok(Node { child, site, seen })
    }

    /// Kills nodes and starts them again, all at once.
    pub(crate) async fn bounce(&mut self, which: &[usize]) -> Result<(), Failure> {
        for index in which {
            self.nodes[*index].child.kill().await?;
        }
        for index in which {
            self.nodes[*index] = self.spawn(self.nodes[*index].site.clone())?;
        }
        Ok(())
    }

    /// Waits until every node serves callers and has `version` in force.
    pub(crate) async fn wait(&self, version: Version) -> Result<Duration, Failure> {
        let start = Instant::now();
        let there = |seen: &Seen| seen.ready_us.is_some() && seen.newest >= version;
        while !self.nodes.iter().all(|node| node.test(there)) {
            if start.elapsed() > PATIENCE {
                let missing = self.nodes.iter().filter(|node| !node.test(there));
                let names: Vec<&str> = missing.map(|node| node.site.vm.as_str()).take(5).collect();
                return Err(Failure::Node(format!("{names:?} have not got {version}")));
            }
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        Ok(start.elapsed())
    }

    /// Waits until the first node knows of all members.
    pub(crate) async fn wait_members(&self) -> Result<Duration, Failure> {
        let start = Instant::now();
        let http = HttpClient::new(Duration::from_secs(2));
        let count = self.nodes.len() as u32;
        loop {
            if let Some(api) = self.nodes[0].seen().api
                && let Ok(bytes) = http.get(api, "/v1/status").await
            {
                let status: medlarpoint_api::Status = serde_json::from_slice(&bytes)?;
                if status.data_centres.iter().map(|place| place.live).sum::<u32>() >= count {
                    return Ok(start.elapsed());
                }
            }
            if start.elapsed() > PATIENCE {
                return Err(Failure::Patience("the first node to know all members"));
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Reads the processor time of all nodes, and their mean memory.
    pub(crate) fn usage(&self) -> Result<Usage, Failure> {
        let mut usage = Usage::default();
        for node in &self.nodes {
            let Some(id) = node.child.id() else {
                continue;
            };
            let one = Usage::read(&id.to_string())?;
            usage.cpu_s += one.cpu_s;
            usage.rss_mb += one.rss_mb / self.nodes.len() as f64;
        }
        Ok(usage)
    }

    /// Reads the control traffic of all nodes.
    pub(crate) async fn traffic(&self) -> Result<TrafficCounts, Failure> {
        self.traffic_of(|_| true).await
    }

    /// Reads the control traffic of some nodes.
    pub(crate) async fn traffic_of(
        &self,
        wanted: impl Fn(usize) -> bool,
    ) -> Result<TrafficCounts, Failure> {
        let http = HttpClient::new(Duration::from_secs(10));
        let mut sum = TrafficCounts::default();
        for (number, node) in self.nodes.iter().enumerate() {
            if !wanted(number) {
                continue;
            }
            let Some(api) = node.seen().api else {
                continue;
            };
            let reading: TrafficCounts =
                serde_json::from_slice(&http.get(api, "/v1/traffic").await?)?;
            sum.near += reading.near;
            sum.region += reading.region;
            sum.remote += reading.remote;
            sum.remote_config += reading.remote_config;
            sum.messages += reading.messages;
        }
        Ok(sum)
    }

    /// Stops everything.
    pub(crate) async fn close(mut self) {
        for node in &mut self.nodes {
            // One that has ended needs no killing.
            let _ = node.child.kill().await;
        }
        self.store.close();
    }
}

fn take(seen: &mut Seen, line: &Line) {
    match line {
        Line::Started { api, .. } => seen.api = Some(*api),
        Line::Ready { at_us } => seen.ready_us = Some(*at_us),
        Line::Applied { version, at_us } => {
            seen.applied_us.insert(*version, *at_us);
            seen.newest = seen.newest.max(*version);
        }
    }
}
