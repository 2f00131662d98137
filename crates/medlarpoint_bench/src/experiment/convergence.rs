//! How long a change takes to be in force everywhere, and what it costs.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http::Method;
use medlarpoint_api::{Commit, CommitResult, Edit, Expect};
use medlarpoint_model::{
    Change, CommitId, Delta, Digest, Matcher, Name, Resource, Route, Service, Version,
};
use medlarpoint_standin::HttpClient;
use medlarpoint_wire::PullResponse;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;

use crate::Failure;
use crate::node::wall_us;
use crate::processes::{Processes, Role};

/// Services in the configuration.
const SERVICES: usize = 180;
/// Routes in the configuration.
const ROUTES: usize = 360;
/// Pause between changes.
const PAUSE: Duration = Duration::from_millis(150);
/// Length of the idle part, whose traffic is the cost of membership.
const IDLE: Duration = Duration::from_secs(10);
/// Time for a fleet to settle before anything is measured.
const SETTLE: Duration = Duration::from_secs(12);
/// Bytes of the head of an HTTP exchange with the store.
const STORE_HEAD_BYTES: u64 = 200;

/// Flags.
#[derive(Clone, Debug, clap::Args)]
pub struct Flags {
    /// Daemons, each a process.
    #[arg(long, default_value_t = 30)]
    pub daemons: usize,
    /// Changes to make.
    #[arg(long, default_value_t = 40)]
    pub changes: usize,
    /// Seed.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Leaves out the baseline.
    #[arg(long)]
    pub no_baseline: bool,
    /// Kills half of the daemons and starts them again, all at once.
    #[arg(long)]
    pub herd: bool,
}

/// Figures of one way.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Figures {
    /// Time until a change was in force on the last daemon, over the changes.
    pub p50_ms: f64,
    /// The same.
    pub p99_ms: f64,
    /// The same.
    pub max_ms: f64,
    /// Time until a change was in force on a daemon, over changes and daemons.
    pub daemon_p50_ms: f64,
    /// The same.
    pub daemon_p99_ms: f64,
    /// Control bytes sent per daemon and second while changes were made.
    pub control_bytes_per_daemon_per_s: f64,
    /// The same without changes.
    pub idle_bytes_per_daemon_per_s: f64,
    /// Control bytes per daemon that one change adds.
    pub bytes_per_daemon_per_change: f64,
    /// Control messages per daemon and second without changes.
    pub idle_messages_per_daemon_per_s: f64,
    /// Configuration bytes that crossed to other regions, per change.
    pub cross_region_bytes_per_change: f64,
    /// Size of a change on the wire.
    pub delta_bytes: f64,
    /// Calls to the store per second without changes.
    pub idle_store_calls_per_s: f64,
    /// Calls to the store per second while changes were made.
    pub store_calls_per_s: f64,
    /// Share of a core per daemon without changes.
    pub idle_cpu_core_share_per_daemon: f64,
    /// Share of a core per daemon while changes were made.
    pub cpu_core_share_per_daemon: f64,
    /// Processor time per daemon that one change adds, in milliseconds.
    pub cpu_ms_per_daemon_per_change: f64,
    /// Resident memory per daemon.
    pub rss_mb_per_daemon: f64,
}

/// What came of a herd of restarts.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Herd {
    /// Daemons that were killed and started again at once.
    pub restarted: usize,
    /// Time until all served again with the newest version.
    pub current_ms: f64,
    /// Time until the first daemon knew all members again.
    pub members_ms: f64,
    /// Calls to the store meanwhile.
    pub store_calls: u64,
    /// Control bytes sent per daemon meanwhile.
    pub bytes_per_daemon: f64,
}

/// Figures of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Daemons.
    pub daemons: usize,
    /// Changes.
    pub changes: usize,
    /// Figures of the product.
    #[serde(flatten)]
    pub figures: Figures,
    /// Figures when each daemon watches the store.
    pub baseline: Option<Figures>,
    /// The herd, if there was one.
    pub herd: Option<Herd>,
}

fn name(prefix: &str, number: usize) -> Result<Name, Failure> {
    Ok(format!("{prefix}-{number}").parse()?)
}

fn route(number: usize, deadline_ms: u64) -> Result<Resource, Failure> {
    let path_prefix = Some(format!("/r{number}"));
    Ok(Resource::Route(Route {
        matcher: Matcher { path_prefix, ..Matcher::default() },
        repeatable: true,
        deadline_ms,
        ..Route::new(name("route", number)?, name("service", number % SERVICES)?)
    }))
}

fn first_resources() -> Result<Vec<Resource>, Failure> {
    let services = (0..SERVICES).map(|number| {
        Ok(Resource::Service(Service { name: name("service", number)?, policy: None }))
    });
    let routes = (0..ROUTES).map(|number| route(number, 1_000));
    services.chain(routes).collect()
}

async fn commit(
    http: &HttpClient,
    api: SocketAddr,
    id: u128,
    resources: Vec<Resource>,
) -> Result<Version, Failure> {
    let edit = |resource| Edit { change: Change::Put(resource), expect: Expect::Any };
    let commit = Commit {
        commit: CommitId(id),
        author: "bench".to_owned(),
        since: Version::ZERO,
        resent: false,
        edits: resources.into_iter().map(edit).collect(),
    };
    let bytes = http.json(Method::POST, api, "/v1/commits", &commit).await?;
    Ok(serde_json::from_slice::<CommitResult>(&bytes)?.version)
}

/// Runs the experiment.
pub async fn run(flags: &Flags) -> Result<Report, Failure> {
    let (figures, herd) = measure(flags, Role::Daemon).await?;
    let baseline =
        if flags.no_baseline { None } else { Some(measure(flags, Role::Baseline).await?.0) };
    Ok(Report { daemons: flags.daemons, changes: flags.changes, figures, baseline, herd })
}

async fn measure(flags: &Flags, role: Role) -> Result<(Figures, Option<Herd>), Failure> {
    let mut processes = Processes::start(role, flags.seed).await?;
    processes.add(flags.daemons)?;
    processes.wait(Version::ZERO).await?;
    // The baseline needs a daemon through which changes are committed.
    let mut committer = None;
    let api = match role {
        Role::Daemon => {
            processes.wait_members().await?;
            processes.nodes[0].seen().api.ok_or_else(|| Failure::Node("no API".to_owned()))?
        }
        Role::Baseline => {
            let mut fleet = crate::Fleet::start(flags.seed).await?;
            fleet.use_store(processes.store.address());
            fleet.add(crate::processes::site(0), None).await?;
            fleet.wait_ready().await?;
            let api = fleet.members[0].daemon()?.addresses().api;
            committer = Some(fleet);
            api
        }
    };
    let http = HttpClient::new(Duration::from_secs(20));
    let first = commit(&http, api, 1, first_resources()?).await?;
    // A second change moves the large first one out of the head.
    processes.wait(first).await?;
    let mut newest = first;
    for number in 0..2_u64 {
        newest =
            commit(&http, api, 2 + u128::from(number), vec![route(0, 2_000 + number)?]).await?;
        processes.wait(newest).await?;
    }
    tokio::time::sleep(SETTLE).await;
    let idle = window(&processes, role, async {
        tokio::time::sleep(IDLE).await;
        Ok(())
    })
    .await?;
    let mut latencies = Latencies::default();
    let busy = window(&processes, role, async {
        let mut rng = StdRng::seed_from_u64(flags.seed);
        for number in 0..flags.changes {
            let resource = route(rng.random_range(0..ROUTES), 3_000 + number as u64)?;
            let started = wall_us();
            newest = commit(&http, api, 100 + number as u128, vec![resource]).await?;
            processes.wait(newest).await?;
            latencies.add(&processes, newest, started);
            tokio::time::sleep(PAUSE.mul_f64(rng.random_range(0.5..1.5))).await;
        }
        Ok(())
    })
    .await?;
    let usage = processes.usage()?;
    let figures = figures(flags, &idle, &busy, &mut latencies, usage.rss_mb);
    let herd = match (flags.herd, role) {
        (true, Role::Daemon) => Some(herd(&mut processes, newest).await?),
        _ => None,
    };
    if let Some(fleet) = committer {
        fleet.close().await;
    }
    processes.close().await;
    Ok((figures, herd))
}

async fn herd(processes: &mut Processes, newest: Version) -> Result<Herd, Failure> {
    let which: Vec<usize> = (0..processes.nodes.len()).filter(|n| n % 2 == 1).collect();
    let calls = store_calls(processes);
    let before = processes.traffic_of(|number| number % 2 == 0).await?;
    let started = Instant::now();
    processes.bounce(&which).await?;
    processes.wait(newest).await?;
    let current_ms = started.elapsed().as_secs_f64() * 1e3;
    processes.wait_members().await?;
    let members_ms = started.elapsed().as_secs_f64() * 1e3;
    // Those that restarted count from zero again.
    let bytes = total(&processes.traffic().await?).saturating_sub(total(&before));
    Ok(Herd {
        restarted: which.len(),
        current_ms,
        members_ms,
        store_calls: store_calls(processes) - calls,
        bytes_per_daemon: bytes as f64 / processes.nodes.len() as f64,
    })
}

/// What was spent within a stretch of time.
#[derive(Clone, Copy, Debug, Default)]
struct Window {
    seconds: f64,
    bytes: u64,
    messages: u64,
    remote_config: u64,
    cpu_s: f64,
    store_calls: u64,
}

fn total(reading: &medlarpoint_daemon::TrafficCounts) -> u64 {
    reading.near + reading.region + reading.remote
}

fn store_calls(processes: &Processes) -> u64 {
    let stats = processes.store.stats();
    stats.reads + stats.writes + stats.watches
}

async fn window(
    processes: &Processes,
    role: Role,
    work: impl Future<Output = Result<(), Failure>>,
) -> Result<Window, Failure> {
    let reading = match role {
        Role::Daemon => processes.traffic().await?,
        Role::Baseline => medlarpoint_daemon::TrafficCounts::default(),
    };
    let usage = processes.usage()?;
    let stats = processes.store.stats();
    let calls = store_calls(processes);
    let started = Instant::now();
    work.await?;
    let seconds = started.elapsed().as_secs_f64();
    let cpu_s = processes.usage()?.cpu_s - usage.cpu_s;
    let store_calls = store_calls(processes) - calls;
    let sent = processes.store.stats().bytes_sent - stats.bytes_sent;
    let mut window = Window { seconds, cpu_s, store_calls, ..Window::default() };
    match role {
        Role::Daemon => {
            let after = processes.traffic().await?;
            window.bytes = total(&after) - total(&reading);
            window.messages = after.messages - reading.messages;
            window.remote_config = after.remote_config - reading.remote_config;
        }
        Role::Baseline => {
            window.bytes = sent + store_calls * STORE_HEAD_BYTES;
            window.messages = store_calls * 2;
            // Four of seven data centres are in other regions than the store.
            window.remote_config = window.bytes * 4 / 7;
        }
    }
    Ok(window)
}

/// Times until changes were in force, in microseconds.
#[derive(Clone, Debug, Default)]
struct Latencies {
    each: Vec<u64>,
    last: Vec<u64>,
}

impl Latencies {
    fn add(&mut self, processes: &Processes, version: Version, started: u64) {
        let mut last = 0;
        for node in &processes.nodes {
            let seen = node.seen();
            // A node that went past the version at once applied it then.
            let later = seen.applied_us.iter().filter(|(v, _)| **v >= version);
            if let Some(at) = later.map(|(_, at)| *at).min() {
                let took = at.saturating_sub(started);
                self.each.push(took);
                last = last.max(took);
            }
        }
        self.last.push(last);
    }
}

fn quantile(values: &mut [u64], quantile: f64) -> f64 {
    values.sort_unstable();
    let place = ((values.len() as f64 * quantile).ceil() as usize).clamp(1, values.len().max(1));
    values.get(place - 1).copied().unwrap_or_default() as f64 / 1e3
}

/// Returns the size of an ordinary change, as a peer sends it.
fn delta_bytes() -> Result<usize, Failure> {
    let delta = Delta {
        base: Version(999),
        version: Version(1_000),
        base_digest: Digest::default(),
        digest: Digest::default(),
        commit: CommitId(u128::MAX),
        author: "bench".to_owned(),
        at_ms: wall_us() / 1_000,
        changes: vec![Change::Put(route(1, 3_000)?)],
    };
    let update = PullResponse::Deltas(vec![Arc::new(delta)]);
    Ok(medlarpoint_wire::encode(&update).map(|bytes| bytes.len()).unwrap_or_default())
}

fn figures(
    flags: &Flags,
    idle: &Window,
    busy: &Window,
    latencies: &mut Latencies,
    rss_mb: f64,
) -> Figures {
    let daemons = flags.daemons as f64;
    let changes = flags.changes.max(1) as f64;
    let rate = |window: &Window, value: f64| value / window.seconds / daemons;
    let idle_bytes = rate(idle, idle.bytes as f64);
    let busy_bytes = rate(busy, busy.bytes as f64);
    let idle_cpu = rate(idle, idle.cpu_s);
    let busy_cpu = rate(busy, busy.cpu_s);
    Figures {
        p50_ms: quantile(&mut latencies.last, 0.5),
        p99_ms: quantile(&mut latencies.last, 0.99),
        max_ms: quantile(&mut latencies.last, 1.0),
        daemon_p50_ms: quantile(&mut latencies.each, 0.5),
        daemon_p99_ms: quantile(&mut latencies.each, 0.99),
        control_bytes_per_daemon_per_s: busy_bytes,
        idle_bytes_per_daemon_per_s: idle_bytes,
        bytes_per_daemon_per_change: (busy_bytes - idle_bytes).max(0.0) * busy.seconds / changes,
        idle_messages_per_daemon_per_s: rate(idle, idle.messages as f64),
        cross_region_bytes_per_change: busy.remote_config as f64 / changes,
        delta_bytes: delta_bytes().unwrap_or_default() as f64,
        idle_store_calls_per_s: idle.store_calls as f64 / idle.seconds,
        store_calls_per_s: busy.store_calls as f64 / busy.seconds,
        idle_cpu_core_share_per_daemon: idle_cpu,
        cpu_core_share_per_daemon: busy_cpu,
        cpu_ms_per_daemon_per_change: (busy_cpu - idle_cpu).max(0.0) * busy.seconds / changes * 1e3,
        rss_mb_per_daemon: rss_mb,
    }
}
