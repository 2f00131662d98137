//! Runs a fleet of daemons in one process, with a stand-in store and stand-in
//! targets.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use medlarpoint_api::Resources;
use medlarpoint_cli::{Arguments, Exit};
use medlarpoint_daemon::{Daemon, Log, LogFormat, Options, Settings};
use medlarpoint_model::{Name, Version};
use medlarpoint_standin::{
    Announcer, ExecutionLog, HttpClient, ServiceTime, StoreServer, TargetOptions, TargetServer,
};
use tokio::runtime::Runtime;

use crate::failure::Failure;
use crate::preset::Service;

/// Loopback address whose port the operating system assigns.
const LOOPBACK_ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);
/// Time for which a target is away after a crash.
const TARGET_RESTART_TIME: Duration = Duration::from_millis(300);
/// Time limit for the fleet to become ready or a change to come into force.
const WAIT_LIMIT: Duration = Duration::from_secs(30);

/// Location of a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Site {
    /// Name of the VM.
    pub vm: String,
    /// Name of the data centre.
    pub data_centre: String,
    /// Name of the region.
    pub region: String,
}

/// A VM of the fleet: a daemon and, unless it serves callers only, a target.
#[derive(Debug)]
pub struct Member {
    /// Location of the VM.
    pub site: Site,
    /// Daemon of the VM; `None` while it is down.
    pub daemon: Option<Daemon>,
    /// Target of the VM; `None` if the VM serves callers only.
    pub target: Option<TargetServer>,
    announcer: Option<Announcer>,
    /// Service and slots of the target.
    service: Option<(Name, u32)>,
    runtime: Option<DaemonRuntime>,
}

/// Runtime with one worker thread for a single daemon, so that daemons do not
/// share threads, as on separate VMs.
#[derive(Debug)]
struct DaemonRuntime(Option<Runtime>);

impl DaemonRuntime {
    fn new() -> Result<Self, Failure> {
        let mut builder = tokio::runtime::Builder::new_multi_thread();
        Ok(Self(Some(builder.worker_threads(1).enable_all().build()?)))
    }

    async fn start(&self, settings: Settings, log: Log) -> Result<Daemon, Failure> {
        let runtime = self.0.as_ref().ok_or(Failure::Timeout("a runtime"))?;
        let started = runtime.spawn(Daemon::start(settings, log, None)).await;
        Ok(started.map_err(|error| Failure::Node(error.to_string()))??)
    }
}

impl Drop for DaemonRuntime {
    fn drop(&mut self) {
        if let Some(runtime) = self.0.take() {
            runtime.shutdown_background();
        }
    }
}

/// Daemons with their targets and the store that they share.
#[derive(Debug)]
pub struct Fleet {
    /// Stand-in store of the fleet.
    pub store: StoreServer,
    /// Members in the order in which they were added.
    pub members: Vec<Member>,
    /// Record of the calls that the targets executed.
    pub execution_log: ExecutionLog,
    /// Peer addresses that new daemons get as seeds.
    seeds: Vec<SocketAddr>,
    /// Address of the store that daemons use instead of `store`.
    store_override: Option<SocketAddr>,
    /// Top-level settings that new daemons get.
    extra_settings: String,
}

impl Member {
    /// Returns the daemon, or an error if it is down.
    pub fn daemon(&self) -> Result<&Daemon, Failure> {
        self.daemon.as_ref().ok_or_else(|| Failure::Down(self.site.vm.clone()))
    }
}

/// Returns the settings file of an experiment's daemon, in TOML.
///
/// `extra` holds further top-level settings.
pub fn settings(site: &Site, store: SocketAddr, extra: &str) -> String {
    let Site { vm, data_centre, region } = site;
    format!(
        r#"fleet = "bench"
vm = "{vm}"
data_centre = "{data_centre}"
region = "{region}"
{extra}
[listen]
calls = "127.0.0.1:0"
inbound = "127.0.0.1:0"
peer = "127.0.0.1:0"
api = "127.0.0.1:0"
[store]
endpoints = ["{store}"]
[log]
format = "off"
"#
    )
}

impl Fleet {
    /// Starts a store; the fleet has no members yet.
    pub async fn start(seed: u64) -> Result<Self, Failure> {
        let store = StoreServer::start(LOOPBACK_ANY_PORT, seed).await?;
        Ok(Self {
            store,
            members: Vec::new(),
            execution_log: ExecutionLog::default(),
            seeds: Vec::new(),
            store_override: None,
            extra_settings: String::new(),
        })
    }

    /// Sets top-level settings for daemons that are started from now on.
    pub fn set_extra_settings(&mut self, settings: &str) {
        settings.clone_into(&mut self.extra_settings);
    }

    /// Makes daemons that are started from now on use another store.
    pub fn use_store(&mut self, address: SocketAddr) {
        self.store_override = Some(address);
    }

    async fn start_daemon(&self, site: &Site) -> Result<(Daemon, DaemonRuntime), Failure> {
        let extra = format!("seeds = {:?}\n{}", self.seed_texts(), self.extra_settings);
        let store = self.store_override.unwrap_or(self.store.address());
        let text = settings(site, store, &extra);
        let settings = Options::parse(&text)?.resolve()?;
        let log = Log::new(LogFormat::Off, &settings.options.vm)?;
        let runtime = DaemonRuntime::new()?;
        Ok((runtime.start(settings, log).await?, runtime))
    }

    fn seed_texts(&self) -> Vec<String> {
        self.seeds.iter().map(ToString::to_string).collect()
    }

    /// Adds a member with a target of `service`, or without a target if there is
    /// none, and returns its index.
    pub async fn add(&mut self, site: Site, service: Option<Service>) -> Result<usize, Failure> {
        let (daemon, runtime) = self.start_daemon(&site).await?;
        let mut member = Member {
            site,
            daemon: Some(daemon),
            target: None,
            announcer: None,
            service: None,
            runtime: Some(runtime),
        };
        if let Some(service) = service {
            let name: Name = service.name.parse()?;
            let options = TargetOptions {
                name: member.site.vm.clone(),
                slots: service.slots,
                service_time: ServiceTime { mean: service.service_time, slowdown: 1.0 },
                seed: self.members.len() as u64,
                restart_after: TARGET_RESTART_TIME,
            };
            let target =
                TargetServer::start(LOOPBACK_ANY_PORT, options, self.execution_log.clone()).await?;
            member.target = Some(target);
            member.service = Some((name, service.slots));
        }
        self.members.push(member);
        let index = self.members.len() - 1;
        self.announce(index)?;
        Ok(index)
    }

    /// Starts announcing the target of a member to its daemon.
    fn announce(&mut self, index: usize) -> Result<(), Failure> {
        let member = &mut self.members[index];
        let api = member.daemon()?.addresses().api;
        if let (Some(target), Some((name, slots))) = (&member.target, &member.service) {
            let announcer = Announcer::start(api, name.clone(), target.address(), *slots);
            if let Some(previous) = member.announcer.replace(announcer) {
                previous.close();
            }
        }
        Ok(())
    }

    /// Kills a daemon as if its process had died; its target keeps running.
    pub async fn kill(&mut self, index: usize) {
        let member = &mut self.members[index];
        if let Some(announcer) = member.announcer.take() {
            announcer.close();
        }
        if let Some(daemon) = member.daemon.take() {
            daemon.kill().await;
        }
    }

    /// Shuts a daemon down gracefully; its target keeps running.
    pub async fn close_daemon(&mut self, index: usize) {
        let daemon = self.members[index].daemon.take();
        if let Some(daemon) = daemon {
            daemon.close().await;
        }
        if let Some(announcer) = self.members[index].announcer.take() {
            announcer.close();
        }
    }

    /// Starts the daemon of a member again.
    pub async fn restart(&mut self, index: usize) -> Result<(), Failure> {
        let site = self.members[index].site.clone();
        let (daemon, runtime) = self.start_daemon(&site).await?;
        self.members[index].daemon = Some(daemon);
        self.members[index].runtime = Some(runtime);
        self.announce(index)
    }

    /// Gives the first three members as seeds to new daemons, which then find
    /// peers without the store.
    pub fn use_seeds(&mut self) -> Result<(), Failure> {
        self.seeds = self
            .members
            .iter()
            .take(3)
            .map(|m| Ok(m.daemon()?.addresses().peer))
            .collect::<Result<_, Failure>>()?;
        Ok(())
    }

    /// Waits until every running daemon serves callers.
    pub async fn wait_ready(&self) -> Result<Duration, Failure> {
        self.wait("every daemon to serve", |member| {
            member.daemon.as_ref().is_none_or(Daemon::is_ready)
        })
        .await
    }

    /// Waits until every running daemon has at least `version` in force.
    pub async fn wait_version(&self, version: Version) -> Result<Duration, Failure> {
        self.wait("a version to be in force", |member| {
            member.daemon.as_ref().is_none_or(|daemon| daemon.version() >= version)
        })
        .await
    }

    /// Waits until every running daemon knows of at least `count` live members.
    pub async fn wait_members(&self, count: u32) -> Result<Duration, Failure> {
        self.wait("every daemon to know all members", |member| {
            let live_members = |daemon: &Daemon| {
                daemon.status().data_centres.iter().map(|data_centre| data_centre.live).sum::<u32>()
            };
            member.daemon.as_ref().is_none_or(|daemon| live_members(daemon) >= count)
        })
        .await
    }

    /// Waits until a condition holds for every member and returns the time taken.
    async fn wait(
        &self,
        what: &'static str,
        condition: impl Fn(&Member) -> bool,
    ) -> Result<Duration, Failure> {
        let start = Instant::now();
        while !self.members.iter().all(&condition) {
            if start.elapsed() > WAIT_LIMIT {
                return Err(Failure::Timeout(what));
            }
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        Ok(start.elapsed())
    }

    /// Runs a `medlarpoint` command against the API of a member.
    pub async fn run_command(&self, index: usize, arguments: &[&str]) -> Result<Exit, Failure> {
        use clap::Parser as _;
        let api = self.members[index].daemon()?.addresses().api.to_string();
        let prefix = ["medlarpoint", "--api", &api];
        let command_line = prefix.iter().chain(arguments);
        Ok(medlarpoint_cli::run(Arguments::parse_from(command_line)).await)
    }

    /// Applies a configuration document through a member and returns the version
    /// that is in force there afterwards.
    pub async fn apply(&self, index: usize, document: &str) -> Result<(Exit, Version), Failure> {
        let file = tempfile::Builder::new().suffix(".toml").tempfile()?;
        std::fs::write(file.path(), document)?;
        let path = file.path().display().to_string();
        let exit = self.run_command(index, &["apply", "--author", "bench", "-f", &path]).await?;
        Ok((exit, self.members[index].daemon()?.version()))
    }

    /// Fetches the resources in force on a member.
    pub async fn resources(&self, index: usize) -> Result<Resources, Failure> {
        let http = HttpClient::new(Duration::from_secs(5));
        let api = self.members[index].daemon()?.addresses().api;
        let bytes = http.get(api, "/v1/resources").await?;
        Ok(serde_json::from_slice(&bytes)?)
    }

    /// Makes a data centre and the others unreachable to each other, and the store
    /// unreachable from it, or reconnects them.
    pub fn set_partitioned(&self, data_centre: &str, partitioned: bool) -> Result<(), Failure> {
        let addresses = |inside: bool| -> Result<HashSet<SocketAddr>, Failure> {
            let mut set = HashSet::new();
            for member in &self.members {
                if (member.site.data_centre == data_centre) == inside
                    && let Some(daemon) = &member.daemon
                {
                    set.extend([daemon.addresses().peer, daemon.addresses().inbound]);
                }
            }
            Ok(set)
        };
        let (inside, outside) = (addresses(true)?, addresses(false)?);
        for member in &self.members {
            let Some(daemon) = &member.daemon else {
                continue;
            };
            let is_inside = member.site.data_centre == data_centre;
            let other_side = if is_inside { outside.clone() } else { inside.clone() };
            daemon.partition(
                if partitioned { other_side } else { HashSet::new() },
                partitioned && is_inside,
            );
        }
        Ok(())
    }

    /// Returns the addresses at which targets accept calls without a proxy.
    pub fn target_addresses(&self) -> Vec<SocketAddr> {
        self.members.iter().filter_map(|m| Some(m.target.as_ref()?.address())).collect()
    }

    /// Returns the address at which the member that was added last accepts calls.
    pub fn last_call_address(&self) -> Result<SocketAddr, Failure> {
        let last = self.members.last().ok_or_else(|| Failure::Down("every member".to_owned()))?;
        Ok(last.daemon()?.addresses().calls)
    }

    /// Returns the addresses at which the running daemons accept calls.
    pub fn call_addresses(&self) -> Vec<SocketAddr> {
        self.members.iter().filter_map(|m| Some(m.daemon.as_ref()?.addresses().calls)).collect()
    }

    /// Returns the addresses at which the running daemons of a data centre accept
    /// calls.
    pub fn call_addresses_in(&self, data_centre: &str) -> Vec<SocketAddr> {
        let members = self.members.iter().filter(|m| m.site.data_centre == data_centre);
        members.filter_map(|m| Some(m.daemon.as_ref()?.addresses().calls)).collect()
    }

    /// Kills all daemons and stops targets and the store, without a graceful
    /// shutdown.
    pub async fn close(self) {
        for member in self.members {
            if let Some(announcer) = member.announcer {
                announcer.close();
            }
            if let Some(daemon) = member.daemon {
                daemon.kill().await;
            }
            if let Some(target) = member.target {
                target.close();
            }
        }
        self.store.close();
    }
}
