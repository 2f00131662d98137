//! One VM of a soak: its daemon as a process, its target, and the links
//! between them, the callers and the store.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::os::unix::process::ExitStatusExt;
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};
use std::time::{Duration, Instant};

use medlarpoint_standin::{Announcer, ExecutionLog, TargetOptions, TargetServer};
use rustix::process::{Pid, Signal, kill_process};
use tokio::process::{Child, Command};

use super::link::{Condition, Link};
use super::plan::Side;
use crate::{Failure, Service, Site};

/// Longest time that a daemon may take to stop when told to.
const STOP_LIMIT: Duration = Duration::from_secs(10);

/// Longest time from a process's start until it handles signals.
const START_TIME: Duration = Duration::from_millis(200);

/// Listening addresses of a daemon.
#[derive(Clone, Copy, Debug)]
struct Listen {
    calls: SocketAddr,
    inbound: SocketAddr,
    peer: SocketAddr,
    api: SocketAddr,
}

/// Where the programs and files of a soak lie.
#[derive(Clone, Debug)]
pub(crate) struct Place {
    /// The daemon's program.
    pub(crate) program: PathBuf,
    /// Folder of the settings.
    pub(crate) settings: PathBuf,
    /// Folder of the logs.
    pub(crate) logs: Option<PathBuf>,
}

/// A VM.
#[derive(Debug)]
pub(crate) struct Member {
    pub(crate) site: Site,
    listen: Listen,
    place: Place,
    child: Option<Child>,
    /// When its process was started.
    spawned: Instant,
    callers: Link,
    store: Link,
    to_target: Link,
    target: TargetServer,
    announcer: Announcer,
}

/// Returns an address of the loopback network, of its own for each
/// VM, so that ports of one run do not meet those of another.
fn ip(run: u8, number: usize) -> IpAddr {
    let [high, low] = (number as u16 + 1).to_be_bytes();
    Ipv4Addr::new(127, run, high, low).into()
}

/// Ports of a daemon that nobody else gets before it has been started.
struct Reserved([TcpListener; 4]);

impl Reserved {
    fn on(ip: IpAddr) -> std::io::Result<Self> {
        let bind = || TcpListener::bind((ip, 0));
        Ok(Self([bind()?, bind()?, bind()?, bind()?]))
    }

    fn listen(&self) -> std::io::Result<Listen> {
        let [calls, inbound, peer, api] = &self.0;
        Ok(Listen {
            calls: calls.local_addr()?,
            inbound: inbound.local_addr()?,
            peer: peer.local_addr()?,
            api: api.local_addr()?,
        })
    }
}

impl Member {
    /// Starts a VM with its daemon.
    pub(crate) async fn start(
        (run, number): (u8, usize),
        site: Site,
        service: Service,
        store: SocketAddr,
        place: &Place,
        ledger: &ExecutionLog,
    ) -> Result<Self, Failure> {
        let ip = ip(run, number);
        let reserved = Reserved::on(ip)?;
        let listen = reserved.listen()?;
        let options = TargetOptions {
            name: site.vm.clone(),
            slots: service.slots,
            service_time: medlarpoint_standin::ServiceTime {
                mean: service.service_time,
                slowdown: 1.0,
            },
            seed: number as u64,
        };
        let target = TargetServer::start(SocketAddr::new(ip, 0), options, ledger.clone()).await?;
        let to_target = Link::start(ip, target.address()).await?;
        let announcer =
            Announcer::start(listen.api, service.name.parse()?, to_target.address(), service.slots);
        let mut member = Self {
            callers: Link::start(ip, listen.calls).await?,
            store: Link::start(ip, store).await?,
            to_target,
            target,
            announcer,
            site,
            listen,
            place: place.clone(),
            child: None,
            spawned: Instant::now(),
        };
        member.write_settings()?;
        drop(reserved);
        member.spawn()?;
        Ok(member)
    }

    fn settings_path(&self) -> PathBuf {
        self.place.settings.join(format!("{}.toml", self.site.vm))
    }

    fn write_settings(&self) -> Result<(), Failure> {
        let Site { vm, data_centre, region } = &self.site;
        let Listen { calls, inbound, peer, api } = self.listen;
        let store = self.store.address();
        let text = format!(
            r#"fleet = "soak"
vm = "{vm}"
data_centre = "{data_centre}"
region = "{region}"
workers = 1
drain_timeout_ms = 4000
[listen]
calls = "{calls}"
inbound = "{inbound}"
peer = "{peer}"
api = "{api}"
[store]
endpoints = ["{store}"]
[log]
format = "json"
"#
        );
        std::fs::write(self.settings_path(), text)?;
        Ok(())
    }

    /// Starts the daemon's process.
    pub(crate) fn spawn(&mut self) -> Result<(), Failure> {
        let mut command = Command::new(&self.place.program);
        command.arg("--settings").arg(self.settings_path());
        command.stdin(Stdio::null()).stdout(self.log()?).stderr(self.log()?).kill_on_drop(true);
        self.child = Some(command.spawn()?);
        self.spawned = Instant::now();
        Ok(())
    }

    fn log(&self) -> Result<Stdio, Failure> {
        let Some(folder) = &self.place.logs else {
            return Ok(Stdio::null());
        };
        let path = folder.join(format!("{}.log", self.site.vm));
        Ok(std::fs::OpenOptions::new().create(true).append(true).open(path)?.into())
    }

    /// Address for callers.
    pub(crate) fn calls(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Address for operators.
    pub(crate) fn api(&self) -> SocketAddr {
        self.listen.api
    }

    /// Changes a link.
    pub(crate) fn set(&self, side: Side, condition: Condition) {
        let link = match side {
            Side::Callers => &self.callers,
            Side::Store => &self.store,
            Side::Target => &self.to_target,
        };
        link.set(condition);
    }

    /// Sends a signal to the daemon, if it runs.
    pub(crate) fn signal(&self, signal: Signal) {
        let id = self.child.as_ref().and_then(Child::id);
        if let Some(pid) = id.and_then(|id| Pid::from_raw(id.cast_signed())) {
            // One that has just ended has no use for it.
            let _ = kill_process(pid, signal);
        }
    }

    /// Tells a daemon to stop and waits until it has ended; tells whether it
    /// did so in order. A process that has only just been started cannot have
    /// said yet how it takes the signal.
    pub(crate) async fn stop(&mut self, signal: Signal) -> bool {
        let young = self.spawned.elapsed() < START_TIME;
        self.signal(signal);
        let status = self.wait().await;
        status.is_some_and(|status| {
            status.success() || (young && status.signal() == Some(Signal::TERM.as_raw()))
        })
    }

    /// Waits until the daemon has ended; one that does not is killed.
    pub(crate) async fn wait(&mut self) -> Option<ExitStatus> {
        let child = self.child.as_mut()?;
        let ended = tokio::time::timeout(STOP_LIMIT, child.wait()).await;
        let status = if let Ok(status) = ended {
            status.ok()
        } else {
            // It ends without a status, which counts as a failure to stop.
            let _ = child.kill().await;
            None
        };
        self.child = None;
        status
    }

    /// Stops everything.
    pub(crate) async fn close(mut self) {
        self.signal(Signal::KILL);
        self.wait().await;
        self.announcer.close();
        self.target.close();
        for link in [self.callers, self.store, self.to_target] {
            link.close();
        }
    }
}

/// Returns a program that lies beside this one.
pub(crate) fn program(name: &str) -> Result<PathBuf, Failure> {
    let own = std::env::current_exe()?;
    let folder = own.parent().unwrap_or(Path::new("."));
    let path = folder.join(name);
    if path.exists() {
        return Ok(path);
    }
    Err(Failure::Node(format!("{} is missing: build the workspace first", path.display())))
}
