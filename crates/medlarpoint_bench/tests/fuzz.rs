//! Fixed seeds of the fuzzers, and the mutations that they must detect.

use medlarpoint_bench::fuzz::{
    CallMutation, Calls, Config, ConfigMutation, Counterexample, MemberMutation, Members, run,
};

/// Number of steps with each seed.
const STEPS: usize = 20_000;
/// Seeds of the runs without mutations.
const SEEDS: [u64; 3] = [1, 2, 3];

fn assert_passes(
    run: impl Fn(usize, u64) -> Result<medlarpoint_bench::fuzz::Summary, Box<Counterexample>>,
) {
    for seed in SEEDS {
        if let Err(counterexample) = run(STEPS, seed) {
            panic!("seed {seed}: {counterexample}");
        }
    }
}

fn assert_detected(
    result: Result<medlarpoint_bench::fuzz::Summary, Box<Counterexample>>,
    reason: &str,
) {
    let counterexample = result.expect_err("the mutation was not detected");
    assert!(
        counterexample.reason.contains(reason),
        "detected another violation: {}",
        counterexample.reason
    );
}

#[test]
fn configuration_has_no_violations() {
    assert_passes(run::<Config<()>>);
}

#[test]
fn calls_have_no_violations() {
    assert_passes(run::<Calls<()>>);
}

#[test]
fn members_agree_after_all_faults_ended() {
    assert_passes(run::<Members<()>>);
}

macro_rules! mutation {
    ($trait:ident, $name:ident, $flag:ident) => {
        #[derive(Debug, Clone)]
        struct $name;
        impl $trait for $name {
            const $flag: bool = true;
        }
    };
}

mutation!(ConfigMutation, AcceptOldCheckpoint, ACCEPT_OLD_CHECKPOINT);
mutation!(ConfigMutation, ApplyHalfDelta, APPLY_HALF_DELTA);
mutation!(ConfigMutation, ReportUnknownAsRejected, REPORT_UNKNOWN_AS_REJECTED);
mutation!(ConfigMutation, IgnoreExpectedRevision, IGNORE_EXPECTED_REVISION);
mutation!(ConfigMutation, NeverPull, NEVER_PULL);
mutation!(CallMutation, TreatSentAsNotRun, TREAT_SENT_AS_NOT_RUN);
mutation!(CallMutation, SkipClaim, SKIP_CLAIM);
mutation!(CallMutation, FalseNotRun, FALSE_NOT_RUN);
mutation!(CallMutation, IgnoreBoot, IGNORE_BOOT);
mutation!(CallMutation, IgnoreDrain, IGNORE_DRAIN);
mutation!(CallMutation, SwapResponses, SWAP_RESPONSES);
mutation!(CallMutation, ForgetCrashes, FORGET_CRASHES);
mutation!(MemberMutation, NeverSync, NEVER_SYNC);
mutation!(MemberMutation, ReuseIncarnation, REUSE_INCARNATION);

#[test]
fn a_move_back_to_an_older_version_is_detected() {
    assert_detected(run::<Config<AcceptOldCheckpoint>>(STEPS, 1), "moved back to an older version");
}

#[test]
fn a_partially_applied_delta_is_detected() {
    assert_detected(run::<Config<ApplyHalfDelta>>(STEPS, 1), "");
}

#[test]
fn a_rejection_of_a_commit_that_took_effect_is_detected() {
    assert_detected(run::<Config<ReportUnknownAsRejected>>(STEPS, 1), "rejected");
}

#[test]
fn a_write_without_its_precondition_is_detected() {
    assert_detected(run::<Config<IgnoreExpectedRevision>>(STEPS, 1), "");
}

#[test]
fn a_daemon_that_never_pulls_is_detected() {
    assert_detected(run::<Config<NeverPull>>(STEPS, 1), "not current after all faults ended");
}

#[test]
fn a_retry_after_a_broken_connection_is_detected() {
    assert_detected(run::<Calls<TreatSentAsNotRun>>(STEPS, 1), "");
}

#[test]
fn a_missing_claim_is_detected() {
    assert_detected(run::<Calls<SkipClaim>>(STEPS, 1), "ran twice");
}

#[test]
fn a_not_run_outcome_of_a_lost_target_is_detected() {
    assert_detected(run::<Calls<FalseNotRun>>(STEPS, 1), "");
}

#[test]
fn an_attempt_for_an_earlier_boot_is_detected() {
    assert_detected(run::<Calls<IgnoreBoot>>(STEPS, 1), "");
}

#[test]
fn a_new_attempt_on_a_draining_target_is_detected() {
    assert_detected(run::<Calls<IgnoreDrain>>(STEPS, 1), "draining target got a new attempt");
}

#[test]
fn a_response_to_another_request_is_detected() {
    assert_detected(run::<Calls<SwapResponses>>(STEPS, 1), "another request");
}

#[test]
fn a_missing_table_synchronization_is_detected() {
    assert_detected(run::<Members<NeverSync>>(STEPS, 1), "has the wrong liveness for");
}

#[test]
fn a_reused_incarnation_is_detected() {
    assert_detected(run::<Members<ReuseIncarnation>>(STEPS, 1), "");
}

/// Guards against BUDGET of issue 28.
#[test]
fn a_fatal_call_that_runs_again_and_again_is_detected() {
    assert_detected(run::<Calls<ForgetCrashes>>(STEPS, 1), "a fatal call ran again");
}
