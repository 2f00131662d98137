//! Tests of [`super`].

use std::time::Duration;

use super::{BROADCASTERS, broadcasts, delay, max_read_age};

/// Time that a read and its broadcast take.
const READ_TIME: Duration = Duration::from_millis(400);

/// Time within which an acknowledged version has to be in force.
const PROPAGATION: Duration = Duration::from_secs(2);

/// Simulates a region whose last known read became too old at time zero. The
/// store is unreachable for daemons of a rank below `unreachable`. Returns how
/// many daemons try to read the store, and when the first read has been
/// broadcast.
fn simulate(daemons: usize, unreachable: usize) -> (usize, Duration) {
    let refreshed_at = (0..daemons)
        .filter(|rank| *rank >= unreachable && broadcasts(*rank))
        .map(|rank| delay(PROPAGATION, rank) + READ_TIME)
        .min();
    let refreshed_at = refreshed_at.unwrap_or(delay(PROPAGATION, daemons) + READ_TIME);
    let reads = (0..daemons).filter(|rank| delay(PROPAGATION, *rank) < refreshed_at).count();
    (reads, refreshed_at)
}

#[test]
fn a_region_without_readers_reads_the_store_only_a_few_times() {
    assert_eq!(simulate(40, 0), (2, READ_TIME));
    assert_eq!(simulate(1_100, 0), (2, READ_TIME));
}

#[test]
fn a_first_daemon_without_the_store_delays_the_others_only_briefly() {
    let (reads, refreshed_at) = simulate(40, 1);
    assert!(reads <= 3, "{reads}");
    assert!(refreshed_at <= Duration::from_millis(700), "{refreshed_at:?}");
}

#[test]
fn all_daemons_read_for_themselves_if_the_broadcasters_have_no_store() {
    let (reads, refreshed_at) = simulate(40, BROADCASTERS);
    assert_eq!(reads, 40);
    // Together with the age at which a read is too old, this stays within the
    // time limit for a change.
    assert!(refreshed_at <= Duration::from_millis(1_400), "{refreshed_at:?}");
}

/// Guards against CONFIG of issue 25: without readers, daemons read the store too late
/// for the time within which an acknowledged version has to be in force.
#[test]
fn without_readers_every_daemon_reads_in_time_for_a_change() {
    // A change can be acknowledged right after the last read of the readers.
    for rank in 0..1_100 {
        let in_force_at = max_read_age(PROPAGATION, rank) + READ_TIME;
        assert!(in_force_at <= PROPAGATION, "rank {rank}: {in_force_at:?}");
    }
}
