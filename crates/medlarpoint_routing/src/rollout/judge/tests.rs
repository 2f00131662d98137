//! Tests of [`super`].

use indexmap::IndexMap;
use medlarpoint_model::{Name, Vm};

use super::{Judge, Verdict};
use crate::rollout::{RouteCounts, Tally};

fn tally(responses: u64, failures: u64) -> Tally {
    Tally { responses, failures, slow: 0 }
}

/// Returns the verdict after steps in which each target of the new version has these counts
/// more, beside those of the old version.
fn judge(steps: u64, old: Tally, new: &[Tally]) -> Option<Verdict> {
    let mut judge = Judge::default();
    let mut counts = RouteCounts::default();
    for _ in 0..steps {
        counts.old = counts.old.plus(old);
        for (index, tally) in new.iter().enumerate() {
            let vm: Vm = format!("new-{index}").parse().unwrap();
            counts.new = counts.new.plus(*tally);
            let known = counts.targets.entry(vm).or_default();
            *known = known.plus(*tally);
        }
        let route: Name = "r".parse().unwrap();
        let verdict = judge.step(&IndexMap::from([(route, counts.clone())]), new.len());
        if verdict.is_some() {
            return verdict;
        }
    }
    None
}

#[test]
fn a_version_that_fails_more_is_bad_within_50_bad_responses() {
    let verdict = judge(40, tally(100, 1), &[tally(4, 1), tally(4, 2)]).unwrap();
    assert_eq!(verdict.route.as_ref().map(Name::as_str), Some("r"));
    assert!(verdict.new.bad() < 50, "{verdict}");
}

#[test]
fn what_one_target_does_alone_does_not_decide() {
    assert_eq!(judge(40, tally(100, 1), &[tally(4, 0), tally(4, 4)]), None);
    assert!(judge(40, tally(100, 1), &[tally(4, 4)]).is_some(), "the only target decides");
}

#[test]
fn the_old_version_sets_the_rate_that_is_expected() {
    assert_eq!(judge(40, tally(100, 40), &[tally(4, 1), tally(4, 2)]), None);
    assert_eq!(judge(40, tally(100, 1), &[tally(40, 1), tally(40, 0)]), None);
}
