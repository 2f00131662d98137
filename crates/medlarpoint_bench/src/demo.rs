//! The main job, shown within a minute: declare, distribute, serve, see.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use medlarpoint_cli::Exit;
use medlarpoint_model::Version;
use medlarpoint_standin::{Load, Phase, Report};
use tokio::task::JoinHandle;

use crate::{Failure, Fleet, Preset, Site};

/// Longest time for a change to be in force everywhere.
const CONVERGENCE_LIMIT: Duration = Duration::from_secs(9);
/// Time after which a draining target gets nothing new.
const DRAIN_LIMIT: Duration = Duration::from_secs(3);
/// Length of the load.
const LOAD_TIME: Duration = Duration::from_secs(28);
/// Requests per second of each deployment.
const RATE: f64 = 150.0;
/// A document with a route to a service that does not exist.
const BAD_DOCUMENT: &str = "[[route]]\nname = \"lost\"\nservice = \"nowhere\"\n";
/// The data centre that is cut off.
const CUT: &str = "gothenburg-2";

/// A promise with what was seen of it.
#[derive(Clone, Debug)]
pub struct Promise {
    /// What was promised.
    pub text: &'static str,
    /// Whether it held.
    pub held: bool,
    /// What was seen.
    pub seen: String,
}

struct Demo {
    fleet: Fleet,
    promises: Vec<Promise>,
    start: Instant,
}

/// Runs the demo and returns its promises.
pub async fn run() -> Result<Vec<Promise>, Failure> {
    let mut demo =
        Demo { fleet: Fleet::start(1).await?, promises: Vec::new(), start: Instant::now() };
    demo.say("store up; starting daemons and targets of both deployments");
    demo.populate().await?;
    demo.declare().await?;
    let falls = demo.watch_versions();
    let loads = demo.start_loads();
    demo.refuse_bad_version().await?;
    demo.change_quickly().await?;
    demo.drain_one().await?;
    demo.cut_off().await?;
    demo.restart_one().await?;
    demo.settle(loads).await?;
    let fell = falls.stop().await;
    demo.promise("no daemon moved back to an older version", !fell, format!("fell: {fell}"));
    let promises = demo.promises;
    demo.fleet.close().await;
    Ok(promises)
}

/// Prints the promises; tells whether all held.
pub fn summarize(promises: &[Promise]) -> bool {
    println!("\npromises:");
    for promise in promises {
        let mark = if promise.held { "held  " } else { "BROKEN" };
        println!("  {mark}  {} ({})", promise.text, promise.seen);
    }
    let held = promises.iter().filter(|promise| promise.held).count();
    println!("{held} of {} promises held", promises.len());
    held == promises.len()
}

/// Watches that no version falls.
struct Falls {
    stop: Arc<AtomicBool>,
    task: JoinHandle<bool>,
}

impl Falls {
    async fn stop(self) -> bool {
        self.stop.store(true, Ordering::Release);
        self.task.await.unwrap_or(true)
    }
}

impl Demo {
    fn say(&self, text: &str) {
        println!("{:5.1} s  {text}", self.start.elapsed().as_secs_f64());
    }

    fn promise(&mut self, text: &'static str, held: bool, seen: String) {
        self.promises.push(Promise { text, held, seen });
    }

    /// Spreads the targets of both deployments over four data centres.
    async fn populate(&mut self) -> Result<(), Failure> {
        let places = Preset::Talskrivarna.places();
        let places: Vec<(&str, &str)> =
            places.iter().flat_map(|(region, dcs)| dcs.iter().map(|dc| (*region, *dc))).collect();
        let services = [Preset::Talskrivarna, Preset::Association].map(Preset::services);
        for service in services.iter().flatten() {
            for number in 0..service.targets {
                let (region, data_centre) = places[number % places.len()];
                let site = Site {
                    vm: format!("{}-{}", service.name, number + 1),
                    data_centre: data_centre.to_owned(),
                    region: region.to_owned(),
                };
                self.fleet.add(site, Some(*service)).await?;
            }
        }
        let took = self.fleet.wait_ready().await?;
        let count = self.fleet.members.len();
        self.fleet.wait_members(count as u32).await?;
        self.say(&format!("{count} daemons serve, {} ms after the last start", took.as_millis()));
        Ok(())
    }

    async fn declare(&mut self) -> Result<(), Failure> {
        for preset in [Preset::Talskrivarna, Preset::Association] {
            let started = Instant::now();
            let (exit, version) = self.fleet.apply(0, preset.document()).await?;
            if exit != Exit::Success {
                return Err(Failure::Command("apply"));
            }
            self.fleet.wait_version(version).await?;
            let took = started.elapsed();
            self.say(&format!(
                "{preset}: {version} in force everywhere in {} ms",
                took.as_millis()
            ));
            let held = took <= CONVERGENCE_LIMIT;
            let seen = format!("{} ms", took.as_millis());
            self.promise("an accepted configuration is in force everywhere within 9 s", held, seen);
        }
        Ok(())
    }

    fn watch_versions(&self) -> Falls {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = Arc::clone(&stop);
        let apis: Vec<_> = self
            .fleet
            .members
            .iter()
            .filter_map(|member| Some(member.daemon.as_ref()?.addresses().api))
            .collect();
        let task = tokio::spawn(async move {
            let http = medlarpoint_standin::HttpClient::new(Duration::from_secs(2));
            let mut highest = vec![Version::ZERO; apis.len()];
            let mut fell = false;
            while !stopped.load(Ordering::Acquire) {
                for (api, highest) in apis.iter().zip(&mut highest) {
                    // A daemon that is down has no version.
                    let Ok(bytes) = http.get(*api, "/v1/status").await else {
                        continue;
                    };
                    let status: Result<medlarpoint_api::Status, _> = serde_json::from_slice(&bytes);
                    if let Ok(status) = status {
                        fell |= status.version < *highest;
                        *highest = status.version.max(*highest);
                    }
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            fell
        });
        Falls { stop, task }
    }

    fn start_loads(&self) -> Vec<JoinHandle<Report>> {
        let load = |preset: Preset| Load {
            addresses: self.fleet.calls_in("stockholm-1"),
            templates: preset.kinds(),
            phases: vec![Phase { duration: LOAD_TIME, rate: RATE }],
            timeout: Duration::from_secs(12),
            max_resends: 2,
            seed: 7,
            label: preset.to_string(),
        };
        let presets = [Preset::Talskrivarna, Preset::Association];
        presets.into_iter().map(|preset| tokio::spawn(load(preset).run())).collect()
    }

    async fn refuse_bad_version(&mut self) -> Result<(), Failure> {
        let before = self.fleet.members[1].daemon()?.version();
        let (exit, version) = self.fleet.apply(1, BAD_DOCUMENT).await?;
        self.say(&format!("a route to a missing service was refused ({exit:?}), still {version}"));
        let held = exit == Exit::Invalid && version == before;
        self.promise("a bad version is refused whole", held, format!("{exit:?}"));
        Ok(())
    }

    async fn change_quickly(&mut self) -> Result<(), Failure> {
        let mut worst = Duration::ZERO;
        for deadline in 0..5 {
            let document = format!(
                "[[route]]\nname = \"archive-old\"\nservice = \"archive\"\nrepeatable = true\n\
                 deadline_ms = {}\nmatch = {{ host = \"old.talskrivarna\" }}\n",
                1_000 + deadline,
            );
            let started = Instant::now();
            let (exit, version) = self.fleet.apply(deadline as usize + 2, &document).await?;
            if exit != Exit::Success {
                return Err(Failure::Command("apply"));
            }
            self.fleet.wait_version(version).await?;
            worst = worst.max(started.elapsed());
        }
        self.say(&format!("5 changes through 5 daemons, slowest {} ms", worst.as_millis()));
        let held = worst <= CONVERGENCE_LIMIT;
        self.promise("changes spread within 9 s", held, format!("{} ms", worst.as_millis()));
        Ok(())
    }

    async fn drain_one(&mut self) -> Result<(), Failure> {
        let index = self.index_of("archive-1")?;
        self.fleet.operate(index, &["drain"]).await?;
        tokio::time::sleep(DRAIN_LIMIT).await;
        let served = |fleet: &Fleet| {
            fleet.members[index]
                .target
                .as_ref()
                .map_or(0, medlarpoint_standin::TargetServer::requests_started)
        };
        let before = served(&self.fleet);
        tokio::time::sleep(Duration::from_secs(1)).await;
        let late = served(&self.fleet) - before;
        self.fleet.operate(index, &["drain", "--resume"]).await?;
        self.say(&format!("archive-1 drained: {late} calls after {} s", DRAIN_LIMIT.as_secs()));
        let text = "a draining target gets no new work after a few seconds";
        self.promise(text, late == 0, format!("{late} calls"));
        Ok(())
    }

    async fn cut_off(&mut self) -> Result<(), Failure> {
        self.fleet.cut(CUT, true)?;
        self.say(&format!("{CUT} is cut off from the others and from the store"));
        let load = Load {
            addresses: self.fleet.calls_in(CUT),
            templates: vec![Preset::Association.kinds().swap_remove(0)],
            phases: vec![Phase { duration: Duration::from_secs(4), rate: 50.0 }],
            timeout: Duration::from_secs(5),
            max_resends: 2,
            seed: 3,
            label: "cut".to_owned(),
        };
        let load = tokio::spawn(load.run());
        let document = "[[route]]\nname = \"while-cut\"\nservice = \"archive\"\n\
                        match = { host = \"cut.talskrivarna\" }\n";
        let (exit, version) = self.fleet.apply(0, document).await?;
        tokio::time::sleep(Duration::from_secs(1)).await;
        let behind = self.members_behind(version);
        let cut = self.fleet.members.iter().filter(|m| m.site.data_centre == CUT).count();
        self.say(&format!(
            "{version} committed meanwhile ({exit:?}); {behind} daemons are without it"
        ));
        let text = "the others go on while one data centre is cut off";
        self.promise(text, exit == Exit::Success && behind == cut, format!("{behind} behind"));
        let tally = load.await.unwrap_or_else(|_| Report::default()).tally("availability");
        let (good, total) = (tally.success_latency.len(), tally.total());
        self.say(&format!("callers inside {CUT}: {good} of {total} served"));
        let text = "a data centre that is cut off serves what it can";
        self.promise(text, total > 0 && good * 100 >= total * 95, format!("{good} of {total}"));
        self.fleet.cut(CUT, false)?;
        let took = self.fleet.wait_version(version).await?;
        self.say(&format!("{CUT} joined again and caught up in {} ms", took.as_millis()));
        let held = took <= CONVERGENCE_LIMIT;
        let seen = format!("{} ms", took.as_millis());
        self.promise("a data centre that joins again catches up within 9 s", held, seen);
        Ok(())
    }

    fn members_behind(&self, version: Version) -> usize {
        let daemons = self.fleet.members.iter().filter_map(|member| member.daemon.as_ref());
        daemons.filter(|daemon| daemon.version() < version).count()
    }

    async fn restart_one(&mut self) -> Result<(), Failure> {
        let index = self.index_of("hire-desk-2")?;
        self.fleet.kill(index).await;
        self.say("the daemon of hire-desk-2 was killed");
        tokio::time::sleep(Duration::from_millis(500)).await;
        self.fleet.restart(index).await?;
        self.fleet.wait_ready().await?;
        let newest = self.fleet.members[0].daemon()?.version();
        let version = self.fleet.members[index].daemon()?.version();
        self.say(&format!("it is back and serves with {version}"));
        let text = "a new daemon serves only with the version of its peers";
        self.promise(text, version >= newest, format!("{version} of {newest}"));
        Ok(())
    }

    fn index_of(&self, vm: &str) -> Result<usize, Failure> {
        let index = self.fleet.members.iter().position(|member| member.site.vm == vm);
        index.ok_or_else(|| Failure::Down(vm.to_owned()))
    }

    async fn settle(&mut self, loads: Vec<JoinHandle<Report>>) -> Result<(), Failure> {
        let (mut total, mut good, mut refused, mut unknown) = (0, 0, 0, 0);
        let mut false_refusals = 0;
        for load in loads {
            let report = load.await.unwrap_or_default();
            for (name, tally) in &report.tallies {
                self.say(&format!(
                    "{name}: {} calls, {} good, p50 {:.1} ms, p99 {:.1} ms, {} not run, {} unknown, {} unanswered",
                    tally.total(),
                    tally.success_latency.len(),
                    tally.success_latency.value_at_quantile(0.5) as f64 / 1e3,
                    tally.success_latency.value_at_quantile(0.99) as f64 / 1e3,
                    tally.rejected_latency.len(),
                    tally.unknown,
                    tally.failed,
                ));
                total += tally.total();
                good += tally.success_latency.len();
                refused += tally.rejected_latency.len();
                unknown += tally.unknown + tally.failed;
                let ledger = &self.fleet.ledger;
                false_refusals +=
                    tally.not_run_ids.iter().filter(|id| ledger.count(id) > 0).count();
            }
        }
        let doubled = self.fleet.ledger.duplicates();
        self.fleet.operate(0, &["status"]).await?;
        self.fleet.operate(0, &["history", "--limit", "2"]).await?;
        let seen = format!("{good} of {total}, {refused} not run, {unknown} unknown");
        self.promise("callers are served", good * 100 >= total * 99, seen);
        let text = "a refusal that says \"not run\" is true";
        self.promise(text, false_refusals == 0, format!("{false_refusals} false"));
        let text = "no commission or booking ran twice";
        self.promise(text, doubled == 0, format!("{doubled} doubled"));
        Ok(())
    }
}
