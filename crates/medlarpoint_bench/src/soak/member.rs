//! A VM of a soak: its daemon as a process, its target, and the links that
//! connect the daemon to its callers, its target and the store.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::os::unix::process::ExitStatusExt;
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};
use std::time::{Duration, Instant};

use medlarpoint_standin::{Announcer, ExecutionLog, TargetOptions, TargetServer};
use rustix::process::{Pid, Signal, kill_process};
use tokio::process::{Child, Command};
use tokio::sync::watch;

use super::link::{Condition, Link};
use super::plan::LinkName;
use crate::{Failure, Service, Site};

/// Limit on the time from a stop signal to the end of the daemon's process.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);

/// Time for which a target is away after a crash.
const TARGET_RESTART_TIME: Duration = Duration::from_secs(2);
/// Limit on the time from the start of a process until it handles signals.
const SIGNAL_SETUP_TIME: Duration = Duration::from_millis(200);

/// Listening addresses of a daemon.
#[derive(Clone, Copy, Debug)]
struct ListenAddresses {
    calls: SocketAddr,
    inbound: SocketAddr,
    peer: SocketAddr,
    api: SocketAddr,
}

/// Paths of the programs and files of a soak.
#[derive(Clone, Debug)]
pub(crate) struct Paths {
    /// The daemon's executable.
    pub(crate) program: PathBuf,
    /// Directory for the daemons' settings files.
    pub(crate) settings: PathBuf,
    /// Directory for the daemons' logs; `None` discards the logs.
    pub(crate) logs: Option<PathBuf>,
}

/// A VM with its daemon and target.
#[derive(Debug)]
pub(crate) struct Member {
    pub(crate) site: Site,
    listen: ListenAddresses,
    paths: Paths,
    child: Option<Child>,
    /// Time at which the daemon's process was last started.
    spawned_at: Instant,
    callers: Link,
    store: Link,
    to_target: Link,
    target: TargetServer,
    announcer: Announcer,
}

/// Returns a loopback address that no other VM of the run uses. `run` keeps the
/// ports of concurrent runs from colliding.
fn ip(run: u8, number: usize) -> IpAddr {
    let [high, low] = (number as u16 + 1).to_be_bytes();
    Ipv4Addr::new(127, run, high, low).into()
}

/// Ports held open so that no other process takes them before the daemon is
/// started.
struct ReservedPorts([TcpListener; 4]);

impl ReservedPorts {
    fn bind(ip: IpAddr) -> std::io::Result<Self> {
        let listener = || TcpListener::bind((ip, 0));
        Ok(Self([listener()?, listener()?, listener()?, listener()?]))
    }

    fn addresses(&self) -> std::io::Result<ListenAddresses> {
        let [calls, inbound, peer, api] = &self.0;
        Ok(ListenAddresses {
            calls: calls.local_addr()?,
            inbound: inbound.local_addr()?,
            peer: peer.local_addr()?,
            api: api.local_addr()?,
        })
    }
}

impl Member {
    /// Starts VM `number` of `run`: its target, its links and its daemon.
    pub(crate) async fn start(
        (run, number): (u8, usize),
        site: Site,
        service: Service,
        store: SocketAddr,
        paths: &Paths,
        execution_log: &ExecutionLog,
    ) -> Result<Self, Failure> {
        let ip = ip(run, number);
        let ports = ReservedPorts::bind(ip)?;
        let listen = ports.addresses()?;
        let options = TargetOptions {
            name: site.vm.clone(),
            slots: service.slots,
            service_time: medlarpoint_standin::ServiceTime {
                mean: service.service_time,
                slowdown: 1.0,
            },
            seed: number as u64,
            restart_after: TARGET_RESTART_TIME,
        };
        let target =
            TargetServer::start(SocketAddr::new(ip, 0), options, execution_log.clone()).await?;
        let to_target = Link::start(ip, target.address(), target.away()).await?;
        let announcer =
            Announcer::start(listen.api, service.name.parse()?, to_target.address(), service.slots);
        let mut member = Self {
            callers: Link::start(ip, listen.calls, never_away()).await?,
            store: Link::start(ip, store, never_away()).await?,
            to_target,
            target,
            announcer,
            site,
            listen,
            paths: paths.clone(),
            child: None,
            spawned_at: Instant::now(),
        };
        member.write_settings()?;
        drop(ports);
        member.spawn()?;
        Ok(member)
    }

    fn settings_path(&self) -> PathBuf {
        self.paths.settings.join(format!("{}.toml", self.site.vm))
    }

    fn write_settings(&self) -> Result<(), Failure> {
        let Site { vm, data_centre, region } = &self.site;
        let ListenAddresses { calls, inbound, peer, api } = self.listen;
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
        let mut command = Command::new(&self.paths.program);
        command.arg("--settings").arg(self.settings_path());
        command.stdin(Stdio::null()).stdout(self.log()?).stderr(self.log()?).kill_on_drop(true);
        self.child = Some(command.spawn()?);
        self.spawned_at = Instant::now();
        Ok(())
    }

    fn log(&self) -> Result<Stdio, Failure> {
        let Some(directory) = &self.paths.logs else {
            return Ok(Stdio::null());
        };
        let path = directory.join(format!("{}.log", self.site.vm));
        Ok(std::fs::OpenOptions::new().create(true).append(true).open(path)?.into())
    }

    /// Returns the address for callers, which leads through a link.
    pub(crate) fn calls(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Returns the address for operators.
    pub(crate) fn api(&self) -> SocketAddr {
        self.listen.api
    }

    /// Changes the condition of a link.
    pub(crate) fn set_condition(&self, link: LinkName, condition: Condition) {
        let link = match link {
            LinkName::Callers => &self.callers,
            LinkName::Store => &self.store,
            LinkName::Target => &self.to_target,
        };
        link.set_condition(condition);
    }

    /// Sends a signal to the daemon, if it runs.
    pub(crate) fn signal(&self, signal: Signal) {
        let id = self.child.as_ref().and_then(Child::id);
        if let Some(pid) = id.and_then(|id| Pid::from_raw(id.cast_signed())) {
            // The signal fails if the process has just ended, which is harmless.
            let _ = kill_process(pid, signal);
        }
    }

    /// Sends `signal` to the daemon, waits until it has ended and returns whether
    /// it shut down gracefully. Termination by SIGTERM counts as graceful for a
    /// process that may not have installed its signal handler yet.
    pub(crate) async fn stop(&mut self, signal: Signal) -> bool {
        let just_started = self.spawned_at.elapsed() < SIGNAL_SETUP_TIME;
        self.signal(signal);
        let status = self.wait().await;
        status.is_some_and(|status| {
            status.success() || (just_started && status.signal() == Some(Signal::TERM.as_raw()))
        })
    }

    /// Waits until the daemon has ended, and kills it after the time limit.
    pub(crate) async fn wait(&mut self) -> Option<ExitStatus> {
        let child = self.child.as_mut()?;
        let result = tokio::time::timeout(STOP_TIMEOUT, child.wait()).await;
        let status = if let Ok(status) = result {
            status.ok()
        } else {
            // Without a status, the stop counts as unclean.
            let _ = child.kill().await;
            None
        };
        self.child = None;
        status
    }

    /// Kills the daemon and closes its target and links.
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

/// Returns a channel that says that a server is not away.
fn never_away() -> watch::Receiver<bool> {
    watch::channel(false).1
}

/// Returns the path of a program in the directory of this one.
pub(crate) fn sibling_program(name: &str) -> Result<PathBuf, Failure> {
    let own = std::env::current_exe()?;
    let directory = own.parent().unwrap_or(Path::new("."));
    let path = directory.join(name);
    if path.exists() {
        return Ok(path);
    }
    Err(Failure::Node(format!("{} is missing: build the workspace first", path.display())))
}
