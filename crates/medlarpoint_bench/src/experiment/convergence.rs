//! Measures how long a change takes to be in force on every daemon, and the
//! traffic, processor time and store calls that this costs.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http::Method;
use medlarpoint_api::{Commit, CommitResult, Edit, Expect};
use medlarpoint_model::{
    Change, CommitId, Delta, Digest, Matcher, Name, PathPrefix, Resource, Route, Service, Version,
};
use medlarpoint_standin::HttpClient;
use medlarpoint_wire::PullResponse;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;

use crate::Failure;
use crate::node::unix_time_us;
use crate::processes::{Processes, Role};

/// Number of services in the configuration.
const SERVICES: usize = 180;
/// Number of routes in the configuration.
const ROUTES: usize = 360;
/// Mean pause between changes.
const CHANGE_PAUSE: Duration = Duration::from_millis(150);
/// Length of the idle interval, whose traffic is the cost of membership.
const IDLE_TIME: Duration = Duration::from_secs(10);
/// Time that a fleet gets to become idle before anything is measured.
const QUIESCE_TIME: Duration = Duration::from_secs(12);
/// Bytes of HTTP heads that are counted for each call to the store.
const STORE_HEAD_BYTES: u64 = 200;

/// Flags of the command `convergence`.
#[derive(Clone, Debug, clap::Args)]
pub struct Flags {
    /// Number of daemons, each of which is a process.
    #[arg(long, default_value_t = 30)]
    pub daemons: usize,
    /// Number of configuration changes to commit.
    #[arg(long, default_value_t = 40)]
    pub changes: usize,
    /// Seed of the random numbers.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Skips the baseline, in which each daemon watches the store.
    #[arg(long)]
    pub no_baseline: bool,
    /// Restarts half of the daemons at once after the changes (thundering herd).
    #[arg(long)]
    pub herd: bool,
}

/// Measurements of one variant: the product or the baseline.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Figures {
    /// Median over the changes of the time until a change was in force on every
    /// daemon.
    pub p50_ms: f64,
    /// 99th percentile of the time until a change was in force on every daemon.
    pub p99_ms: f64,
    /// Longest time until a change was in force on every daemon.
    pub max_ms: f64,
    /// Median over changes and daemons of the time until a change was in force on
    /// a daemon.
    pub daemon_p50_ms: f64,
    /// 99th percentile of the time until a change was in force on a daemon.
    pub daemon_p99_ms: f64,
    /// Control bytes sent per daemon and second while changes were made.
    pub control_bytes_per_daemon_per_s: f64,
    /// Control bytes sent per daemon and second without changes.
    pub idle_bytes_per_daemon_per_s: f64,
    /// Control bytes per daemon that one change adds.
    pub bytes_per_daemon_per_change: f64,
    /// Control messages sent per daemon and second without changes.
    pub idle_messages_per_daemon_per_s: f64,
    /// Configuration bytes sent to other regions per change.
    pub cross_region_bytes_per_change: f64,
    /// Encoded size of an ordinary change, in bytes.
    pub delta_bytes: f64,
    /// Calls to the store per second without changes.
    pub idle_store_calls_per_s: f64,
    /// Calls to the store per second while changes were made.
    pub store_calls_per_s: f64,
    /// Processor time per daemon without changes, as a share of a core.
    pub idle_cpu_core_share_per_daemon: f64,
    /// Processor time per daemon while changes were made, as a share of a core.
    pub cpu_core_share_per_daemon: f64,
    /// Processor time per daemon that one change adds, in milliseconds.
    pub cpu_ms_per_daemon_per_change: f64,
    /// Mean resident memory per daemon, in megabytes.
    pub rss_mb_per_daemon: f64,
}

/// Measurements of a restart of half the daemons at once (thundering herd).
#[derive(Clone, Debug, Default, Serialize)]
pub struct Herd {
    /// Number of daemons that were killed and started again.
    pub restarted: usize,
    /// Time until every daemon served callers with the newest version again.
    pub current_ms: f64,
    /// Time until the first daemon, which kept running, saw all members live again.
    pub members_ms: f64,
    /// Calls to the store within `members_ms`.
    pub store_calls: u64,
    /// Control bytes sent per daemon within `members_ms`.
    pub bytes_per_daemon: f64,
}

/// Report of the experiment.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Number of daemons.
    pub daemons: usize,
    /// Number of configuration changes.
    pub changes: usize,
    /// Measurements of the product.
    #[serde(flatten)]
    pub figures: Figures,
    /// Measurements of the baseline, in which each daemon watches the store.
    pub baseline: Option<Figures>,
    /// Measurements of the simultaneous restart, if one was requested.
    pub herd: Option<Herd>,
}

fn numbered_name(prefix: &str, number: usize) -> Result<Name, Failure> {
    Ok(format!("{prefix}-{number}").parse()?)
}

fn route(number: usize, deadline_ms: u64) -> Result<Resource, Failure> {
    let path_prefix = Some(PathPrefix::new(format!("/r{number}")));
    Ok(Resource::Route(Route {
        matcher: Matcher { path_prefix, ..Matcher::default() },
        repeatable: true,
        deadline_ms,
        ..Route::new(numbered_name("route", number)?, numbered_name("service", number % SERVICES)?)
    }))
}

fn initial_resources() -> Result<Vec<Resource>, Failure> {
    let services = (0..SERVICES).map(|number| {
        Ok(Resource::Service(Service { name: numbered_name("service", number)?, policy: None }))
    });
    let routes = (0..ROUTES).map(|number| route(number, 1_000));
    services.chain(routes).collect()
}

/// Commits resources through the API of a daemon and returns the new version.
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
    processes.wait_in_force(Version::ZERO).await?;
    // Baseline processes have no API, so changes are committed through a fleet of
    // one daemon that shares their store.
    let mut committing_fleet = None;
    let api = match role {
        Role::Daemon => {
            processes.wait_members().await?;
            processes.nodes[0].state().api.ok_or_else(|| Failure::Node("no API".to_owned()))?
        }
        Role::Baseline => {
            let mut fleet = crate::Fleet::start(flags.seed).await?;
            fleet.use_store(processes.store.address());
            fleet.add(crate::processes::site(0), None).await?;
            fleet.wait_ready().await?;
            let api = fleet.members[0].daemon()?.addresses().api;
            committing_fleet = Some(fleet);
            api
        }
    };
    let http = HttpClient::new(Duration::from_secs(20));
    let first = commit(&http, api, 1, initial_resources()?).await?;
    processes.wait_in_force(first).await?;
    // Two small changes move the large first one out of the head.
    let mut newest = first;
    for number in 0..2_u64 {
        newest =
            commit(&http, api, 2 + u128::from(number), vec![route(0, 2_000 + number)?]).await?;
        processes.wait_in_force(newest).await?;
    }
    tokio::time::sleep(QUIESCE_TIME).await;
    let idle = measure_interval(&processes, role, async {
        tokio::time::sleep(IDLE_TIME).await;
        Ok(())
    })
    .await?;
    let mut latencies = Latencies::default();
    let busy = measure_interval(&processes, role, async {
        let mut rng = StdRng::seed_from_u64(flags.seed);
        for number in 0..flags.changes {
            let resource = route(rng.random_range(0..ROUTES), 3_000 + number as u64)?;
            let started = unix_time_us();
            newest = commit(&http, api, 100 + number as u128, vec![resource]).await?;
            processes.wait_in_force(newest).await?;
            latencies.add(&processes, newest, started);
            tokio::time::sleep(CHANGE_PAUSE.mul_f64(rng.random_range(0.5..1.5))).await;
        }
        Ok(())
    })
    .await?;
    let usage = processes.usage()?;
    let figures = figures(flags, &idle, &busy, &mut latencies, usage.rss_mb);
    let herd = match (flags.herd, role) {
        (true, Role::Daemon) => Some(restart_herd(&mut processes, newest).await?),
        _ => None,
    };
    if let Some(fleet) = committing_fleet {
        fleet.close().await;
    }
    processes.close().await;
    Ok((figures, herd))
}

/// Restarts every second daemon at once and measures the recovery.
async fn restart_herd(processes: &mut Processes, newest: Version) -> Result<Herd, Failure> {
    let restarted: Vec<usize> = (0..processes.nodes.len()).filter(|n| n % 2 == 1).collect();
    let calls_before = store_calls(processes);
    let traffic_before = processes.traffic_of(|number| number % 2 == 0).await?;
    let started = Instant::now();
    processes.restart(&restarted).await?;
    processes.wait_in_force(newest).await?;
    let current_ms = started.elapsed().as_secs_f64() * 1e3;
    processes.wait_members().await?;
    let members_ms = started.elapsed().as_secs_f64() * 1e3;
    // Restarted daemons count from zero again, so only the traffic of the others
    // before the restart is subtracted.
    let bytes =
        total_bytes(&processes.traffic().await?).saturating_sub(total_bytes(&traffic_before));
    Ok(Herd {
        restarted: restarted.len(),
        current_ms,
        members_ms,
        store_calls: store_calls(processes) - calls_before,
        bytes_per_daemon: bytes as f64 / processes.nodes.len() as f64,
    })
}

/// Resources used by all processes during a measured interval.
#[derive(Clone, Copy, Debug, Default)]
struct Interval {
    seconds: f64,
    bytes: u64,
    messages: u64,
    /// Configuration bytes sent to other regions.
    remote_config: u64,
    cpu_s: f64,
    store_calls: u64,
}

fn total_bytes(traffic: &medlarpoint_daemon::TrafficCounts) -> u64 {
    traffic.near + traffic.region + traffic.remote
}

fn store_calls(processes: &Processes) -> u64 {
    let stats = processes.store.stats();
    stats.reads + stats.writes + stats.watches
}

/// Measures the resources that all processes use while `work` runs.
async fn measure_interval(
    processes: &Processes,
    role: Role,
    work: impl Future<Output = Result<(), Failure>>,
) -> Result<Interval, Failure> {
    let traffic_before = match role {
        Role::Daemon => processes.traffic().await?,
        Role::Baseline => medlarpoint_daemon::TrafficCounts::default(),
    };
    let usage_before = processes.usage()?;
    let stats_before = processes.store.stats();
    let calls_before = store_calls(processes);
    let started = Instant::now();
    work.await?;
    let seconds = started.elapsed().as_secs_f64();
    let cpu_s = processes.usage()?.cpu_s - usage_before.cpu_s;
    let store_calls = store_calls(processes) - calls_before;
    let bytes_sent = processes.store.stats().bytes_sent - stats_before.bytes_sent;
    let mut interval = Interval { seconds, cpu_s, store_calls, ..Interval::default() };
    match role {
        Role::Daemon => {
            let traffic = processes.traffic().await?;
            interval.bytes = total_bytes(&traffic) - total_bytes(&traffic_before);
            interval.messages = traffic.messages - traffic_before.messages;
            interval.remote_config = traffic.remote_config - traffic_before.remote_config;
        }
        Role::Baseline => {
            interval.bytes = bytes_sent + store_calls * STORE_HEAD_BYTES;
            interval.messages = store_calls * 2;
            // Four of the seven data centres are outside the region of the store.
            interval.remote_config = interval.bytes * 4 / 7;
        }
    }
    Ok(interval)
}

/// Times until changes were in force, in microseconds.
#[derive(Clone, Debug, Default)]
struct Latencies {
    /// One value for each change and daemon.
    per_daemon: Vec<u64>,
    /// One value for each change: that of the last daemon.
    last_daemon: Vec<u64>,
}

impl Latencies {
    fn add(&mut self, processes: &Processes, version: Version, started: u64) {
        let mut last = 0;
        for node in &processes.nodes {
            let state = node.state();
            // A node may skip the version by applying a newer one, which counts.
            let at_or_after = state.applied_us.iter().filter(|(v, _)| **v >= version);
            if let Some(at) = at_or_after.map(|(_, at)| *at).min() {
                let latency = at.saturating_sub(started);
                self.per_daemon.push(latency);
                last = last.max(latency);
            }
        }
        self.last_daemon.push(last);
    }
}

/// Returns a quantile, in milliseconds, of values in microseconds.
fn quantile_ms(values: &mut [u64], quantile: f64) -> f64 {
    values.sort_unstable();
    let rank = ((values.len() as f64 * quantile).ceil() as usize).clamp(1, values.len().max(1));
    values.get(rank - 1).copied().unwrap_or_default() as f64 / 1e3
}

/// Returns the encoded size of an ordinary change as a peer sends it, in bytes.
fn delta_bytes() -> Result<usize, Failure> {
    let delta = Delta {
        base: Version(999),
        version: Version(1_000),
        base_digest: Digest::default(),
        digest: Digest::default(),
        commit: CommitId(u128::MAX),
        author: "bench".to_owned(),
        at_ms: unix_time_us() / 1_000,
        changes: vec![Change::Put(route(1, 3_000)?)],
    };
    let response = PullResponse::Deltas(vec![Arc::new(delta)]);
    Ok(medlarpoint_wire::encode(&response).map(|bytes| bytes.len()).unwrap_or_default())
}

fn figures(
    flags: &Flags,
    idle: &Interval,
    busy: &Interval,
    latencies: &mut Latencies,
    rss_mb: f64,
) -> Figures {
    let daemons = flags.daemons as f64;
    let changes = flags.changes.max(1) as f64;
    let per_daemon_per_s = |interval: &Interval, value: f64| value / interval.seconds / daemons;
    let idle_bytes = per_daemon_per_s(idle, idle.bytes as f64);
    let busy_bytes = per_daemon_per_s(busy, busy.bytes as f64);
    let idle_cpu = per_daemon_per_s(idle, idle.cpu_s);
    let busy_cpu = per_daemon_per_s(busy, busy.cpu_s);
    Figures {
        p50_ms: quantile_ms(&mut latencies.last_daemon, 0.5),
        p99_ms: quantile_ms(&mut latencies.last_daemon, 0.99),
        max_ms: quantile_ms(&mut latencies.last_daemon, 1.0),
        daemon_p50_ms: quantile_ms(&mut latencies.per_daemon, 0.5),
        daemon_p99_ms: quantile_ms(&mut latencies.per_daemon, 0.99),
        control_bytes_per_daemon_per_s: busy_bytes,
        idle_bytes_per_daemon_per_s: idle_bytes,
        bytes_per_daemon_per_change: (busy_bytes - idle_bytes).max(0.0) * busy.seconds / changes,
        idle_messages_per_daemon_per_s: per_daemon_per_s(idle, idle.messages as f64),
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
