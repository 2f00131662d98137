//! Load of a few targets of which one starts, is slow or recovers: what its pace gives it,
//! and how many calls are within their target latency meanwhile.

mod fleet;
mod target;

use std::time::Duration;

use fleet::{Fleet, Opening, SLOTS};
use target::Slowness;

const SEEDS: u64 = 20;
/// Calls per second: two thirds of what four warm targets can do.
const PER_SECOND: f64 = 255.0;
/// Calls per second that four targets can serve at half of their speed.
const LOW_PER_SECOND: f64 = 120.0;
/// Calls per second that three warm targets cannot serve in time.
const HIGH_PER_SECOND: f64 = 320.0;
/// Time for which a target is slow after its start.
const COLD_TIME: Duration = Duration::from_secs(3);
/// Index of the target that starts.
const NEW: usize = 3;

/// Starts three warm targets and plays the load until their times are known.
fn warm_fleet(opening: Opening, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(4, opening, PER_SECOND, seed);
    (0..NEW).for_each(|index| fleet.start(index, true));
    fleet.run(Duration::from_secs(4));
    fleet
}

/// Starts a target beside three warm ones and returns the share of the calls within their
/// target latency while it is cold.
fn play_start(opening: Opening, slowness: Slowness, seed: u64) -> (Fleet, f64) {
    let mut fleet = warm_fleet(opening, seed);
    let start = fleet.now;
    fleet.targets[NEW].slow = Some((slowness, start + COLD_TIME));
    fleet.start(NEW, false);
    fleet.run(COLD_TIME);
    fleet.finish();
    let share = fleet.share_in_time(start, start + COLD_TIME);
    (fleet, share)
}

/// Guards against a quick target that is left idle after its start.
#[test]
fn a_quick_target_has_all_its_slots_in_well_under_a_second() {
    for seed in 0..SEEDS {
        let mut fleet = warm_fleet(Opening::Pace, seed);
        fleet.start(NEW, false);
        let took = fleet.run_until_open(NEW, Duration::from_secs(2));
        assert!(took <= Duration::from_millis(750), "seed {seed}: {took:?}");
    }
}

/// Guards against a cold target that is given as many calls as a warm one. With all slots
/// at once, up to 9 calls at a time run beyond their target latency.
#[test]
fn a_slow_target_has_no_queue_of_calls_beyond_their_target_latency() {
    for slowness in [Slowness::EachCall(2.0), Slowness::EachCall(8.0)] {
        for seed in 0..SEEDS {
            let (fleet, _) = play_start(Opening::Pace, slowness, seed);
            let target = &fleet.targets[NEW];
            let (queued, running) = (target.max_late_queued, target.max_late_running);
            // The first calls, which show that the target is slow, and one behind them.
            let text = format!("{slowness:?}, seed {seed}: {queued} queued, {running} running");
            assert!(queued <= 1 && running <= SLOTS as usize / 4, "{text}");
        }
    }
    // How many calls such a target can run is only seen once too many run.
    for slowness in [Slowness::Capacity(2.0), Slowness::Capacity(8.0)] {
        let mut running = 0;
        for seed in 0..SEEDS {
            let (fleet, _) = play_start(Opening::Pace, slowness, seed);
            let target = &fleet.targets[NEW];
            running += target.max_late_running;
            assert!(target.max_late_queued <= 2, "{slowness:?}, seed {seed}");
            assert!(target.max_late_running <= 7, "{slowness:?}, seed {seed}");
        }
        assert!(running <= 4 * SEEDS as usize, "{slowness:?}: {running}");
    }
}

/// Guards against a target that keeps all slots while it is slow, and against one that
/// stays at a few slots after it has recovered although calls need it.
#[test]
fn a_target_that_has_recovered_has_all_its_slots_again() {
    let slow_time = Duration::from_secs(2);
    for seed in 0..SEEDS {
        let mut fleet = warm_fleet(Opening::Pace, seed);
        fleet.start(NEW, true);
        fleet.run(Duration::from_secs(1));
        assert_eq!(fleet.usable(NEW), SLOTS);
        fleet.targets[NEW].slow = Some((Slowness::EachCall(8.0), fleet.now + slow_time));
        fleet.run(slow_time);
        let usable = fleet.usable(NEW);
        assert!(usable <= SLOTS / 2, "seed {seed}: {usable}");
        fleet.per_second = HIGH_PER_SECOND;
        let took = fleet.run_until_open(NEW, Duration::from_secs(10));
        assert!(took <= Duration::from_secs(3), "seed {seed}: {took:?}");
    }
}

/// Starts all targets at once; returns the time until all slots are usable and the share of
/// the calls within their target latency while the targets are cold.
fn play_start_of_all(opening: Opening, slowness: Slowness, seed: u64) -> (Duration, f64) {
    let mut fleet = Fleet::new(4, opening, LOW_PER_SECOND, seed);
    let start = fleet.now;
    for index in 0..4 {
        fleet.targets[index].slow = Some((slowness, start + COLD_TIME));
        fleet.start(index, false);
    }
    for index in 0..4 {
        fleet.run_until_open(index, COLD_TIME);
    }
    let opened_in = fleet.now.saturating_sub(start);
    fleet.run(COLD_TIME);
    fleet.finish();
    (opened_in, fleet.share_in_time(start, start + COLD_TIME))
}

/// Guards against a service that does not serve because all of its targets start at once:
/// there is no other target that a cold one can be compared with.
#[test]
fn a_service_whose_targets_all_start_at_once_serves() {
    for (slowness, least) in [(Slowness::EachCall(1.0), 0.99), (Slowness::EachCall(2.0), 0.8)] {
        let mean = |opening| {
            let shares = (0..SEEDS).map(|seed| play_start_of_all(opening, slowness, seed).1);
            shares.sum::<f64>() / SEEDS as f64
        };
        let (all_slots, fixed_ramp) = (mean(Opening::AllSlots), mean(Opening::FixedRamp));
        let pace = mean(Opening::Pace);
        println!("all at once, {slowness:?}: {all_slots:.4} {fixed_ramp:.4} {pace:.4}");
        assert!(pace >= least && pace >= fixed_ramp, "{slowness:?}: {pace}");
        for seed in 0..SEEDS {
            let (opened_in, _) = play_start_of_all(Opening::Pace, slowness, seed);
            assert!(opened_in <= Duration::from_secs(2), "seed {seed}: {opened_in:?}");
        }
    }
}

/// Guards against a start that exceeds the limit which the target names, and against cuts
/// by a limit that has nothing to do with the target's pace.
#[test]
fn a_target_that_names_a_limit_gets_no_more_calls_than_that() {
    const PER_SECOND: f64 = 20.0;
    const WINDOW: Duration = Duration::from_secs(4);
    for seed in 0..SEEDS {
        let mut fleet = warm_fleet(Opening::Pace, seed);
        fleet.targets[NEW].per_second = Some(PER_SECOND);
        fleet.start(NEW, false);
        fleet.run(Duration::from_secs(8));
        assert_eq!(fleet.take_cuts(NEW), 0, "seed {seed}");
        let begun = &fleet.targets[NEW].begun;
        let allowed = PER_SECOND * WINDOW.as_secs_f64() * 1.5 + 5.0;
        for (index, first) in begun.iter().enumerate() {
            let calls = begun[index..].iter().take_while(|at| **at < *first + WINDOW).count();
            assert!(calls as f64 <= allowed, "seed {seed}: {calls} calls");
        }
        assert!(begun.len() as f64 >= PER_SECOND * 7.0, "seed {seed}: {}", begun.len());
    }
}

/// Guards against suspects, of which one runs at a time, that hold the start back.
#[test]
fn suspects_do_not_hold_a_start_back() {
    for seed in 0..SEEDS {
        let mut fleet = warm_fleet(Opening::Pace, seed);
        fleet.suspect_share = 0.05;
        fleet.start(NEW, false);
        let took = fleet.run_until_open(NEW, Duration::from_secs(2));
        assert!(took <= Duration::from_secs(1), "seed {seed}: {took:?}");
    }
}

/// Guards against a target that rejects calls beyond a number in flight and is sent more.
#[test]
fn a_target_that_rejects_calls_is_sent_fewer() {
    for seed in 0..SEEDS {
        let mut fleet = warm_fleet(Opening::Pace, seed);
        let start = fleet.now;
        fleet.targets[NEW].slow = Some((Slowness::EachCall(1.0), start + COLD_TIME));
        fleet.targets[NEW].max_in_flight = Some(4);
        fleet.start(NEW, false);
        fleet.run(COLD_TIME);
        assert!(fleet.usable(NEW) <= 6, "seed {seed}: {}", fleet.usable(NEW));
        assert!(fleet.take_cuts(NEW) > 0, "seed {seed}");
        let took = fleet.run_until_open(NEW, Duration::from_secs(3));
        assert!(took <= Duration::from_secs(2), "seed {seed}: {took:?}");
    }
}

/// Guards against a daemon that gives a warm target a part of its slots after a restart.
#[test]
fn a_daemon_that_restarts_beside_a_warm_target_gives_it_all_slots() {
    for seed in 0..SEEDS {
        let mut fleet = warm_fleet(Opening::Pace, seed);
        let start = fleet.now;
        fleet.start(NEW, true);
        let took = fleet.run_until_open(NEW, Duration::from_secs(1));
        // Until its first response, the target may have named a limit to the daemon before.
        assert!(took <= Duration::from_millis(300), "seed {seed}: {took:?}");
        fleet.run(COLD_TIME);
        fleet.finish();
        let share = fleet.share_in_time(start, start + COLD_TIME);
        assert!(share >= 0.995, "seed {seed}: {share}");
        assert_eq!(fleet.take_cuts(NEW), 0, "seed {seed}");
    }
}

/// Compares the share of the calls within their target latency in the first 3 s after a
/// start, over all seeds.
#[test]
fn more_calls_are_in_time_with_a_pace_than_with_all_slots_or_a_fixed_ramp() {
    let (each, capacity) = (Slowness::EachCall, Slowness::Capacity);
    for slowness in [each(1.0), each(2.0), each(8.0), capacity(2.0), capacity(8.0)] {
        let mean = |opening| {
            let shares = (0..SEEDS).map(|seed| play_start(opening, slowness, seed).1);
            shares.sum::<f64>() / SEEDS as f64
        };
        let all_slots = mean(Opening::AllSlots);
        let fixed_ramp = mean(Opening::FixedRamp);
        let pace = mean(Opening::Pace);
        println!("{slowness:?}: {all_slots:.4} {fixed_ramp:.4} {pace:.4}");
        assert!(pace >= fixed_ramp, "{slowness:?}: {pace} of {fixed_ramp}");
        // A warm target needs no pace; it may cost a call in a thousand.
        assert!(pace + 0.001 >= all_slots, "{slowness:?}: {pace} of {all_slots}");
    }
}
