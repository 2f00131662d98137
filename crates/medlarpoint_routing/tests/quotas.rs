//! Quotas of a fleet under load and under failures, on a simulated clock.

mod quota_fleet;

use medlarpoint_model::Quota;
use quota_fleet::{Fleet, Network, Source};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const LAN: Network = Network { loss: 0.0, repeat: 0.0, max_delay_ms: 2 };
/// Number of sequences of failures that are played.
const SEEDS: u64 = 40;
const POOR: Network = Network { loss: 0.05, repeat: 0.1, max_delay_ms: 80 };

/// Returns a quota of a rate per second, with half a second of it as burst.
fn quota(per_s: u64) -> Quota {
    Quota { calls_per_1000_s: per_s * 1_000, burst: per_s / 2 }
}

/// Returns 87 workspaces of very different size: a few are large.
fn workspaces() -> Vec<Quota> {
    (1..=87).map(|n| quota((3_000 / (n * n)).max(2))).collect()
}

/// Returns sources that offer `factor` of the quota of a workspace at some daemons.
fn sources(workspace: usize, quota: Quota, daemons: &[usize], factor: f64) -> Vec<Source> {
    let per_s = quota.per_second() * factor / daemons.len() as f64;
    daemons.iter().map(|daemon| Source { daemon: *daemon, workspace, per_s }).collect()
}

/// Guards against a fixed share per daemon, and against a loud workspace that takes from the
/// others: 87 workspaces on 89 daemons, most with callers on two or three of them, and one at
/// seven times its rate from two.
#[test]
fn calls_within_quota_are_admitted_beside_one_at_seven_times_its_rate() {
    let quotas = workspaces();
    let mut fleet = Fleet::new(89, &quotas, LAN, 1);
    let mut rng = StdRng::seed_from_u64(2);
    let loud = 4;
    let mut all = Vec::new();
    for (workspace, quota) in quotas.iter().enumerate() {
        let count = if workspace < 3 { 89 } else { rng.random_range(2..=3) };
        let daemons: Vec<usize> = match count {
            89 => (0..89).collect(),
            count => (0..count).map(|_| rng.random_range(0..89)).collect(),
        };
        let (daemons, factor) =
            if workspace == loud { (vec![11, 57], 7.0) } else { (daemons, 0.7) };
        all.extend(sources(workspace, *quota, &daemons, factor));
    }
    fleet.run_for(3_000);
    fleet.set_sources(&all);
    fleet.run_for(20_000);
    fleet.check().unwrap();
    let (mut admitted, mut ideal) = (0.0, 0.0);
    for (workspace, calls) in fleet.calls.iter().enumerate() {
        let share = calls.runs.len() as f64 / calls.ideal.max(1) as f64;
        assert!(share >= 0.95 || calls.ideal < 100, "workspace {workspace}: {share}");
        assert!(share >= 0.8, "workspace {workspace}: {share} of {}", calls.ideal);
        admitted += (calls.runs.len() as f64).min(calls.ideal as f64);
        ideal += calls.ideal as f64;
    }
    let share = admitted / ideal;
    println!("{share:.4} of what is within quota admitted, {} datagrams", fleet.datagrams);
    assert!(share >= 0.95);
}

/// Plays a random sequence of failures and checks the bound over every window.
fn disturb(seed: u64) -> Fleet {
    const SIZE: usize = 10;
    let mut rng = StdRng::seed_from_u64(seed);
    let quotas = vec![
        quota(200),
        Quota { calls_per_1000_s: 150_000, burst: 0 },
        Quota { calls_per_1000_s: 20_000, burst: 300 },
        Quota { calls_per_1000_s: 500, burst: 1 },
    ];
    let network = if rng.random_bool(0.5) { LAN } else { POOR };
    let mut fleet = Fleet::new(SIZE, &quotas, network, seed);
    fleet.refund_rate = if rng.random_bool(0.5) { 0.2 } else { 0.0 };
    let load = |factor: f64| -> Vec<Source> {
        let everywhere: Vec<usize> = (0..SIZE).collect();
        let of =
            |(workspace, quota): (usize, &Quota)| sources(workspace, *quota, &everywhere, factor);
        quotas.iter().enumerate().flat_map(of).collect()
    };
    fleet.run_for(rng.random_range(1_000..8_000));
    fleet.set_sources(&load(4.0));
    for _ in 0..12 {
        let daemon = rng.random_range(0..SIZE);
        match rng.random_range(0..9) {
            0 if fleet.is_up(daemon) => fleet.kill(daemon),
            1 => {
                if let Some(holder) = fleet.holder_of(daemon).filter(|holder| fleet.is_up(*holder))
                {
                    fleet.kill(holder);
                }
            }
            2 if fleet.is_up(daemon) => fleet.leave(daemon),
            3 | 4 if !fleet.is_up(daemon) => fleet.start(daemon),
            5 => {
                let others = rng.random_range(1..SIZE / 2);
                fleet.set_sides((0..SIZE).map(|n| usize::from(n < others)).collect());
            }
            6 => fleet.set_sides(vec![0; SIZE]),
            7 => {
                let workspace = rng.random_range(0..quotas.len());
                let divisor = rng.random_range(1..5);
                let whole = quotas[workspace];
                let calls_per_1000_s = whole.calls_per_1000_s / divisor;
                fleet.set_quota(workspace, Quota { calls_per_1000_s, ..whole });
            }
            _ => fleet.set_sources(&load(rng.random_range(0.2..8.0))),
        }
        fleet.run_for(rng.random_range(200..7_000));
    }
    fleet
}

/// Guards against calls beyond the bound during and after random failures.
#[test]
fn the_bound_holds_through_random_failures() {
    for seed in 0..SEEDS {
        let fleet = disturb(seed);
        fleet.check().unwrap_or_else(|error| panic!("seed {seed}: {error}"));
    }
}
