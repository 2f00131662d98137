//! Tests of [`super`].

use std::time::Duration;

use super::{CallEnd, End, Pace, STALE_STEP};
use crate::AttemptId;

const SLOTS: u32 = 16;
const START: Duration = Duration::from_secs(100);
const EXPECTED: Duration = Duration::from_millis(100);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn end(started_at: Duration, end: End) -> CallEnd {
    CallEnd { attempt: AttemptId(0), started_at, expected: Some(EXPECTED), end }
}

/// Runs as many calls as are usable, each of which takes `took`. Returns the time of their
/// ends.
fn round(pace: &mut Pace, now: Duration, took: Duration) -> Duration {
    let calls = (0..pace.usable(SLOTS)).map(|id| AttemptId(id.into()));
    let done = now + took;
    calls.clone().for_each(|attempt| pace.on_started(now, attempt, Some(EXPECTED)));
    for attempt in calls {
        let call = CallEnd { attempt, ..end(now, End::Answered) };
        pace.on_ended(done, SLOTS, &call, None);
    }
    done
}

/// Guards against a target that is quick and left idle.
#[test]
fn a_quick_target_doubles_with_each_group_of_answers() {
    let mut pace = Pace::new(START, SLOTS);
    let (mut now, mut steps) = (START, vec![pace.usable(SLOTS)]);
    while pace.usable(SLOTS) < SLOTS {
        now = round(&mut pace, now, EXPECTED);
        steps.push(pace.usable(SLOTS));
    }
    assert_eq!(steps, [4, 8, 16]);
    assert!(now < START + ms(500));
    assert!(pace.take_changes().reached_all);
}

#[test]
fn answers_between_the_ratios_open_one_slot_at_a_time() {
    let mut pace = Pace::new(START, SLOTS);
    let now = round(&mut pace, START, EXPECTED * 2);
    assert_eq!(pace.usable(SLOTS), 5);
    round(&mut pace, now, EXPECTED * 2);
    assert_eq!(pace.usable(SLOTS), 6);
}

#[test]
fn slow_answers_halve_the_limit_down_to_one_and_quick_ones_restore_it() {
    let mut pace = Pace::new(START, SLOTS);
    let (mut now, mut steps) = (START, Vec::new());
    for _ in 0..4 {
        now = round(&mut pace, now, EXPECTED * 8);
        steps.push(pace.usable(SLOTS));
    }
    assert_eq!(steps, [2, 1, 1, 1]);
    assert_eq!(pace.take_changes().cuts, 2);
    for _ in 0..8 {
        now = round(&mut pace, now, EXPECTED);
    }
    assert_eq!(pace.usable(SLOTS), SLOTS);
}

/// Guards against cuts by the same overload again and again: calls that started before a
/// cut are slow, whatever its effect.
#[test]
fn calls_that_started_before_a_cut_do_not_cut_again() {
    let mut pace = Pace::new(START, SLOTS);
    pace.start(START, SLOTS, true);
    for _ in 0..SLOTS {
        pace.on_ended(START + EXPECTED * 8, SLOTS, &end(START, End::Answered), None);
    }
    assert_eq!((pace.usable(SLOTS), pace.take_changes().cuts), (8, 1));
    pace.on_ended(START + EXPECTED * 9, SLOTS, &end(START, End::Rejected), None);
    assert_eq!(pace.usable(SLOTS), 8);
}

/// Guards against the loss of half of the slots to one straggler.
#[test]
fn one_straggler_among_quick_answers_does_not_cut() {
    let mut pace = Pace::new(START, SLOTS);
    let done = START + EXPECTED;
    for _ in 0..3 {
        pace.on_ended(done, SLOTS, &end(START, End::Answered), None);
    }
    pace.on_ended(START + EXPECTED * 90, SLOTS, &end(START, End::Answered), None);
    assert_eq!((pace.usable(SLOTS), pace.take_changes().cuts), (5, 0));
}

#[test]
fn a_rejection_halves_the_limit_at_once() {
    let mut pace = Pace::new(START, SLOTS);
    pace.on_ended(START + ms(1), SLOTS, &end(START, End::Rejected), None);
    assert_eq!(pace.usable(SLOTS), 2);
    pace.on_ended(START + ms(2), SLOTS, &end(START + ms(1), End::Withdrawn), None);
    assert_eq!(pace.usable(SLOTS), 2);
}

/// Guards against callers that give up before a slow answer and so hide it.
#[test]
fn a_call_without_an_answer_counts_once_it_took_too_long() {
    let mut pace = Pace::new(START, SLOTS);
    for _ in 0..4 {
        pace.on_ended(START + EXPECTED, SLOTS, &end(START, End::Unanswered), None);
    }
    assert_eq!(pace.usable(SLOTS), 4);
    for _ in 0..4 {
        pace.on_ended(START + EXPECTED * 4, SLOTS, &end(START, End::Unanswered), None);
    }
    assert_eq!(pace.usable(SLOTS), 2);
}

/// Guards against a service that stays at a quarter of its slots because no target has a
/// peer to be compared with.
#[test]
fn without_expected_times_slots_open_by_the_clock() {
    let mut pace = Pace::new(START, SLOTS);
    let unknown = |started_at| CallEnd {
        attempt: AttemptId(0),
        started_at,
        expected: None,
        end: End::Answered,
    };
    for (after, usable) in [(240, 4), (260, 8), (400, 8), (520, 16)] {
        let now = START + ms(after);
        pace.on_started(START, AttemptId(0), None);
        pace.on_ended(now, SLOTS, &unknown(now.saturating_sub(ms(90))), None);
        pace.tick(now, SLOTS);
        assert_eq!(pace.usable(SLOTS), usable, "after {after} ms");
    }
}

/// Guards against the clock that opens a target whose first calls are overdue.
#[test]
fn the_clock_waits_for_calls_with_an_expected_time() {
    let mut pace = Pace::new(START, SLOTS);
    pace.on_started(START, AttemptId(0), Some(EXPECTED));
    pace.tick(START + ms(700), SLOTS);
    assert_eq!(pace.usable(SLOTS), 4);
    pace.on_ended(START + ms(800), SLOTS, &end(START, End::Withdrawn), None);
    pace.tick(START + ms(801), SLOTS);
    assert_eq!(pace.usable(SLOTS), 8);
    // Answers to calls of several seconds come too late to decide on a cold start.
    pace.on_started(START, AttemptId(0), Some(Duration::from_secs(4)));
    pace.tick(START + ms(1_100), SLOTS);
    assert_eq!(pace.usable(SLOTS), 16);
}

/// Guards against a target that is cut only when its first slow answers arrive.
#[test]
fn calls_in_flight_that_are_overdue_cut_the_limit_before_their_answers() {
    let mut pace = Pace::new(START, SLOTS);
    for id in 0..4 {
        pace.on_started(START, AttemptId(id), Some(EXPECTED));
    }
    pace.tick(START + ms(249), SLOTS);
    assert_eq!(pace.usable(SLOTS), 4);
    pace.tick(START + ms(251), SLOTS);
    pace.tick(START + ms(900), SLOTS);
    assert_eq!((pace.usable(SLOTS), pace.take_changes().cuts), (2, 1));
}

/// Guards against an unused target that is opened by single calls and then overloaded by a
/// burst.
#[test]
fn answers_of_a_target_that_is_hardly_used_open_one_slot_at_a_time() {
    let mut pace = Pace::new(START, SLOTS);
    let mut now = START;
    for id in 0..4 {
        pace.on_started(now, AttemptId(id), Some(EXPECTED));
        let call = CallEnd { attempt: AttemptId(id), ..end(now, End::Answered) };
        now += EXPECTED;
        pace.on_ended(now, SLOTS, &call, None);
    }
    assert_eq!(pace.usable(SLOTS), 5);
}

/// Guards against a pause between calls that opens a cold target, and against a target
/// that stays cut for ever once calls have no expected time.
#[test]
fn after_a_cut_the_clock_opens_only_once_the_answers_are_stale() {
    let mut pace = Pace::new(START, SLOTS);
    let now = round(&mut pace, START, EXPECTED * 8);
    let stale_at = now + STALE_STEP;
    pace.tick(stale_at.saturating_sub(ms(1)), SLOTS);
    assert_eq!(pace.usable(SLOTS), 2);
    pace.tick(stale_at, SLOTS);
    assert_eq!(pace.usable(SLOTS), 4);
}

#[test]
fn without_expected_times_the_own_answers_of_the_target_show_overload() {
    let mut pace = Pace::new(START, SLOTS);
    for _ in 0..4 {
        let call = CallEnd {
            attempt: AttemptId(0),
            started_at: START,
            expected: None,
            end: End::Answered,
        };
        pace.on_ended(START + EXPECTED * 4, SLOTS, &call, Some(EXPECTED));
    }
    assert_eq!(pace.usable(SLOTS), 2);
}

/// Guards against a daemon that restarts beside a warm target and gives it a quarter of
/// its slots; the next process, and one that was unreachable, are not known to be warm.
#[test]
fn a_warm_process_starts_with_all_slots() {
    let mut pace = Pace::new(START, 0);
    pace.start(START, 0, true);
    pace.on_slots(START, SLOTS);
    assert_eq!(pace.usable(SLOTS), SLOTS);
    pace.on_slots(START, SLOTS);
    assert_eq!(pace.usable(SLOTS), 4);
    pace.start(START, SLOTS, true);
    assert_eq!(pace.usable(SLOTS), SLOTS);
    pace.start(START, SLOTS, false);
    assert_eq!(pace.usable(SLOTS), 4);
}

#[test]
fn at_least_one_slot_is_usable_of_any_number() {
    for slots in 1..=9 {
        let mut pace = Pace::new(START, slots);
        assert_eq!(pace.usable(slots), (slots / 4).max(1));
        pace.on_ended(START, slots, &end(START, End::Rejected), None);
        assert!(pace.usable(slots) >= 1);
        assert_eq!(pace.usable(0), 0);
    }
}
