//! Measures the time that the admission of a call by the quota of its workspace takes.

use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use medlarpoint_model::{Name, Quota, Vm};
use medlarpoint_routing::quota::{ASK_INTERVAL, Admission, Allocator, Purse, Reach, Request};
use serde::Serialize;

use crate::Failure;

/// Number of calls between two readings of the clock, whose cost would distort the result.
const BATCH: u64 = 100;
/// Upper limit of the histogram: one second, in nanoseconds.
const MAX_NANOS: u64 = 1_000_000_000;

/// Flags of the command `quota`.
#[derive(Clone, Debug, clap::Args)]
pub struct Flags {
    /// Number of workspaces with a quota.
    #[arg(long, default_value_t = 87)]
    workspaces: usize,
    /// Calls per second of all workspaces together, on the simulated clock.
    #[arg(long, default_value_t = 5_000)]
    rate: u64,
    /// Simulated time.
    #[arg(long, default_value_t = 60)]
    seconds: u64,
}

/// Report of the experiment.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Number of calls that got a token at once.
    pub granted: u64,
    /// Number of other calls.
    pub not_granted: u64,
    /// Mean time of an admission.
    pub mean_ns: f64,
    /// Median of the mean times of 100 admissions.
    pub p50_ns: u64,
    /// 99th percentile of the mean times of 100 admissions.
    pub p99_ns: u64,
}

/// Asks for tokens as a daemon does that is its own allocator.
fn ask(purse: &Mutex<Purse>, allocator: &mut Allocator, vm: &Vm, now: Duration) {
    let mut purse = purse.lock().unwrap_or_else(PoisonError::into_inner);
    let requests = purse.requests(now, 1, |_| Some(vm));
    let requests: Vec<Request> = requests.into_iter().map(|(_, request)| request).collect();
    for request in requests {
        if let Some(grant) = allocator.lend(now, vm, &request) {
            purse.receive(now, &grant);
        }
    }
}

/// Runs the experiment.
pub fn run(flags: &Flags) -> Result<Report, Failure> {
    let invalid = |error: medlarpoint_model::InvalidName| Failure::Node(error.to_string());
    let names = (0..flags.workspaces).map(|number| format!("workspace-{number}").parse::<Name>());
    let names: Vec<Name> = names.collect::<Result<_, _>>().map_err(invalid)?;
    let vm = Vm("vm-1".parse().map_err(invalid)?);
    // More than the load, so that the fast path is measured.
    let quota = Quota { calls_per_1000_s: flags.rate * 1_000, burst: flags.rate };
    let mut now = Duration::from_secs(100);
    let mut allocator = Allocator::default();
    allocator.set_reach(now, Reach { reachable: 1, known: 1 });
    allocator.set_quotas(now, names.iter().map(|name| (name, quota)));
    now += Duration::from_secs(10);
    let purse = Mutex::new(Purse::new(1));
    let mut nanos = Histogram::<u64>::new_with_max(MAX_NANOS, 3)
        .map_err(|error| Failure::Node(error.to_string()))?;
    let (mut granted, mut waiting) = (0, 0);
    let (mut total, mut spent) = (0_u64, Duration::ZERO);
    let end = now + Duration::from_secs(flags.seconds);
    let between = Duration::from_nanos(1_000_000_000 / flags.rate.max(1));
    let (mut next_ask, mut next_name) = (now, 0);
    while now < end {
        let begun = Instant::now();
        for _ in 0..BATCH {
            now += between;
            next_name = (next_name + 1) % names.len();
            let admission = {
                let mut purse = purse.lock().unwrap_or_else(PoisonError::into_inner);
                purse.admit(now, &names[next_name], quota)
            };
            match admission {
                Admission::Granted(_) => granted += 1,
                Admission::Wait => {
                    let mut purse = purse.lock().unwrap_or_else(PoisonError::into_inner);
                    purse.give_up(now, &names[next_name]);
                    waiting += 1;
                }
                Admission::Rejected(_) => waiting += 1,
            }
        }
        let elapsed = begun.elapsed();
        (total, spent) = (total + BATCH, spent + elapsed);
        nanos.saturating_record(elapsed.as_nanos() as u64 / BATCH);
        if now >= next_ask {
            next_ask = now + ASK_INTERVAL;
            ask(&purse, &mut allocator, &vm, now);
        }
    }
    Ok(Report {
        granted,
        not_granted: waiting,
        mean_ns: spent.as_nanos() as f64 / total.max(1) as f64,
        p50_ns: nanos.value_at_quantile(0.5),
        p99_ns: nanos.value_at_quantile(0.99),
    })
}
