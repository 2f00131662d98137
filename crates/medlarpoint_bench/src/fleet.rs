//! A fleet of real daemons with stand-in store and targets, in one process.

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

/// Any port of this machine.
const ANY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);
/// Longest wait for a fleet to come up or a change to come into force.
const PATIENCE: Duration = Duration::from_secs(30);

/// Where a member runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Site {
    /// Name of the VM.
    pub vm: String,
    /// Data centre.
    pub data_centre: String,
    /// Region.
    pub region: String,
}

/// One VM: a daemon and, mostly, a target.
#[derive(Debug)]
pub struct Member {
    /// Where it runs.
    pub site: Site,
    /// The daemon; absent while it is down.
    pub daemon: Option<Daemon>,
    /// The target.
    pub target: Option<TargetServer>,
    announcer: Option<Announcer>,
    service: Option<(Name, u32)>,
    host: Option<Host>,
}

/// A thread of its own for a daemon, as a VM would have.
#[derive(Debug)]
struct Host(Option<Runtime>);

impl Host {
    fn new() -> Result<Self, Failure> {
        let mut builder = tokio::runtime::Builder::new_multi_thread();
        Ok(Self(Some(builder.worker_threads(1).enable_all().build()?)))
    }

    async fn start(&self, settings: Settings, log: Log) -> Result<Daemon, Failure> {
        let runtime = self.0.as_ref().ok_or(Failure::Patience("a runtime"))?;
        let started = runtime.spawn(Daemon::start(settings, log, None)).await;
        Ok(started.map_err(|error| Failure::Node(error.to_string()))??)
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        if let Some(runtime) = self.0.take() {
            runtime.shutdown_background();
        }
    }
}

/// The fleet.
#[derive(Debug)]
pub struct Fleet {
    /// The store.
    pub store: StoreServer,
    /// The members.
    pub members: Vec<Member>,
    /// What the targets ran.
    pub ledger: ExecutionLog,
    /// Seeds given to new daemons.
    seeds: Vec<SocketAddr>,
    /// A store of another experiment, used in place of the own one.
    foreign_store: Option<SocketAddr>,
    extra: String,
}

impl Member {
    /// Returns the daemon, which must be up.
    pub fn daemon(&self) -> Result<&Daemon, Failure> {
        self.daemon.as_ref().ok_or_else(|| Failure::Down(self.site.vm.clone()))
    }
}

/// Writes settings for a daemon of an experiment.
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
    /// Starts a store and no member.
    pub async fn start(seed: u64) -> Result<Self, Failure> {
        let store = StoreServer::start(ANY, seed).await?;
        Ok(Self {
            store,
            members: Vec::new(),
            ledger: ExecutionLog::default(),
            seeds: Vec::new(),
            foreign_store: None,
            extra: String::new(),
        })
    }

    /// Sets top-level settings that daemons started from now on get.
    pub fn set_extra(&mut self, extra: &str) {
        extra.clone_into(&mut self.extra);
    }

    /// Makes daemons started from now on use another store.
    pub fn use_store(&mut self, address: SocketAddr) {
        self.foreign_store = Some(address);
    }

    async fn start_daemon(&self, site: &Site) -> Result<(Daemon, Host), Failure> {
        let extra = format!("seeds = {:?}\n{}", self.seeds_text(), self.extra);
        let store = self.foreign_store.unwrap_or(self.store.address());
        let text = settings(site, store, &extra);
        let settings = Options::parse(&text)?.resolve()?;
        let log = Log::new(LogFormat::Off, &settings.options.vm)?;
        let host = Host::new()?;
        Ok((host.start(settings, log).await?, host))
    }

    fn seeds_text(&self) -> Vec<String> {
        self.seeds.iter().map(ToString::to_string).collect()
    }

    /// Adds a member with a target of `service`, or without a target.
    pub async fn add(&mut self, site: Site, service: Option<Service>) -> Result<usize, Failure> {
        let (daemon, host) = self.start_daemon(&site).await?;
        let mut member = Member {
            site,
            daemon: Some(daemon),
            target: None,
            announcer: None,
            service: None,
            host: Some(host),
        };
        if let Some(service) = service {
            let name: Name = service.name.parse()?;
            let options = TargetOptions {
                name: member.site.vm.clone(),
                slots: service.slots,
                service_time: ServiceTime { mean: service.service_time, slowdown: 1.0 },
                seed: self.members.len() as u64,
            };
            let target = TargetServer::start(ANY, options, self.ledger.clone()).await?;
            member.target = Some(target);
            member.service = Some((name, service.slots));
        }
        self.members.push(member);
        let index = self.members.len() - 1;
        self.announce(index)?;
        Ok(index)
    }

    fn announce(&mut self, index: usize) -> Result<(), Failure> {
        let member = &mut self.members[index];
        let api = member.daemon()?.addresses().api;
        if let (Some(target), Some((name, slots))) = (&member.target, &member.service) {
            let announcer = Announcer::start(api, name.clone(), target.address(), *slots);
            if let Some(old) = member.announcer.replace(announcer) {
                old.close();
            }
        }
        Ok(())
    }

    /// Kills a daemon as if its process had died. Its target goes on.
    pub async fn kill(&mut self, index: usize) {
        let member = &mut self.members[index];
        if let Some(announcer) = member.announcer.take() {
            announcer.close();
        }
        if let Some(daemon) = member.daemon.take() {
            daemon.kill().await;
        }
    }

    /// Stops a daemon as planned.
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
        let (daemon, host) = self.start_daemon(&site).await?;
        self.members[index].daemon = Some(daemon);
        self.members[index].host = Some(host);
        self.announce(index)
    }

    /// Makes new daemons find peers without the store.
    pub fn use_seeds(&mut self) -> Result<(), Failure> {
        self.seeds = self
            .members
            .iter()
            .take(3)
            .map(|m| Ok(m.daemon()?.addresses().peer))
            .collect::<Result<_, Failure>>()?;
        Ok(())
    }

    /// Waits until every daemon serves callers.
    pub async fn wait_ready(&self) -> Result<Duration, Failure> {
        self.wait("every daemon to serve", |member| {
            member.daemon.as_ref().is_none_or(Daemon::is_ready)
        })
        .await
    }

    /// Waits until every daemon has at least `version` in force.
    pub async fn wait_version(&self, version: Version) -> Result<Duration, Failure> {
        self.wait("a version to be in force", |member| {
            member.daemon.as_ref().is_none_or(|daemon| daemon.version() >= version)
        })
        .await
    }

    /// Waits until each daemon knows of `count` live members.
    pub async fn wait_members(&self, count: u32) -> Result<Duration, Failure> {
        self.wait("every daemon to know the others", |member| {
            let known = |daemon: &Daemon| {
                daemon.status().data_centres.iter().map(|place| place.live).sum::<u32>()
            };
            member.daemon.as_ref().is_none_or(|daemon| known(daemon) >= count)
        })
        .await
    }

    async fn wait(
        &self,
        what: &'static str,
        test: impl Fn(&Member) -> bool,
    ) -> Result<Duration, Failure> {
        let start = Instant::now();
        while !self.members.iter().all(&test) {
            if start.elapsed() > PATIENCE {
                return Err(Failure::Patience(what));
            }
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        Ok(start.elapsed())
    }

    /// Runs a command of the operators' tool against a member.
    pub async fn operate(&self, index: usize, words: &[&str]) -> Result<Exit, Failure> {
        use clap::Parser as _;
        let api = self.members[index].daemon()?.addresses().api.to_string();
        let head = ["medlarpoint", "--api", &api];
        let line = head.iter().chain(words);
        Ok(medlarpoint_cli::run(Arguments::parse_from(line)).await)
    }

    /// Applies a document through a member; returns the version then in force
    /// there.
    pub async fn apply(&self, index: usize, document: &str) -> Result<(Exit, Version), Failure> {
        let file = tempfile::Builder::new().suffix(".toml").tempfile()?;
        std::fs::write(file.path(), document)?;
        let path = file.path().display().to_string();
        let exit = self.operate(index, &["apply", "--author", "bench", "-f", &path]).await?;
        Ok((exit, self.members[index].daemon()?.version()))
    }

    /// Reads the resources in force on a member.
    pub async fn resources(&self, index: usize) -> Result<Resources, Failure> {
        let http = HttpClient::new(Duration::from_secs(5));
        let api = self.members[index].daemon()?.addresses().api;
        let bytes = http.get(api, "/v1/resources").await?;
        Ok(serde_json::from_slice(&bytes)?)
    }

    /// Cuts a data centre off from the others and from the store, or joins it
    /// again.
    pub fn cut(&self, data_centre: &str, cut: bool) -> Result<(), Failure> {
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
            let within = member.site.data_centre == data_centre;
            let far = if within { outside.clone() } else { inside.clone() };
            daemon.partition(if cut { far } else { HashSet::new() }, cut && within);
        }
        Ok(())
    }

    /// Returns where the targets take calls without a proxy.
    pub fn targets(&self) -> Vec<SocketAddr> {
        self.members.iter().filter_map(|m| Some(m.target.as_ref()?.address())).collect()
    }

    /// Returns where callers connect to the member that was added last.
    pub fn caller(&self) -> Result<SocketAddr, Failure> {
        let last = self.members.last().ok_or_else(|| Failure::Down("every member".to_owned()))?;
        Ok(last.daemon()?.addresses().calls)
    }

    /// Returns where callers connect.
    pub fn calls(&self) -> Vec<SocketAddr> {
        self.members.iter().filter_map(|m| Some(m.daemon.as_ref()?.addresses().calls)).collect()
    }

    /// Returns where callers of a data centre connect.
    pub fn calls_in(&self, data_centre: &str) -> Vec<SocketAddr> {
        let near = self.members.iter().filter(|m| m.site.data_centre == data_centre);
        near.filter_map(|m| Some(m.daemon.as_ref()?.addresses().calls)).collect()
    }

    /// Stops everything at once.
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
