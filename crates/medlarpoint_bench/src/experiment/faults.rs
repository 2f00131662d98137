//! Bookings while inbound proxies die, connections go silent and a data centre
//! is cut off, all at once.

use std::time::Duration;

use indexmap::IndexMap;
use medlarpoint_standin::{Faults, Load, Phase, Report as Loaded};
use serde::Serialize;

use crate::experiment::Setting;
use crate::{Failure, Fleet, Site};

/// Calls per second.
const RATE: f64 = 150.0;
/// Time between two kills.
const KILL_GAP: Duration = Duration::from_secs(2);

/// Flags.
#[derive(Clone, Debug, clap::Args)]
pub struct Flags {
    #[command(flatten)]
    setting: Setting,
}

/// Figures of a phase.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Figures {
    /// Calls.
    pub calls: u64,
    /// Calls with a good answer.
    pub served_share: f64,
    /// Calls refused as not run.
    pub not_run_share: f64,
    /// Calls that may have run, after two resends of those with a key.
    pub unknown_share: f64,
}

/// Figures.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Bookings that ran more than once.
    pub double_runs: usize,
    /// Calls that were told "not run" and ran.
    pub false_not_run: usize,
    /// Share of calls with unknown outcome over all phases.
    pub unknown_share: f64,
    /// Figures by phase.
    pub phases: IndexMap<&'static str, Figures>,
}

fn phase(loaded: &Loaded) -> Figures {
    let sum = |count: fn(&medlarpoint_standin::Tally) -> u64| -> u64 {
        loaded.tallies.values().map(count).sum()
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

async fn populate(flags: &Flags) -> Result<Fleet, Failure> {
    let setting = &flags.setting;
    let places = setting.preset.places();
    let mut fleet = Fleet::start(setting.seed).await?;
    let places: Vec<(&str, &str)> =
        places.iter().flat_map(|(region, dcs)| dcs.iter().map(|dc| (*region, *dc))).collect();
    for index in 0..3 {
        let service = setting.service(index);
        for number in 0..service.targets {
            let (region, data_centre) = places[number % places.len()];
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
    let mut fleet = populate(flags).await?;
    let load = |fleet: &Fleet, label: &str| Load {
        addresses: fleet.calls_in(setting.preset.places()[0].1[0]),
        templates: setting.preset.kinds(),
        phases: vec![Phase { duration: setting.duration(), rate: RATE }],
        timeout: Duration::from_secs(12),
        max_resends: 2,
        seed: setting.seed,
        label: label.to_owned(),
    };
    let mut phases = IndexMap::new();
    phases.insert("calm", load(&fleet, "calm").run().await);
    let faulty = tokio::spawn(load(&fleet, "faulty").run());
    break_things(&mut fleet, setting).await?;
    phases.insert("faulty", faulty.await.unwrap_or_default());
    phases.insert("after", load(&fleet, "after").run().await);
    let tallies = || phases.values().flat_map(|loaded| loaded.tallies.values());
    let refused = tallies().flat_map(|tally| &tally.not_run_ids);
    let false_not_run = refused.filter(|id| fleet.ledger.count(id) > 0).count();
    let unknown: u64 = tallies().map(|tally| tally.unknown + tally.failed).sum();
    let calls: u64 = tallies().map(medlarpoint_standin::Tally::total).sum();
    let report = Report {
        double_runs: fleet.ledger.duplicates(),
        false_not_run,
        unknown_share: unknown as f64 / calls.max(1) as f64,
        phases: phases.iter().map(|(name, loaded)| (*name, phase(loaded))).collect(),
    };
    fleet.close().await;
    Ok(report)
}

/// Kills inbound proxies of the booking service one after the other, cuts a
/// data centre off (whose open connections go silent) and makes the store lose
/// answers, while the callers go on.
async fn break_things(fleet: &mut Fleet, setting: &Setting) -> Result<(), Failure> {
    let cut = setting.preset.places()[1].1[0];
    fleet.store.set_faults(Faults { lose_answers_percent: 20, ..Faults::default() });
    fleet.cut(cut, true)?;
    let end = tokio::time::Instant::now() + setting.duration() * 3 / 4;
    let booking = setting.service(1).name;
    // The first member of the service shares the callers' data centre.
    let victims: Vec<usize> = (0..fleet.members.len())
        .filter(|index| fleet.members[*index].site.vm.starts_with(booking))
        .filter(|index| fleet.members[*index].site.data_centre != setting.preset.places()[0].1[0])
        .collect();
    for index in victims.iter().cycle() {
        if tokio::time::Instant::now() >= end {
            break;
        }
        fleet.kill(*index).await;
        tokio::time::sleep(KILL_GAP / 2).await;
        fleet.restart(*index).await?;
        tokio::time::sleep(KILL_GAP / 2).await;
    }
    fleet.cut(cut, false)?;
    fleet.store.set_faults(Faults::default());
    Ok(())
}
