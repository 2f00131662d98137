//! Carries a plan out on real processes and collects what was seen.

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
use super::caller::{Desk, End, Kind};
use super::judge::{Absence, Change, Evidence, Gap, Look, RECOVERY_LIMIT};
use super::link::Condition;
use super::member::{Member, Place, program};
use super::plan::{Disturbance, Side, Step};
use crate::{Failure, Preset, Site};

/// Time between looks at a daemon.
const LOOK_GAP: Duration = Duration::from_millis(100);
/// Callers of each VM.
const CALLERS: usize = 2;
/// Longest wait for the daemons to come up.
const START_LIMIT: Duration = Duration::from_secs(60);
/// Longest time that a commit may take.
const COMMIT_LIMIT: Duration = Duration::from_secs(8);
/// Time for the last change to be judged.
const LAST_CHANGE: Duration = Duration::from_secs(9);

/// A promise to break on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Plant {
    /// Stops daemons without warning, and says that they were told to stop.
    HardStop,
    /// Does not start a killed daemon again.
    StayDown,
    /// Counts each execution of an order twice.
    RunTwice,
    /// Takes refusals for answers of calls that ran.
    DenyRun,
}

/// A fleet with its callers.
pub(crate) struct Stage {
    members: Vec<AsyncMutex<Member>>,
    apis: Vec<std::net::SocketAddr>,
    store: StoreServer,
    ledger: ExecutionLog,
    desk: Desk,
    seen: Mutex<Evidence>,
    plant: Option<Plant>,
    commits: AsyncMutex<u32>,
    seed: u64,
    folder: TempDir,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Where VM `number` runs, and what its target serves.
fn site(number: usize) -> (Site, crate::Service) {
    let preset = Preset::Talskrivarna;
    let services = preset.services();
    let places: Vec<(&str, &str)> = preset
        .places()
        .iter()
        .flat_map(|(region, centres)| centres.iter().map(|centre| (*region, *centre)))
        .collect();
    let service = services[number % services.len()];
    let (region, data_centre) = places[(number / services.len()) % places.len()];
    let site = Site {
        vm: format!("{}-{number}", service.name),
        data_centre: data_centre.to_owned(),
        region: region.to_owned(),
    };
    (site, service)
}

impl Stage {
    /// Starts the fleet and puts the first configuration in force.
    pub(crate) async fn start(flags: &Flags) -> Result<Arc<Self>, Failure> {
        let folder = TempDir::new()?;
        let place = Place {
            program: program("medlarpointd")?,
            settings: folder.path().to_owned(),
            logs: flags.logs.clone(),
        };
        let any = std::net::SocketAddr::from(([127, 0, 0, 1], 0));
        let store = StoreServer::start(any, flags.seed).await?;
        let ledger = ExecutionLog::default();
        let run: u8 = rand::random_range(1..=250);
        let mut members = Vec::new();
        for number in 0..usize::from(flags.daemons) {
            let (site, service) = site(number);
            let started =
                Member::start((run, number), site, service, store.address(), &place, &ledger);
            members.push(started.await?);
        }
        let desk = Desk {
            addresses: Arc::new(members.iter().map(Member::calls).collect()),
            ended: Arc::default(),
            start: Instant::now(),
            stop: Arc::new(AtomicBool::new(false)),
        };
        let stage = Arc::new(Self {
            apis: members.iter().map(Member::api).collect(),
            members: members.into_iter().map(AsyncMutex::new).collect(),
            store,
            ledger,
            desk,
            seen: Mutex::default(),
            plant: flags.plant,
            commits: AsyncMutex::new(0),
            seed: flags.seed,
            folder,
        });
        let up = stage.all_serve(START_LIMIT).await;
        up.ok_or(Failure::Patience("all daemons to serve"))?;
        let first = stage.commit(0).await;
        first.ok_or(Failure::Command("the first commit"))?;
        let served = stage.all_answer(START_LIMIT).await;
        served.ok_or(Failure::Patience("all services to answer"))?;
        *lock(&stage.seen) = Evidence::default();
        lock(&stage.desk.ended).clear();
        Ok(stage)
    }

    fn now(&self) -> Duration {
        self.desk.start.elapsed()
    }

    /// Plays the steps, waits for recovery and returns what was seen.
    pub(crate) async fn play(self: Arc<Self>, steps: &[Step]) -> Result<Evidence, Failure> {
        let mut callers = JoinSet::new();
        for number in 0..self.members.len() * CALLERS {
            let vm = number % self.members.len();
            let seed = self.seed.wrapping_mul(1_000).wrapping_add(number as u64);
            callers.spawn(self.desk.clone().call(vm, seed));
        }
        let looking = self.look();
        let begin = self.now();
        let mut running = JoinSet::new();
        for step in steps {
            let due = (self.desk.start + begin + step.at).into();
            tokio::time::sleep_until(due).await;
            let (stage, step) = (Arc::clone(&self), *step);
            running.spawn(async move { stage.disturb(step).await });
        }
        while running.join_next().await.is_some() {}
        let recovered = self.recover().await;
        if recovered.is_some() {
            tokio::time::sleep(LAST_CHANGE).await;
        }
        self.desk.stop.store(true, Ordering::Release);
        while callers.join_next().await.is_some() {}
        looking.abort();
        let mut evidence = std::mem::take(&mut *lock(&self.seen));
        evidence.recovered = recovered;
        evidence.calls = std::mem::take(&mut *lock(&self.desk.ended));
        evidence.runs = self.runs(&evidence);
        self.tamper(&mut evidence);
        Self::close(self).await;
        Ok(evidence)
    }

    fn runs(&self, evidence: &Evidence) -> HashMap<String, usize> {
        let ids = evidence.calls.iter().map(|call| &call.id);
        ids.map(|id| (id.clone(), self.ledger.count(id))).collect()
    }

    /// Breaks what the plant asks for in what was seen.
    fn tamper(&self, evidence: &mut Evidence) {
        match self.plant {
            Some(Plant::RunTwice) => evidence.runs.values_mut().for_each(|runs| *runs *= 2),
            Some(Plant::DenyRun) => {
                let answered = |call: &&mut super::caller::Ended| {
                    matches!(call.end, End::Answered { .. }) && !call.resent
                };
                if let Some(call) = evidence.calls.iter_mut().find(answered) {
                    call.end = End::NotRun;
                }
            }
            Some(Plant::HardStop | Plant::StayDown) | None => {}
        }
    }

    async fn close(stage: Arc<Self>) {
        let Some(stage) = Arc::into_inner(stage) else {
            // A look is under way; the processes end with their handles.
            return;
        };
        for member in stage.members {
            member.into_inner().close().await;
        }
        stage.store.close();
    }

    /// Looks at all daemons again and again.
    fn look(self: &Arc<Self>) -> JoinHandle<()> {
        let stage = Arc::clone(self);
        tokio::spawn(async move {
            let http = HttpClient::new(LOOK_GAP * 4);
            loop {
                let looks = stage.apis.iter().enumerate().map(|(vm, api)| {
                    let http = http.clone();
                    let (stage, api) = (Arc::clone(&stage), *api);
                    async move { stage.look_at(&http, vm, api).await }
                });
                looks.collect::<JoinSet<()>>().join_all().await;
                tokio::time::sleep(LOOK_GAP).await;
            }
        })
    }

    async fn look_at(&self, http: &HttpClient, vm: usize, api: std::net::SocketAddr) {
        let at = self.now();
        // One that is down or suspended shows nothing.
        let Ok(status) = status(http, api).await else {
            return;
        };
        if status.serving {
            lock(&self.seen).looks.push(Look { vm, at, version: status.version });
        }
    }

    async fn disturb(&self, step: Step) {
        match step.disturbance {
            Disturbance::Kill(vm) => self.kill(vm, step.length).await,
            Disturbance::Stop(vm) => self.stop(vm, step.length).await,
            Disturbance::Pause(vm) => self.pause(vm, step.length).await,
            Disturbance::KillAll => self.kill_all().await,
            Disturbance::Link(vm, side, condition) => {
                self.link(vm, side, condition, step.length).await;
            }
            Disturbance::Store(faults) => {
                self.store.set_faults(faults);
                tokio::time::sleep(step.length).await;
                self.store.set_faults(Faults::default());
            }
            Disturbance::Reload(vm) => self.members[vm].lock().await.signal(Signal::HUP),
            Disturbance::Change(vm) => {
                // One that the disturbances hold up is no change.
                self.commit(vm).await;
            }
        }
    }

    fn gap(&self, vm: usize, absence: Absence, from: Duration) {
        let until = self.now();
        lock(&self.seen).gaps.push(Gap { vm, absence, from, until });
    }

    async fn kill(&self, vm: usize, down: Duration) {
        let mut member = self.members[vm].lock().await;
        let from = self.now();
        member.signal(Signal::KILL);
        member.wait().await;
        tokio::time::sleep(down).await;
        if self.plant != Some(Plant::StayDown) {
            self.start_again(&mut member, vm).await;
        }
        self.gap(vm, Absence::Process, from);
    }

    async fn stop(&self, vm: usize, down: Duration) {
        let mut member = self.members[vm].lock().await;
        let hard = self.plant == Some(Plant::HardStop);
        let in_order = member.stop(if hard { Signal::KILL } else { Signal::TERM }).await;
        let ended = self.now();
        if !in_order {
            lock(&self.seen).bad_stops.push(vm);
        }
        tokio::time::sleep(down).await;
        self.start_again(&mut member, vm).await;
        self.gap(vm, Absence::Stopped, ended);
    }

    /// Starts a daemon and waits until it serves.
    async fn start_again(&self, member: &mut Member, vm: usize) {
        if let Err(error) = member.spawn() {
            eprintln!("soak: {} does not start: {error}", member.site.vm);
            return;
        }
        let http = HttpClient::new(LOOK_GAP * 4);
        let deadline = self.now() + RECOVERY_LIMIT;
        while self.now() < deadline {
            if status(&http, self.apis[vm]).await.is_ok_and(|status| status.serving) {
                return;
            }
            tokio::time::sleep(LOOK_GAP / 2).await;
        }
    }

    async fn pause(&self, vm: usize, length: Duration) {
        let member = self.members[vm].lock().await;
        let from = self.now();
        member.signal(Signal::STOP);
        tokio::time::sleep(length).await;
        member.signal(Signal::CONT);
        self.gap(vm, Absence::Process, from);
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
                eprintln!("soak: {} does not start: {error}", member.site.vm);
            }
        }
        // Others disturb them while they come up.
        drop(members);
        self.all_serve(RECOVERY_LIMIT).await;
        for vm in 0..self.members.len() {
            self.gap(vm, Absence::Process, from);
        }
    }

    async fn link(&self, vm: usize, side: Side, condition: Condition, length: Duration) {
        let from = self.now();
        self.members[vm].lock().await.set(side, condition);
        tokio::time::sleep(length).await;
        self.members[vm].lock().await.set(side, Condition::Clear);
        if side == Side::Callers {
            self.gap(vm, Absence::Callers, from);
        }
    }

    /// Commits a change with the operators' tool; returns its version.
    async fn commit(&self, vm: usize) -> Option<Version> {
        let mut number = self.commits.lock().await;
        *number += 1;
        let path = self.folder.path().join("change.toml");
        let text = document(*number);
        std::fs::write(&path, text).ok()?;
        let api = self.apis[vm].to_string();
        let mut command = Command::new(program("medlarpoint").ok()?);
        command.args(["--api", &api, "apply", "--author", "soak", "-f"]).arg(&path);
        command.stdout(std::process::Stdio::null()).stderr(std::process::Stdio::null());
        command.kill_on_drop(true);
        let done = tokio::time::timeout(COMMIT_LIMIT, command.status()).await;
        if !done.ok()?.ok()?.success() {
            return None;
        }
        let at = self.now();
        let status = status(&HttpClient::new(COMMIT_LIMIT), self.apis[vm]).await.ok()?;
        let version = status.version;
        lock(&self.seen).changes.push(Change { at, version });
        Some(version)
    }

    /// Waits until everything is served again, from here on undisturbed.
    async fn recover(&self) -> Option<Duration> {
        let from = self.now();
        let served = self.all_serve(RECOVERY_LIMIT).await?;
        let answered = self.all_answer(RECOVERY_LIMIT.saturating_sub(served)).await;
        answered.map(|_| self.now().saturating_sub(from))
    }

    /// Waits until all daemons serve with one version.
    async fn all_serve(&self, limit: Duration) -> Option<Duration> {
        let http = HttpClient::new(LOOK_GAP * 4);
        self.until(limit, || async {
            let mut versions = Vec::new();
            for api in &self.apis {
                let status = status(&http, *api).await.ok().filter(|status| status.serving)?;
                versions.push(status.version);
            }
            versions.windows(2).all(|pair| pair[0] == pair[1]).then_some(())
        })
        .await
    }

    /// Waits until each daemon gets good answers from each service.
    async fn all_answer(&self, limit: Duration) -> Option<Duration> {
        let http = HttpClient::new(Duration::from_secs(2));
        let count = std::sync::atomic::AtomicU64::new(0);
        self.until(limit, || async {
            for vm in 0..self.apis.len() {
                for kind in [Kind::Lookup, Kind::Keyed, Kind::Pack] {
                    let number = count.fetch_add(1, Ordering::Relaxed);
                    let id = format!("probe-{}-{number}", self.now().as_millis());
                    let ended = self.desk.one(&http, vm, kind, id).await;
                    if ended.end != (End::Answered { own: true }) || ended.resent {
                        return None;
                    }
                }
            }
            Some(())
        })
        .await
    }

    async fn until<F, G>(&self, limit: Duration, test: F) -> Option<Duration>
    where
        F: Fn() -> G,
        G: Future<Output = Option<()>>,
    {
        let from = self.now();
        loop {
            let held = test().await.is_some();
            let took = self.now().saturating_sub(from);
            if held {
                return Some(took);
            }
            if took > limit {
                return None;
            }
            tokio::time::sleep(LOOK_GAP).await;
        }
    }
}

/// Returns the configuration with the mark of change `number`.
fn document(number: u32) -> String {
    let mark = format!(
        "\n[[route]]\nname = \"mark\"\nservice = \"archive\"\nrepeatable = true\n\
         match = {{ host = \"mark-{number}.talskrivarna\" }}\n"
    );
    format!("{}{mark}", Preset::Talskrivarna.document())
}

async fn status(http: &HttpClient, api: std::net::SocketAddr) -> Result<Status, Failure> {
    Ok(serde_json::from_slice(&http.get(api, "/v1/status").await?)?)
}
