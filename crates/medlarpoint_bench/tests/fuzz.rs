//! Fixed seeds of the fuzzers, and the planted faults that they must find.

use medlarpoint_bench::fuzz::{
    CallMutation, Calls, Config, ConfigMutation, Counterexample, MemberMutation, Members, run,
};

/// Steps with each seed.
const STEPS: usize = 20_000;
/// Seeds.
const SEEDS: [u64; 3] = [1, 2, 3];

fn passes(
    run: impl Fn(usize, u64) -> Result<medlarpoint_bench::fuzz::Summary, Box<Counterexample>>,
) {
    for seed in SEEDS {
        if let Err(found) = run(STEPS, seed) {
            panic!("seed {seed}: {found}");
        }
    }
}

fn finds(result: Result<medlarpoint_bench::fuzz::Summary, Box<Counterexample>>, reason: &str) {
    let found = result.expect_err("the planted fault was not found");
    assert!(found.reason.contains(reason), "found something else: {}", found.reason);
}

#[test]
fn configuration_keeps_its_promises() {
    passes(run::<Config<()>>);
}

#[test]
fn calls_keep_their_promises() {
    passes(run::<Calls<()>>);
}

#[test]
fn members_agree_once_all_is_quiet() {
    passes(run::<Members<()>>);
}

macro_rules! plant {
    ($trait:ident, $name:ident, $flag:ident) => {
        #[derive(Debug, Clone)]
        struct $name;
        impl $trait for $name {
            const $flag: bool = true;
        }
    };
}

plant!(ConfigMutation, ForgetOrder, FORGET_ORDER);
plant!(ConfigMutation, ApplyHalf, APPLY_HALF);
plant!(ConfigMutation, RefuseUnknown, REFUSE_UNKNOWN);
plant!(ConfigMutation, IgnoreCondition, IGNORE_CONDITION);
plant!(ConfigMutation, NeverPull, NEVER_PULL);
plant!(CallMutation, TrustBroken, TRUST_BROKEN);
plant!(CallMutation, SkipClaim, SKIP_CLAIM);
plant!(CallMutation, FalseNotRun, FALSE_NOT_RUN);
plant!(CallMutation, IgnoreBoot, IGNORE_BOOT);
plant!(CallMutation, IgnoreDrain, IGNORE_DRAIN);
plant!(CallMutation, SwapAnswers, SWAP_ANSWERS);
plant!(MemberMutation, NeverSync, NEVER_SYNC);
plant!(MemberMutation, OldIncarnation, OLD_INCARNATION);

#[test]
fn an_older_version_is_found() {
    finds(run::<Config<ForgetOrder>>(STEPS, 1), "moved back to an older version");
}

#[test]
fn a_partial_apply_is_found() {
    finds(run::<Config<ApplyHalf>>(STEPS, 1), "");
}

#[test]
fn a_false_refusal_of_a_commit_is_found() {
    finds(run::<Config<RefuseUnknown>>(STEPS, 1), "refused");
}

#[test]
fn a_lost_version_is_found() {
    finds(run::<Config<IgnoreCondition>>(STEPS, 1), "");
}

#[test]
fn a_daemon_left_behind_is_found() {
    finds(run::<Config<NeverPull>>(STEPS, 1), "not current though all is quiet");
}

#[test]
fn a_blind_retry_is_found() {
    finds(run::<Calls<TrustBroken>>(STEPS, 1), "");
}

#[test]
fn a_missing_claim_is_found() {
    finds(run::<Calls<SkipClaim>>(STEPS, 1), "ran twice");
}

#[test]
fn a_false_not_run_is_found() {
    finds(run::<Calls<FalseNotRun>>(STEPS, 1), "");
}

#[test]
fn an_attempt_for_an_earlier_run_is_found() {
    finds(run::<Calls<IgnoreBoot>>(STEPS, 1), "");
}

#[test]
fn work_after_a_drain_is_found() {
    finds(run::<Calls<IgnoreDrain>>(STEPS, 1), "draining target got new work");
}

#[test]
fn a_mixed_up_answer_is_found() {
    finds(run::<Calls<SwapAnswers>>(STEPS, 1), "another request");
}

#[test]
fn a_missing_table_exchange_is_found() {
    finds(run::<Members<NeverSync>>(STEPS, 1), "is wrong about");
}

#[test]
fn a_reused_incarnation_is_found() {
    finds(run::<Members<OldIncarnation>>(STEPS, 1), "");
}
