//! Measures outcomes of calls while inbound proxies are killed, a data centre is
//! unreachable and open connections to it stop carrying data without being
//! closed, all at once.

use std::time::Duration;

use indexmap::IndexMap;
use medlarpoint_standin::{Faults, Load, Phase, Report as LoadReport};
use serde::Serialize;

use crate::experiment::CallFlags;
use crate::{Failure, Fleet, Site};

/// Calls per second.
const RATE: f64 = 150.0;
/// Interval between two kills.
const KILL_INTERVAL: Duration = Duration::from_secs(2);

/// Flags of the command `faults`.
#[derive(Clone, Debug, clap::Args)]
pub struct Flags {
    #[command(flatten)]
    setting: CallFlags,
}

/// Measurements of one phase.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Figures {
    /// Number of calls.
    pub calls: u64,
    /// Calls with a successful response, as a share of all calls.
    pub served_share: f64,
    /// Calls rejected as not run, as a share of all calls.
    pub not_run_share: f64,
    /// Calls that may have run, as a share of all calls. Calls with an idempotency
    /// key are resent up to twice before they count.
    pub unknown_share: f64,
}

/// Report of the experiment.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Number of keyed calls that ran more than once.
    pub double_runs: usize,
    /// Number of calls that were rejected as not run although they ran.
    pub false_not_run: usize,
    /// Calls with unknown outcome, as a share of all calls of all phases.
    pub unknown_share: f64,
    /// Measurements by name of the phase.
    pub phases: IndexMap<&'static str, Figures>,
}

fn measure(report: &LoadReport) -> Figures {
    let sum = |count: fn(&medlarpoint_standin::Tally) -> u64| -> u64 {
        report.tallies.values().map(count).sum()
    };
    let calls = sum(medlarpoint_standin::Tally::total);
    let share = |count: u64| count as f64 / calls.max(1) as f64;
    Figures {
        calls,
        served_share: share(sum(|tally| tally.success_latency.len())),
        not_run_share: share(sum(|tally| tally.rejected_latency.len())),
        unknown_share: share(sum(|tally| tally.unknown + tally.failed)),
    }
}

/// Starts a fleet with the targets of all services distributed over all data
/// centres and the configuration of the preset in force.
async fn start_fleet(flags: &Flags) -> Result<Fleet, Failure> {
    let setting = &flags.setting;
    let regions = setting.preset.regions();
    let mut fleet = Fleet::start(setting.seed).await?;
    let data_centres: Vec<(&str, &str)> =
        regions.iter().flat_map(|(region, dcs)| dcs.iter().map(|dc| (*region, *dc))).collect();
    for index in 0..3 {
        let service = setting.service(index);
        for number in 0..service.targets {
            let (region, data_centre) = data_centres[number % data_centres.len()];
            let site = Site {
                vm: format!("{}-{number}", service.name),
                data_centre: data_centre.to_owned(),
                region: region.to_owned(),
            };
            fleet.add(site, Some(service)).await?;
        }
    }
    fleet.wait_ready().await?;
    fleet.wait_members(fleet.members.len() as u32).await?;
    let (_, version) = fleet.apply(0, setting.preset.document()).await?;
    fleet.wait_version(version).await?;
    tokio::time::sleep(Duration::from_secs(1)).await;
    Ok(fleet)
}

/// Runs the experiment.
pub async fn run(flags: &Flags) -> Result<Report, Failure> {
    let setting = &flags.setting;
    let mut fleet = start_fleet(flags).await?;
    let load = |fleet: &Fleet, label: &str| Load {
        addresses: fleet.call_addresses_in(setting.preset.regions()[0].1[0]),
        templates: setting.preset.request_mix(),
        phases: vec![Phase { duration: setting.duration(), rate: RATE }],
        timeout: Duration::from_secs(12),
        max_resends: 2,
        seed: setting.seed,
        label: label.to_owned(),
    };
    let mut phases = IndexMap::new();
    phases.insert("calm", load(&fleet, "calm").run().await);
    let faulty = tokio::spawn(load(&fleet, "faulty").run());
    inject_faults(&mut fleet, setting).await?;
    phases.insert("faulty", faulty.await.unwrap_or_default());
    phases.insert("after", load(&fleet, "after").run().await);
    let tallies = || phases.values().flat_map(|report| report.tallies.values());
    let rejected = tallies().flat_map(|tally| &tally.not_run_ids);
    let false_not_run = rejected.filter(|id| fleet.execution_log.count(id) > 0).count();
    let unknown: u64 = tallies().map(|tally| tally.unknown + tally.failed).sum();
    let calls: u64 = tallies().map(medlarpoint_standin::Tally::total).sum();
    let report = Report {
        double_runs: fleet.execution_log.duplicates(),
        false_not_run,
        unknown_share: unknown as f64 / calls.max(1) as f64,
        phases: phases.iter().map(|(name, report)| (*name, measure(report))).collect(),
    };
    fleet.close().await;
    Ok(report)
}

/// Kills inbound proxies of the service for bookings one after the other, makes a
/// data centre unreachable, whose open connections stop carrying data without
/// being closed, and makes the store lose 20 % of its responses.
async fn inject_faults(fleet: &mut Fleet, setting: &CallFlags) -> Result<(), Failure> {
    let partitioned = setting.preset.regions()[1].1[0];
    fleet.store.set_faults(Faults { lose_answers_percent: 20, ..Faults::default() });
    fleet.set_partitioned(partitioned, true)?;
    let end = tokio::time::Instant::now() + setting.duration() * 3 / 4;
    let booking = setting.service(1).name;
    // Members in the data centre of the callers, such as the first one of the
    // service, are not killed: callers connect to them.
    let killed: Vec<usize> = (0..fleet.members.len())
        .filter(|index| fleet.members[*index].site.vm.starts_with(booking))
        .filter(|index| fleet.members[*index].site.data_centre != setting.preset.regions()[0].1[0])
        .collect();
    for index in killed.iter().cycle() {
        if tokio::time::Instant::now() >= end {
            break;
        }
        fleet.kill(*index).await;
        tokio::time::sleep(KILL_INTERVAL / 2).await;
        fleet.restart(*index).await?;
        tokio::time::sleep(KILL_INTERVAL / 2).await;
    }
    fleet.set_partitioned(partitioned, false)?;
    fleet.store.set_faults(Faults::default());
    Ok(())
}
