//! Tests of [`super`]: a call that crashes its targets, beside calls that do not.

use proptest::prelude::*;

use super::*;
use crate::RunningCall;

const NOW: Duration = Duration::from_secs(100);
const FATAL: Fingerprint = Fingerprint(1);
const OTHER: Fingerprint = Fingerprint(2);

/// Ends a process that was running these calls, with what was known when they began.
fn end(known: &Suspects, calls: &[Fingerprint]) -> RunEnd {
    let running =
        |call: &Fingerprint| RunningCall { fingerprint: *call, known: known.suspicion(*call) };
    RunEnd { calls: calls.iter().map(running).collect(), had_answered: true }
}

fn crash(suspects: &mut Suspects, now: Duration, calls: &[Fingerprint]) {
    let end = end(suspects, calls);
    suspects.on_run_end(now, &end);
}

#[test]
fn the_time_until_a_call_may_run_again_grows_with_the_crashes_in_a_row() {
    let mut suspects = Suspects::default();
    let mut waits = Vec::new();
    for _ in 0..5 {
        crash(&mut suspects, NOW, &[FATAL]);
        waits.push(suspects.verdict(NOW, FATAL));
    }
    let seconds = |s| Verdict::Backoff(Duration::from_secs(s));
    assert_eq!(waits, [Verdict::Run, seconds(5), seconds(50), seconds(500), seconds(900)]);
    assert_eq!(suspects.verdict(NOW + Duration::from_secs(900), FATAL), Verdict::Run);
}

#[test]
fn a_call_that_ran_beside_the_fatal_one_is_cleared_by_its_response() {
    let mut suspects = Suspects::default();
    crash(&mut suspects, NOW, &[FATAL, OTHER]);
    suspects.on_response(NOW, OTHER, suspects.suspicion(OTHER));
    crash(&mut suspects, NOW, &[FATAL, OTHER]);
    assert_eq!(suspects.verdict(NOW, OTHER), Verdict::Run);
    assert!(suspects.verdict(NOW, FATAL) != Verdict::Run);
}

/// Guards against shutting out a call that is sent often when many targets are lost at once.
#[test]
fn targets_that_end_at_the_same_time_count_as_one_crash() {
    let mut suspects = Suspects::default();
    let end = end(&suspects, &[OTHER]);
    for _ in 0..10 {
        suspects.on_run_end(NOW, &end);
    }
    assert_eq!(suspects.suspicion(OTHER).crashes, 1);
    assert_eq!(suspects.verdict(NOW, OTHER), Verdict::Run);
}

#[test]
fn a_response_to_an_earlier_run_clears_a_call_and_a_later_crash_of_such_a_run_does_not_count() {
    let mut suspects = Suspects::default();
    let before = end(&suspects, &[OTHER]);
    crash(&mut suspects, NOW, &[OTHER]);
    crash(&mut suspects, NOW, &[OTHER]);
    suspects.on_response(NOW, OTHER, Suspicion::default());
    assert_eq!(suspects.verdict(NOW, OTHER), Verdict::Run);
    assert!(suspects.on_run_end(NOW, &before).is_empty());
    assert!(!suspects.suspicion(OTHER).is_suspect());
}

/// Guards against shutting out the calls of a service for long because a release could not
/// run any.
#[test]
fn a_release_that_runs_no_call_backs_calls_off_for_a_short_time_only() {
    let mut suspects = Suspects::default();
    let mut now = NOW;
    for _ in 0..20 {
        let broken = RunEnd { had_answered: false, ..end(&suspects, &[FATAL, OTHER]) };
        suspects.on_run_end(now, &broken);
        for call in [FATAL, OTHER] {
            assert_eq!(suspects.verdict(now + FIRST_BACKOFF, call), Verdict::Run);
        }
        now += FIRST_BACKOFF;
    }
}

#[test]
fn a_call_whose_backoff_is_over_runs_on_one_target_first() {
    let mut suspects = Suspects::default();
    crash(&mut suspects, NOW, &[FATAL]);
    crash(&mut suspects, NOW, &[FATAL]);
    let later = NOW + FIRST_BACKOFF;
    suspects.take_changed(NOW);
    assert_eq!(suspects.begin(later, FATAL), Verdict::Run);
    assert_eq!(suspects.begin(later, FATAL), Verdict::Backoff(FIRST_BACKOFF));
    assert_eq!(suspects.take_changed(later).len(), 1, "other daemons hear of it");
}

/// A release has mended the targets.
#[test]
fn a_call_that_is_answered_after_its_backoff_is_served_again() {
    let mut suspects = Suspects::default();
    for _ in 0..4 {
        crash(&mut suspects, NOW, &[FATAL]);
    }
    let later = NOW + MAX_BACKOFF;
    assert_eq!(suspects.begin(later, FATAL), Verdict::Run);
    suspects.on_response(later, FATAL, suspects.suspicion(FATAL));
    assert_eq!(suspects.verdict(later, FATAL), Verdict::Run);
    assert_eq!(suspects.begin(later, FATAL), Verdict::Run);
}

#[test]
fn thousands_of_calls_that_crash_targets_take_bounded_memory_and_the_worst_are_kept() {
    let mut suspects = Suspects::default();
    crash(&mut suspects, NOW, &[FATAL]);
    crash(&mut suspects, NOW, &[FATAL]);
    for number in 10..10_000 {
        crash(&mut suspects, NOW, &[Fingerprint(number)]);
    }
    assert_eq!(suspects.len(), MAX_CALLS);
    assert!(suspects.verdict(NOW, FATAL) != Verdict::Run);
    let many: Vec<Fingerprint> = (0..100).map(Fingerprint).collect();
    let end = end(&Suspects::default(), &many);
    assert_eq!(Suspects::default().on_run_end(NOW, &end).len(), MAX_CALLS_PER_CRASH);
    suspects.sweep(NOW + RETENTION);
    assert!(suspects.is_empty());
}

#[test]
fn a_daemon_that_has_just_started_learns_the_age_of_older_crashes() {
    let mut old = Suspects::default();
    for _ in 0..3 {
        crash(&mut old, NOW, &[FATAL]);
    }
    let later = NOW + Duration::from_secs(40);
    let mut new = Suspects::default();
    let started = Duration::from_secs(1);
    for (call, report) in old.reports(later, 10) {
        assert!(new.merge(started, call, report));
        assert!(!new.merge(started, call, report));
    }
    assert_eq!(new.verdict(started, FATAL), Verdict::Backoff(Duration::from_secs(10)));
    let back = new.report(started, FATAL).unwrap();
    assert!(!old.merge(later, FATAL, back), "what comes back is no news");
}

#[test]
fn a_call_that_may_not_run_is_passed_on_until_it_may() {
    let mut suspects = Suspects::default();
    crash(&mut suspects, NOW, &[FATAL, OTHER]);
    crash(&mut suspects, NOW, &[FATAL]);
    for _ in 0..RETRANSMISSIONS {
        assert_eq!(suspects.take_gossip(NOW, 2).len(), 2);
    }
    let calls = |gossip: Vec<(Fingerprint, Report)>| gossip.into_iter().map(|(call, _)| call);
    assert!(calls(suspects.take_gossip(NOW, 2)).eq([FATAL]));
    assert!(suspects.take_gossip(NOW + FIRST_BACKOFF, 2).is_empty());
}

#[test]
fn the_text_of_a_report_is_read_back() {
    let suspicion = Suspicion { acquittals: 3, crashes: 2 };
    let report = Report { suspicion, age: Duration::from_millis(1_500) };
    assert_eq!(report.to_string().parse(), Ok(report));
    for text in ["", "1,2", "1,x,3", "1,99999999999,3"] {
        assert_eq!(text.parse::<Report>(), Err(InvalidReport));
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        ..ProptestConfig::with_cases(500)
    })]

    /// Daemons that have heard the same reports agree, whatever the order.
    #[test]
    fn the_order_of_reports_does_not_matter(
        mut reports in prop::collection::vec((0..3_u32, 0..5_u32), 1..12),
        order in any::<u64>(),
    ) {
        let merged = |reports: &[(u32, u32)]| {
            let mut suspects = Suspects::default();
            for (acquittals, crashes) in reports {
                let suspicion = Suspicion { acquittals: *acquittals, crashes: *crashes };
                suspects.merge(NOW, FATAL, Report { suspicion, age: Duration::ZERO });
            }
            suspects.suspicion(FATAL)
        };
        let first = merged(&reports);
        let length = reports.len();
        reports.rotate_left(order as usize % length);
        prop_assert_eq!(merged(&reports), first);
        reports.reverse();
        prop_assert_eq!(merged(&reports), first);
    }
}
