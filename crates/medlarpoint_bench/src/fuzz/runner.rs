//! Runs state machine tests with steps generated from a seed.

use std::cell::Cell;
use std::sync::Once;

use proptest::strategy::Strategy;
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestError, TestRng, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

/// Number of steps of one case.
const STEPS_PER_CASE: usize = 250;
/// Limit on the number of attempts to shrink a failing case.
const MAX_SHRINK_STEPS: u32 = 2_000;

thread_local! {
    /// Whether panics of this thread are expected, since they report violations.
    static PANICS_EXPECTED: Cell<bool> = const { Cell::new(false) };
}

/// Installs a panic hook that does not print the panics of fuzzed cases, since a
/// failing case panics again many times while it is shrunk.
fn silence_expected_panics() {
    static HOOK: Once = Once::new();
    HOOK.call_once(|| {
        let default_hook = std::panic::take_hook();
        std::panic::set_hook(Box::new(move |panic| {
            if !PANICS_EXPECTED.get() {
                default_hook(panic);
            }
        }));
    });
}

/// Summary of a run without violations.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Summary {
    /// Number of steps.
    pub steps: usize,
    /// Number of cases.
    pub cases: usize,
}

/// The minimal case that violates an invariant.
#[derive(Clone, Debug, thiserror::Error)]
#[error("{reason}\nminimal failing case, {steps} steps:\n{trace}")]
pub struct Counterexample {
    /// Message of the violated invariant.
    pub reason: String,
    /// Number of steps of the minimal case.
    pub steps: usize,
    /// Steps of the minimal case, one per line.
    pub trace: String,
}

/// Runs `M` for at least `steps` steps, rounded up to complete cases.
pub fn run<M>(steps: usize, seed: u64) -> Result<Summary, Box<Counterexample>>
where
    M: StateMachineTest,
    M::Reference: ReferenceStateMachine,
    <M::Reference as ReferenceStateMachine>::State: Clone + std::fmt::Debug,
    <M::Reference as ReferenceStateMachine>::Transition: Clone + std::fmt::Debug,
{
    let cases = steps.div_ceil(STEPS_PER_CASE);
    let config = Config {
        cases: cases as u32,
        failure_persistence: None,
        max_shrink_iters: MAX_SHRINK_STEPS,
        ..Config::default()
    };
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
    let mut runner = TestRunner::new_with_rng(config.clone(), rng);
    let strategy = M::Reference::sequential_strategy(STEPS_PER_CASE).prop_map(|case| case);
    silence_expected_panics();
    PANICS_EXPECTED.set(true);
    let result = runner.run(&strategy, |(initial, transitions, seen_counter)| {
        M::test_sequential(config.clone(), initial, transitions, seen_counter);
        Ok::<(), TestCaseError>(())
    });
    PANICS_EXPECTED.set(false);
    match result {
        Ok(()) => Ok(Summary { steps: cases * STEPS_PER_CASE, cases }),
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
