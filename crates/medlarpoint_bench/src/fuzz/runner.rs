//! Runs a state machine test for a number of steps from a seed.

use std::cell::Cell;
use std::sync::Once;

use proptest::strategy::Strategy;
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestError, TestRng, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

/// Steps of one case.
const CASE_STEPS: usize = 250;
/// Tries to make a failing case smaller.
const MAX_SHRINKS: u32 = 2_000;

thread_local! {
    /// Whether this thread expects panics, which are findings.
    static FUZZING: Cell<bool> = const { Cell::new(false) };
}

/// Keeps the panics of fuzzed cases, each of which is tried again many times
/// to make it smaller, from being printed.
fn hush() {
    static HOOK: Once = Once::new();
    HOOK.call_once(|| {
        let usual = std::panic::take_hook();
        std::panic::set_hook(Box::new(move |panic| {
            if !FUZZING.get() {
                usual(panic);
            }
        }));
    });
}

/// A run without a finding.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Summary {
    /// Steps taken.
    pub steps: usize,
    /// Cases run.
    pub cases: usize,
}

/// A violated invariant.
#[derive(Clone, Debug, thiserror::Error)]
#[error("{reason}\nsmallest case, {steps} steps:\n{trace}")]
pub struct Counterexample {
    /// What was violated.
    pub reason: String,
    /// Steps of the smallest case.
    pub steps: usize,
    /// The steps.
    pub trace: String,
}

/// Runs `M` for at least `steps` steps.
pub fn run<M>(steps: usize, seed: u64) -> Result<Summary, Box<Counterexample>>
where
    M: StateMachineTest,
    M::Reference: ReferenceStateMachine,
    <M::Reference as ReferenceStateMachine>::State: Clone + std::fmt::Debug,
    <M::Reference as ReferenceStateMachine>::Transition: Clone + std::fmt::Debug,
{
    let cases = steps.div_ceil(CASE_STEPS);
    let config = Config {
        cases: cases as u32,
        failure_persistence: None,
        max_shrink_iters: MAX_SHRINKS,
        ..Config::default()
    };
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
    let mut runner = TestRunner::new_with_rng(config.clone(), rng);
    let strategy = M::Reference::sequential_strategy(CASE_STEPS).prop_map(|case| case);
    hush();
    FUZZING.set(true);
    let result = runner.run(&strategy, |(initial, transitions, seen)| {
        M::test_sequential(config.clone(), initial, transitions, seen);
        Ok::<(), TestCaseError>(())
    });
    FUZZING.set(false);
    match result {
        Ok(()) => Ok(Summary { steps: cases * CASE_STEPS, cases }),
        Err(TestError::Abort(reason)) => Err(Box::new(Counterexample {
            reason: reason.to_string(),
            steps: 0,
            trace: String::new(),
        })),
        Err(TestError::Fail(reason, (_, transitions, _))) => {
            let lines: Vec<String> = transitions.iter().map(|t| format!("  {t:?}")).collect();
            let (steps, trace) = (transitions.len(), lines.join("\n"));
            Err(Box::new(Counterexample { reason: reason.to_string(), steps, trace }))
        }
    }
}
