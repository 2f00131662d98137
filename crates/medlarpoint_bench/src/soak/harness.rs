//! Runs a plan against real processes and collects observations.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use medlarpoint_api::Status;
use medlarpoint_model::Version;
use medlarpoint_standin::{ExecutionLog, Faults, HttpClient, StoreServer};
use rustix::process::Signal;
use tempfile::TempDir;
use tokio::process::Command;
use tokio::sync::Mutex as AsyncMutex;
use tokio::task::{JoinHandle, JoinSet};

use super::Flags;
use super::caller::{Caller, Operation, Outcome};
use super::checker::{Cause, Change, FatalRun, Observations, Outage, RECOVERY_LIMIT, Sample};
use super::link::Condition;
use super::member::{Member, Paths, sibling_program};
use super::plan::{Disturbance, LinkName, Step};
use crate::{Failure, Preset, Site};

/// Interval between polls of a daemon's status.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Number of callers of each VM.
const CALLERS_PER_VM: usize = 2;
/// Limit on the wait until all daemons serve or all services respond at the start.
const START_TIMEOUT: Duration = Duration::from_secs(60);
/// Limit on the duration of a commit.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(8);
/// Wait after recovery, so that the last change can be checked against its limit.
const LAST_CHANGE_WAIT: Duration = Duration::from_secs(9);

/// A deliberate violation of a guarantee, to show that the soak detects it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Mutation {
    /// Kills daemons that should shut down gracefully, and records the outage as a
    /// stop.
    HardStop,
    /// Does not restart killed daemons.
    StayDown,
    /// Doubles the number of executions of every call.
    RunTwice,
    /// Reports a call that got a response as not run.
    DenyRun,
}

/// A fleet of processes with its store and callers.
pub(crate) struct Harness {
    members: Vec<AsyncMutex<Member>>,
    apis: Vec<std::net::SocketAddr>,
    store: StoreServer,
    execution_log: ExecutionLog,
    caller: Caller,
    observations: Mutex<Observations>,
    mutation: Option<Mutation>,
    commits: AsyncMutex<u32>,
    seed: u64,
    directory: TempDir,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns the site of VM `number` and the service of its target.
fn site(number: usize) -> (Site, crate::Service) {
    let preset = Preset::Talskrivarna;
    let services = preset.services();
    let data_centres: Vec<(&str, &str)> = preset
        .regions()
        .iter()
        .flat_map(|(region, centres)| centres.iter().map(|centre| (*region, *centre)))
        .collect();
    let service = services[number % services.len()];
    let (region, data_centre) = data_centres[(number / services.len()) % data_centres.len()];
    let site = Site {
        vm: format!("{}-{number}", service.name),
        data_centre: data_centre.to_owned(),
        region: region.to_owned(),
    };
    (site, service)
}

impl Harness {
    /// Starts the fleet and puts the first configuration in force.
    pub(crate) async fn start(flags: &Flags) -> Result<Arc<Self>, Failure> {
        let directory = TempDir::new()?;
        let paths = Paths {
            program: sibling_program("medlarpointd")?,
            settings: directory.path().to_owned(),
            logs: flags.logs.clone(),
        };
        let any_port = std::net::SocketAddr::from(([127, 0, 0, 1], 0));
        let store = StoreServer::start(any_port, flags.seed).await?;
        let execution_log = ExecutionLog::default();
        let run: u8 = rand::random_range(1..=250);
        let mut members = Vec::new();
        for number in 0..usize::from(flags.daemons) {
            let (site, service) = site(number);
            let started = Member::start(
                (run, number),
                site,
                service,
                store.address(),
                &paths,
                &execution_log,
            );
            members.push(started.await?);
        }
        let caller = Caller {
            addresses: Arc::new(members.iter().map(Member::calls).collect()),
            records: Arc::default(),
            start: Instant::now(),
            stop: Arc::new(AtomicBool::new(false)),
        };
        let harness = Arc::new(Self {
            apis: members.iter().map(Member::api).collect(),
            members: members.into_iter().map(AsyncMutex::new).collect(),
            store,
            execution_log,
            caller,
            observations: Mutex::default(),
            mutation: flags.plant,
            commits: AsyncMutex::new(0),
            seed: flags.seed,
            directory,
        });
        let serving = harness.wait_serving(START_TIMEOUT).await;
        serving.ok_or(Failure::Timeout("all daemons to serve"))?;
        let committed = harness.commit(0).await;
        committed.ok_or(Failure::Command("the first commit"))?;
        let responding = harness.wait_responding(START_TIMEOUT).await;
        responding.ok_or(Failure::Timeout("all services to respond"))?;
        *lock(&harness.observations) = Observations::default();
        lock(&harness.caller.records).clear();
        Ok(harness)
    }

    fn now(&self) -> Duration {
        self.caller.start.elapsed()
    }

    /// Runs the steps, waits for recovery and returns the observations.
    pub(crate) async fn run(self: Arc<Self>, steps: &[Step]) -> Result<Observations, Failure> {
        let mut callers = JoinSet::new();
        for number in 0..self.members.len() * CALLERS_PER_VM {
            let vm = number % self.members.len();
            let seed = self.seed.wrapping_mul(1_000).wrapping_add(number as u64);
            callers.spawn(self.caller.clone().run(vm, seed));
        }
        callers.spawn(self.caller.clone().run_fatal(self.seed));
        let polling = self.start_polling();
        let start = self.now();
        let mut running = JoinSet::new();
        for step in steps {
            let due = (self.caller.start + start + step.at).into();
            tokio::time::sleep_until(due).await;
            let (harness, step) = (Arc::clone(&self), *step);
            running.spawn(async move { harness.disturb(step).await });
        }
        while running.join_next().await.is_some() {}
        let recovery = self.wait_recovered().await;
        if recovery.is_some() {
            tokio::time::sleep(LAST_CHANGE_WAIT).await;
        }
        self.caller.stop.store(true, Ordering::Release);
        while callers.join_next().await.is_some() {}
        polling.abort();
        let mut observations = std::mem::take(&mut *lock(&self.observations));
        observations.recovery = recovery;
        observations.calls = std::mem::take(&mut *lock(&self.caller.records));
        observations.runs = self.count_runs(&observations);
        observations.fatal_runs = self.fatal_runs(&observations);
        self.apply_mutation(&mut observations);
        Self::close(self).await;
        Ok(observations)
    }

    fn count_runs(&self, observations: &Observations) -> HashMap<String, usize> {
        let ids = observations.calls.iter().map(|call| &call.id);
        ids.map(|id| (id.clone(), self.execution_log.count(id))).collect()
    }

    /// Returns the executions of calls that crash their targets, in order of time.
    fn fatal_runs(&self, observations: &Observations) -> Vec<FatalRun> {
        let names: Vec<String> = (0..self.members.len()).map(|vm| site(vm).0.vm).collect();
        let fatal = observations.calls.iter();
        let fatal = fatal.filter(|call| call.operation == Operation::FatalLookup);
        let mut runs = Vec::new();
        for call in fatal {
            for execution in self.execution_log.executions(&call.id) {
                let target = names.iter().position(|name| *name == execution.target);
                let at = execution.at.saturating_duration_since(self.caller.start);
                runs.push(FatalRun { at, caller: call.vm, target: target.unwrap_or_default() });
            }
        }
        runs.sort_by_key(|run| run.at);
        runs
    }

    /// Changes the observations as the mutation requires.
    fn apply_mutation(&self, observations: &mut Observations) {
        match self.mutation {
            Some(Mutation::RunTwice) => observations.runs.values_mut().for_each(|runs| *runs *= 2),
            Some(Mutation::DenyRun) => {
                let responded = |call: &&mut super::caller::CallRecord| {
                    matches!(call.outcome, Outcome::Responded { .. }) && !call.resent
                };
                if let Some(call) = observations.calls.iter_mut().find(responded) {
                    call.outcome = Outcome::NotRun;
                }
            }
            Some(Mutation::HardStop | Mutation::StayDown) | None => {}
        }
    }

    async fn close(harness: Arc<Self>) {
        let Some(harness) = Arc::into_inner(harness) else {
            // A poll is in flight; the processes are killed when their handles drop.
            return;
        };
        for member in harness.members {
            member.into_inner().close().await;
        }
        harness.store.close();
    }

    /// Starts to poll all daemons at intervals.
    fn start_polling(self: &Arc<Self>) -> JoinHandle<()> {
        let harness = Arc::clone(self);
        tokio::spawn(async move {
            let http = HttpClient::new(POLL_INTERVAL * 4);
            loop {
                let polls = harness.apis.iter().enumerate().map(|(vm, api)| {
                    let http = http.clone();
                    let (harness, api) = (Arc::clone(&harness), *api);
                    async move { harness.poll(&http, vm, api).await }
                });
                polls.collect::<JoinSet<()>>().join_all().await;
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        })
    }

    async fn poll(&self, http: &HttpClient, vm: usize, api: std::net::SocketAddr) {
        let at = self.now();
        // A daemon that is down or suspended gives no sample.
        let Ok(status) = status(http, api).await else {
            return;
        };
        if status.serving {
            lock(&self.observations).samples.push(Sample { vm, at, version: status.version });
        }
    }

    async fn disturb(&self, step: Step) {
        match step.disturbance {
            Disturbance::Kill(vm) => self.kill(vm, step.duration).await,
            Disturbance::Stop(vm) => self.stop(vm, step.duration).await,
            Disturbance::Pause(vm) => self.pause(vm, step.duration).await,
            Disturbance::KillAll => self.kill_all().await,
            Disturbance::Link(vm, link, condition) => {
                self.link(vm, link, condition, step.duration).await;
            }
            Disturbance::Store(faults) => {
                self.store.set_faults(faults);
                tokio::time::sleep(step.duration).await;
                self.store.set_faults(Faults::default());
            }
            Disturbance::Reload(vm) => self.members[vm].lock().await.signal(Signal::HUP),
            Disturbance::Change(vm) => {
                // A commit that fails because of a disturbance is not recorded.
                self.commit(vm).await;
            }
        }
    }

    fn record_outage(&self, vm: usize, cause: Cause, from: Duration) {
        let until = self.now();
        lock(&self.observations).outages.push(Outage { vm, cause, from, until });
    }

    async fn kill(&self, vm: usize, down: Duration) {
        let mut member = self.members[vm].lock().await;
        let from = self.now();
        member.signal(Signal::KILL);
        member.wait().await;
        tokio::time::sleep(down).await;
        if self.mutation != Some(Mutation::StayDown) {
            self.restart(&mut member, vm).await;
        }
        self.record_outage(vm, Cause::Process, from);
    }

    async fn stop(&self, vm: usize, down: Duration) {
        let mut member = self.members[vm].lock().await;
        let hard_stop = self.mutation == Some(Mutation::HardStop);
        let graceful = member.stop(if hard_stop { Signal::KILL } else { Signal::TERM }).await;
        let ended = self.now();
        if !graceful {
            lock(&self.observations).unclean_stops.push(vm);
        }
        tokio::time::sleep(down).await;
        self.restart(&mut member, vm).await;
        self.record_outage(vm, Cause::Stopped, ended);
    }

    /// Starts a daemon and waits until it serves, up to `RECOVERY_LIMIT`.
    async fn restart(&self, member: &mut Member, vm: usize) {
        if let Err(error) = member.spawn() {
            eprintln!("soak: {} cannot be started: {error}", member.site.vm);
            return;
        }
        let http = HttpClient::new(POLL_INTERVAL * 4);
        let deadline = self.now() + RECOVERY_LIMIT;
        while self.now() < deadline {
            if status(&http, self.apis[vm]).await.is_ok_and(|status| status.serving) {
                return;
            }
            tokio::time::sleep(POLL_INTERVAL / 2).await;
        }
    }

    async fn pause(&self, vm: usize, duration: Duration) {
        let member = self.members[vm].lock().await;
        let from = self.now();
        member.signal(Signal::STOP);
        tokio::time::sleep(duration).await;
        member.signal(Signal::CONT);
        self.record_outage(vm, Cause::Process, from);
    }

    async fn kill_all(&self) {
        let from = self.now();
        let mut members = Vec::new();
        for member in &self.members {
            members.push(member.lock().await);
        }
        for member in &members {
            member.signal(Signal::KILL);
        }
        for member in &mut members {
            member.wait().await;
            if let Err(error) = member.spawn() {
                eprintln!("soak: {} cannot be started: {error}", member.site.vm);
            }
        }
        // Releases the locks, so that other steps can disturb the daemons while they
        // start.
        drop(members);
        self.wait_serving(RECOVERY_LIMIT).await;
        for vm in 0..self.members.len() {
            self.record_outage(vm, Cause::Process, from);
        }
    }

    async fn link(&self, vm: usize, link: LinkName, condition: Condition, duration: Duration) {
        let from = self.now();
        self.members[vm].lock().await.set_condition(link, condition);
        tokio::time::sleep(duration).await;
        self.members[vm].lock().await.set_condition(link, Condition::Normal);
        match link {
            LinkName::Callers => self.record_outage(vm, Cause::Callers, from),
            LinkName::Target => self.record_outage(vm, Cause::Target, from),
            LinkName::Store => {}
        }
    }

    /// Commits a change with the operators' tool and returns its version.
    async fn commit(&self, vm: usize) -> Option<Version> {
        let mut number = self.commits.lock().await;
        *number += 1;
        let path = self.directory.path().join("change.toml");
        let text = document_with_marker(*number);
        std::fs::write(&path, text).ok()?;
        let api = self.apis[vm].to_string();
        let mut command = Command::new(sibling_program("medlarpoint").ok()?);
        command.args(["--api", &api, "apply", "--author", "soak", "-f"]).arg(&path);
        command.stdout(std::process::Stdio::null()).stderr(std::process::Stdio::null());
        command.kill_on_drop(true);
        let result = tokio::time::timeout(COMMIT_TIMEOUT, command.status()).await;
        if !result.ok()?.ok()?.success() {
            return None;
        }
        let at = self.now();
        let status = status(&HttpClient::new(COMMIT_TIMEOUT), self.apis[vm]).await.ok()?;
        let version = status.version;
        lock(&self.observations).changes.push(Change { at, version });
        Some(version)
    }

    /// Waits until everything is served again after the last disturbance.
    async fn wait_recovered(&self) -> Option<Duration> {
        let from = self.now();
        let elapsed = self.wait_serving(RECOVERY_LIMIT).await?;
        let responding = self.wait_responding(RECOVERY_LIMIT.saturating_sub(elapsed)).await;
        responding.map(|_| self.now().saturating_sub(from))
    }

    /// Waits until all daemons serve the same version.
    async fn wait_serving(&self, limit: Duration) -> Option<Duration> {
        let http = HttpClient::new(POLL_INTERVAL * 4);
        self.wait_until(limit, || async {
            let mut versions = Vec::new();
            for api in &self.apis {
                let status = status(&http, *api).await.ok().filter(|status| status.serving)?;
                versions.push(status.version);
            }
            versions.windows(2).all(|pair| pair[0] == pair[1]).then_some(())
        })
        .await
    }

    /// Waits until each daemon gets a correct response from each service.
    async fn wait_responding(&self, limit: Duration) -> Option<Duration> {
        let http = HttpClient::new(Duration::from_secs(2));
        let count = std::sync::atomic::AtomicU64::new(0);
        self.wait_until(limit, || async {
            for vm in 0..self.apis.len() {
                for operation in [Operation::Lookup, Operation::KeyedOrder, Operation::LargeLookup]
                {
                    let number = count.fetch_add(1, Ordering::Relaxed);
                    let id = format!("probe-{}-{number}", self.now().as_millis());
                    let record = self.caller.call(&http, vm, operation, id).await;
                    if record.outcome != (Outcome::Responded { correct: true }) || record.resent {
                        return None;
                    }
                }
            }
            Some(())
        })
        .await
    }

    async fn wait_until<F, G>(&self, limit: Duration, test: F) -> Option<Duration>
    where
        F: Fn() -> G,
        G: Future<Output = Option<()>>,
    {
        let from = self.now();
        loop {
            let passed = test().await.is_some();
            let elapsed = self.now().saturating_sub(from);
            if passed {
                return Some(elapsed);
            }
            if elapsed > limit {
                return None;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

/// Returns the configuration with a marker route for change `number`.
fn document_with_marker(number: u32) -> String {
    let marker = format!(
        "\n[[route]]\nname = \"mark\"\nservice = \"archive\"\nrepeatable = true\n\
         match = {{ host = \"mark-{number}.talskrivarna\" }}\n"
    );
    format!("{}{marker}", Preset::Talskrivarna.document())
}

async fn status(http: &HttpClient, api: std::net::SocketAddr) -> Result<Status, Failure> {
    Ok(serde_json::from_slice(&http.get(api, "/v1/status").await?)?)
}
