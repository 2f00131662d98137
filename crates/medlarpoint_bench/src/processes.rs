//! Starts, monitors and measures node processes.

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

use crate::node::Event;
use crate::usage::Usage;
use crate::{Failure, Site, settings};

/// Limit on the wait for nodes.
const WAIT_TIMEOUT: Duration = Duration::from_secs(120);
/// Region of each of the seven data centres.
const REGIONS: [&str; 7] = ["north", "north", "north", "middle", "middle", "south", "south"];

/// Role of the node processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Role {
    /// Runs a daemon.
    Daemon,
    /// Only watches the store.
    Baseline,
}

/// State of a node, from the events that it has printed.
#[derive(Clone, Debug, Default)]
pub(crate) struct State {
    /// Address of the API; `None` until the node listens.
    pub(crate) api: Option<SocketAddr>,
    /// Time at which the node became ready, in microseconds since the Unix epoch.
    pub(crate) ready_us: Option<u64>,
    /// Time at which each version came into force, in microseconds since the Unix
    /// epoch.
    pub(crate) applied_us: HashMap<Version, u64>,
    /// Newest version in force.
    pub(crate) newest: Version,
}

/// A node process.
#[derive(Debug)]
pub(crate) struct Node {
    child: Child,
    site: Site,
    state: Arc<Mutex<State>>,
}

impl Node {
    /// Returns the current state of the node.
    pub(crate) fn state(&self) -> State {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn matches(&self, test: impl Fn(&State) -> bool) -> bool {
        test(&self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// A set of node processes with their store.
#[derive(Debug)]
pub(crate) struct Processes {
    /// Store that all nodes use.
    pub(crate) store: StoreServer,
    /// The nodes, in order of their numbers.
    pub(crate) nodes: Vec<Node>,
    role: Role,
    directory: TempDir,
}

/// Returns the site of node `number`, one of seven data centres in three regions.
pub(crate) fn site(number: usize) -> Site {
    let index = number % REGIONS.len();
    Site {
        vm: format!("vm-{number}"),
        data_centre: format!("{}-{index}", REGIONS[index]),
        region: REGIONS[index].to_owned(),
    }
}

impl Processes {
    /// Starts a store without nodes.
    pub(crate) async fn start(role: Role, seed: u64) -> Result<Self, Failure> {
        let store = StoreServer::start(SocketAddr::from(([127, 0, 0, 1], 0)), seed).await?;
        Ok(Self { store, nodes: Vec::new(), role, directory: TempDir::new()? })
    }

    /// Starts `count` more nodes without waiting for them.
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
        let out = child
            .stdout
            .take()
            .ok_or_else(|| Failure::Node("standard output is not captured".to_owned()))?;
        let state = Arc::new(Mutex::new(State::default()));
        let shared_state = Arc::clone(&state);
        tokio::spawn(async move {
            let mut lines = BufReader::new(out).lines();
            while let Ok(Some(text)) = lines.next_line().await {
                if let Ok(event) = serde_json::from_str(&text) {
                    record(
                        &mut shared_state.lock().unwrap_or_else(PoisonError::into_inner),
                        &event,
                    );
                }
            }
        });
        Ok(Node { child, site, state })
    }

    /// Kills the nodes at `indices`, then starts all of them again.
    pub(crate) async fn restart(&mut self, indices: &[usize]) -> Result<(), Failure> {
        for index in indices {
            self.nodes[*index].child.kill().await?;
        }
        for index in indices {
            self.nodes[*index] = self.spawn(self.nodes[*index].site.clone())?;
        }
        Ok(())
    }

    /// Waits until every node serves callers with `version` or a later one in
    /// force, and returns the time that it took.
    pub(crate) async fn wait_in_force(&self, version: Version) -> Result<Duration, Failure> {
        let start = Instant::now();
        let reached = |state: &State| state.ready_us.is_some() && state.newest >= version;
        while !self.nodes.iter().all(|node| node.matches(reached)) {
            if start.elapsed() > WAIT_TIMEOUT {
                let missing = self.nodes.iter().filter(|node| !node.matches(reached));
                let names: Vec<&str> = missing.map(|node| node.site.vm.as_str()).take(5).collect();
                return Err(Failure::Node(format!(
                    "timed out waiting for version {version} on {names:?}"
                )));
            }
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        Ok(start.elapsed())
    }

    /// Waits until the first node sees all members as live, and returns the time
    /// that it took.
    pub(crate) async fn wait_members(&self) -> Result<Duration, Failure> {
        let start = Instant::now();
        let http = HttpClient::new(Duration::from_secs(2));
        let count = self.nodes.len() as u32;
        loop {
            if let Some(api) = self.nodes[0].state().api
                && let Ok(bytes) = http.get(api, "/v1/status").await
            {
                let status: medlarpoint_api::Status = serde_json::from_slice(&bytes)?;
                if status.data_centres.iter().map(|centre| centre.live).sum::<u32>() >= count {
                    return Ok(start.elapsed());
                }
            }
            if start.elapsed() > WAIT_TIMEOUT {
                return Err(Failure::Timeout("the first node to know all members"));
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Reads the total processor time of all nodes and their mean memory.
    pub(crate) fn usage(&self) -> Result<Usage, Failure> {
        let mut usage = Usage::default();
        for node in &self.nodes {
            let Some(id) = node.child.id() else {
                continue;
            };
            let node_usage = Usage::read(&id.to_string())?;
            usage.cpu_s += node_usage.cpu_s;
            usage.rss_mb += node_usage.rss_mb / self.nodes.len() as f64;
        }
        Ok(usage)
    }

    /// Reads the total control traffic of all nodes.
    pub(crate) async fn traffic(&self) -> Result<TrafficCounts, Failure> {
        self.traffic_of(|_| true).await
    }

    /// Reads the total control traffic of the nodes whose numbers are `wanted`.
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
            let Some(api) = node.state().api else {
                continue;
            };
            let traffic: TrafficCounts =
                serde_json::from_slice(&http.get(api, "/v1/traffic").await?)?;
            sum.near += traffic.near;
            sum.region += traffic.region;
            sum.remote += traffic.remote;
            sum.remote_config += traffic.remote_config;
            sum.messages += traffic.messages;
        }
        Ok(sum)
    }

    /// Kills all nodes and closes the store.
    pub(crate) async fn close(mut self) {
        for node in &mut self.nodes {
            // The kill fails if the process has already ended, which is harmless.
            let _ = node.child.kill().await;
        }
        self.store.close();
    }
}

fn record(state: &mut State, event: &Event) {
    match event {
        Event::Started { api, .. } => state.api = Some(*api),
        Event::Ready { at_us } => state.ready_us = Some(*at_us),
        Event::Applied { version, at_us } => {
            state.applied_us.insert(*version, *at_us);
            state.newest = state.newest.max(*version);
        }
    }
}
