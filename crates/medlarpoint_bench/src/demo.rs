//! Demonstrates within a minute how two deployments are configured, served,
//! disturbed and inspected, and checks the guarantees of the product.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use medlarpoint_cli::Exit;
use medlarpoint_model::Version;
use medlarpoint_standin::{Load, Phase, Report};
use tokio::task::JoinHandle;

use crate::{Failure, Fleet, Preset, Site};

/// Time limit for a change to be in force on every daemon.
const CONVERGENCE_LIMIT: Duration = Duration::from_secs(9);
/// Time limit for a draining target to stop getting new calls.
const DRAIN_LIMIT: Duration = Duration::from_secs(3);
/// Length of the load of each deployment.
const LOAD_TIME: Duration = Duration::from_secs(28);
/// Requests per second of each deployment.
const RATE: f64 = 150.0;
/// Invalid document: its route leads to a service that does not exist.
const INVALID_DOCUMENT: &str = "[[route]]\nname = \"lost\"\nservice = \"nowhere\"\n";
/// Data centre that becomes unreachable for a while.
const PARTITIONED: &str = "gothenburg-2";

/// A guarantee of the product and the result of checking it.
#[derive(Clone, Debug)]
pub struct Guarantee {
    /// Behaviour that is guaranteed.
    pub description: &'static str,
    /// Whether the guarantee held.
    pub holds: bool,
    /// Observation from which `holds` follows.
    pub observed: String,
}

struct Demo {
    fleet: Fleet,
    guarantees: Vec<Guarantee>,
    start: Instant,
}

/// Runs the demo and returns the guarantees that were checked.
pub async fn run() -> Result<Vec<Guarantee>, Failure> {
    let mut demo =
        Demo { fleet: Fleet::start(1).await?, guarantees: Vec::new(), start: Instant::now() };
    demo.print("store is running; starting daemons and targets of both deployments");
    demo.start_members().await?;
    demo.apply_presets().await?;
    let version_watch = demo.watch_versions();
    let loads = demo.start_loads();
    demo.reject_invalid_document().await?;
    demo.apply_rapid_changes().await?;
    demo.drain_target().await?;
    demo.partition_data_centre().await?;
    demo.restart_daemon().await?;
    demo.check_loads(loads).await?;
    let decreased = version_watch.stop().await;
    demo.record(
        "no daemon moved back to an older version",
        !decreased,
        format!("went back: {decreased}"),
    );
    let guarantees = demo.guarantees;
    demo.fleet.close().await;
    Ok(guarantees)
}

/// Prints the guarantees and returns whether all held.
pub fn summarize(guarantees: &[Guarantee]) -> bool {
    println!("\npromises:");
    for guarantee in guarantees {
        let mark = if guarantee.holds { "held  " } else { "BROKEN" };
        println!("  {mark}  {} ({})", guarantee.description, guarantee.observed);
    }
    let held = guarantees.iter().filter(|guarantee| guarantee.holds).count();
    println!("{held} of {} promises held", guarantees.len());
    held == guarantees.len()
}

/// Background task that checks that no daemon moves back to an older version.
struct VersionWatch {
    stop: Arc<AtomicBool>,
    task: JoinHandle<bool>,
}

impl VersionWatch {
    /// Ends the task and returns whether a version decreased.
    async fn stop(self) -> bool {
        self.stop.store(true, Ordering::Release);
        self.task.await.unwrap_or(true)
    }
}

impl Demo {
    /// Prints a line of progress with the time since the start.
    fn print(&self, text: &str) {
        println!("{:5.1} s  {text}", self.start.elapsed().as_secs_f64());
    }

    /// Records whether a guarantee held.
    fn record(&mut self, description: &'static str, holds: bool, observed: String) {
        self.guarantees.push(Guarantee { description, holds, observed });
    }

    /// Starts the targets of both deployments, distributed over four data centres.
    async fn start_members(&mut self) -> Result<(), Failure> {
        let regions = Preset::Talskrivarna.regions();
        let data_centres: Vec<(&str, &str)> =
            regions.iter().flat_map(|(region, dcs)| dcs.iter().map(|dc| (*region, *dc))).collect();
        let services = [Preset::Talskrivarna, Preset::Association].map(Preset::services);
        for service in services.iter().flatten() {
            for number in 0..service.targets {
                let (region, data_centre) = data_centres[number % data_centres.len()];
                let site = Site {
                    vm: format!("{}-{}", service.name, number + 1),
                    data_centre: data_centre.to_owned(),
                    region: region.to_owned(),
                };
                self.fleet.add(site, Some(*service)).await?;
            }
        }
        let elapsed = self.fleet.wait_ready().await?;
        let count = self.fleet.members.len();
        self.fleet.wait_members(count as u32).await?;
        self.print(&format!(
            "{count} daemons serve, {} ms after the last start",
            elapsed.as_millis()
        ));
        Ok(())
    }

    async fn apply_presets(&mut self) -> Result<(), Failure> {
        for preset in [Preset::Talskrivarna, Preset::Association] {
            let started = Instant::now();
            let (exit, version) = self.fleet.apply(0, preset.document()).await?;
            if exit != Exit::Success {
                return Err(Failure::Command("apply"));
            }
            self.fleet.wait_version(version).await?;
            let elapsed = started.elapsed();
            self.print(&format!(
                "{preset}: {version} in force everywhere in {} ms",
                elapsed.as_millis()
            ));
            let holds = elapsed <= CONVERGENCE_LIMIT;
            let observed = format!("{} ms", elapsed.as_millis());
            self.record(
                "an accepted configuration is in force everywhere within 9 s",
                holds,
                observed,
            );
        }
        Ok(())
    }

    fn watch_versions(&self) -> VersionWatch {
        let stop = Arc::new(AtomicBool::new(false));
        let stop_requested = Arc::clone(&stop);
        let apis: Vec<_> = self
            .fleet
            .members
            .iter()
            .filter_map(|member| Some(member.daemon.as_ref()?.addresses().api))
            .collect();
        let task = tokio::spawn(async move {
            let http = medlarpoint_standin::HttpClient::new(Duration::from_secs(2));
            let mut highest = vec![Version::ZERO; apis.len()];
            let mut decreased = false;
            while !stop_requested.load(Ordering::Acquire) {
                for (api, highest) in apis.iter().zip(&mut highest) {
                    // A killed daemon does not respond and is skipped.
                    let Ok(bytes) = http.get(*api, "/v1/status").await else {
                        continue;
                    };
                    let status: Result<medlarpoint_api::Status, _> = serde_json::from_slice(&bytes);
                    if let Ok(status) = status {
                        decreased |= status.version < *highest;
                        *highest = status.version.max(*highest);
                    }
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            decreased
        });
        VersionWatch { stop, task }
    }

    fn start_loads(&self) -> Vec<JoinHandle<Report>> {
        let load = |preset: Preset| Load {
            addresses: self.fleet.call_addresses_in("stockholm-1"),
            templates: preset.request_mix(),
            phases: vec![Phase { duration: LOAD_TIME, rate: RATE }],
            timeout: Duration::from_secs(12),
            max_resends: 2,
            seed: 7,
            label: preset.to_string(),
        };
        let presets = [Preset::Talskrivarna, Preset::Association];
        presets.into_iter().map(|preset| tokio::spawn(load(preset).run())).collect()
    }

    async fn reject_invalid_document(&mut self) -> Result<(), Failure> {
        let before = self.fleet.members[1].daemon()?.version();
        let (exit, version) = self.fleet.apply(1, INVALID_DOCUMENT).await?;
        self.print(&format!(
            "a route to a missing service was rejected ({exit:?}); {version} stays in force"
        ));
        let holds = exit == Exit::Invalid && version == before;
        self.record("an invalid configuration is rejected completely", holds, format!("{exit:?}"));
        Ok(())
    }

    async fn apply_rapid_changes(&mut self) -> Result<(), Failure> {
        let mut slowest = Duration::ZERO;
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
            slowest = slowest.max(started.elapsed());
        }
        self.print(&format!(
            "5 changes through 5 daemons; the slowest took {} ms",
            slowest.as_millis()
        ));
        let holds = slowest <= CONVERGENCE_LIMIT;
        self.record(
            "changes are in force everywhere within 9 s",
            holds,
            format!("{} ms", slowest.as_millis()),
        );
        Ok(())
    }

    async fn drain_target(&mut self) -> Result<(), Failure> {
        let index = self.index_of("archive-1")?;
        self.fleet.run_command(index, &["drain"]).await?;
        tokio::time::sleep(DRAIN_LIMIT).await;
        let served = |fleet: &Fleet| {
            fleet.members[index]
                .target
                .as_ref()
                .map_or(0, medlarpoint_standin::TargetServer::requests_started)
        };
        let before = served(&self.fleet);
        tokio::time::sleep(Duration::from_secs(1)).await;
        let late_calls = served(&self.fleet) - before;
        self.fleet.run_command(index, &["drain", "--resume"]).await?;
        self.print(&format!(
            "archive-1 is draining: {late_calls} new calls after {} s",
            DRAIN_LIMIT.as_secs()
        ));
        let description = "a draining target gets no new calls after 3 s";
        self.record(description, late_calls == 0, format!("{late_calls} calls"));
        Ok(())
    }

    async fn partition_data_centre(&mut self) -> Result<(), Failure> {
        self.fleet.set_partitioned(PARTITIONED, true)?;
        self.print(&format!(
            "{PARTITIONED} is unreachable from the other data centres and cannot reach the store"
        ));
        let load = Load {
            addresses: self.fleet.call_addresses_in(PARTITIONED),
            templates: vec![Preset::Association.request_mix().swap_remove(0)],
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
        let partitioned_members =
            self.fleet.members.iter().filter(|m| m.site.data_centre == PARTITIONED).count();
        self.print(&format!(
            "{version} was committed meanwhile ({exit:?}); {behind} daemons do not have it"
        ));
        let description = "the other data centres keep working while one is unreachable";
        self.record(
            description,
            exit == Exit::Success && behind == partitioned_members,
            format!("{behind} behind"),
        );
        let tally = load.await.unwrap_or_else(|_| Report::default()).tally("availability");
        let (successful, total) = (tally.success_latency.len(), tally.total());
        self.print(&format!("callers in {PARTITIONED}: {successful} of {total} calls served"));
        let description = "callers in an unreachable data centre are served by its own targets";
        self.record(
            description,
            total > 0 && successful * 100 >= total * 95,
            format!("{successful} of {total}"),
        );
        self.fleet.set_partitioned(PARTITIONED, false)?;
        let elapsed = self.fleet.wait_version(version).await?;
        self.print(&format!(
            "{PARTITIONED} is reachable again and caught up in {} ms",
            elapsed.as_millis()
        ));
        let holds = elapsed <= CONVERGENCE_LIMIT;
        let observed = format!("{} ms", elapsed.as_millis());
        self.record("a data centre that is reachable again catches up within 9 s", holds, observed);
        Ok(())
    }

    fn members_behind(&self, version: Version) -> usize {
        let daemons = self.fleet.members.iter().filter_map(|member| member.daemon.as_ref());
        daemons.filter(|daemon| daemon.version() < version).count()
    }

    async fn restart_daemon(&mut self) -> Result<(), Failure> {
        let index = self.index_of("hire-desk-2")?;
        self.fleet.kill(index).await;
        self.print("the daemon of hire-desk-2 was killed");
        tokio::time::sleep(Duration::from_millis(500)).await;
        self.fleet.restart(index).await?;
        self.fleet.wait_ready().await?;
        let newest = self.fleet.members[0].daemon()?.version();
        let version = self.fleet.members[index].daemon()?.version();
        self.print(&format!("the daemon of hire-desk-2 was restarted and serves with {version}"));
        let description = "a new daemon serves only once it has the version of its peers";
        self.record(description, version >= newest, format!("{version} of {newest}"));
        Ok(())
    }

    fn index_of(&self, vm: &str) -> Result<usize, Failure> {
        let index = self.fleet.members.iter().position(|member| member.site.vm == vm);
        index.ok_or_else(|| Failure::Down(vm.to_owned()))
    }

    /// Waits for the loads and checks the outcomes of their calls.
    async fn check_loads(&mut self, loads: Vec<JoinHandle<Report>>) -> Result<(), Failure> {
        let (mut total, mut successful, mut rejected, mut unknown) = (0, 0, 0, 0);
        let mut false_rejections = 0;
        for load in loads {
            let report = load.await.unwrap_or_default();
            for (name, tally) in &report.tallies {
                self.print(&format!(
                    "{name}: {} calls, {} successful, p50 {:.1} ms, p99 {:.1} ms, {} not run, {} unknown, {} without response",
                    tally.total(),
                    tally.success_latency.len(),
                    tally.success_latency.value_at_quantile(0.5) as f64 / 1e3,
                    tally.success_latency.value_at_quantile(0.99) as f64 / 1e3,
                    tally.rejected_latency.len(),
                    tally.unknown,
                    tally.failed,
                ));
                total += tally.total();
                successful += tally.success_latency.len();
                rejected += tally.rejected_latency.len();
                unknown += tally.unknown + tally.failed;
                let execution_log = &self.fleet.execution_log;
                false_rejections +=
                    tally.not_run_ids.iter().filter(|id| execution_log.count(id) > 0).count();
            }
        }
        let duplicates = self.fleet.execution_log.duplicates();
        self.fleet.run_command(0, &["status"]).await?;
        self.fleet.run_command(0, &["history", "--limit", "2"]).await?;
        let observed = format!("{successful} of {total}, {rejected} not run, {unknown} unknown");
        self.record("callers are served", successful * 100 >= total * 99, observed);
        let description = "a call rejected as \"not run\" was not run";
        self.record(description, false_rejections == 0, format!("{false_rejections} false"));
        let description = "no commission or booking ran twice";
        self.record(description, duplicates == 0, format!("{duplicates} ran twice"));
        Ok(())
    }
}
