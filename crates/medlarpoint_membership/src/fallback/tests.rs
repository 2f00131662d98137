//! Tests of [`super`].

use std::time::Duration;

use super::{FIRST, broadcasts, delay};

/// Time that a reading takes and is passed on in.
const READ: Duration = Duration::from_millis(400);

/// Plays a region whose last reading became too old at zero: returns how many
/// of its daemons read the store, of which those of a rank below `lost` cannot
/// reach it, and when the region knows.
fn play(daemons: usize, lost: usize) -> (usize, Duration) {
    let known = (0..daemons)
        .filter(|rank| *rank >= lost && broadcasts(*rank))
        .map(|rank| delay(rank) + READ)
        .min();
    let known = known.unwrap_or(delay(daemons) + READ);
    let reads = (0..daemons).filter(|rank| delay(*rank) < known).count();
    (reads, known)
}

#[test]
fn a_region_that_lost_sight_of_the_readers_reads_the_store_a_few_times() {
    assert_eq!(play(40, 0), (2, READ));
    assert_eq!(play(1_100, 0), (2, READ));
}

#[test]
fn one_that_cannot_reach_the_store_holds_the_others_up_shortly() {
    let (reads, known) = play(40, 1);
    assert!(reads <= 3, "{reads}");
    assert!(known <= Duration::from_millis(700), "{known:?}");
}

#[test]
fn all_read_for_themselves_when_the_first_have_lost_the_store() {
    let (reads, known) = play(40, FIRST);
    assert_eq!(reads, 40);
    // With the age at which a reading is too old, within the time for a change.
    assert!(known <= Duration::from_millis(1_400), "{known:?}");
}
