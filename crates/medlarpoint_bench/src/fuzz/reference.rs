//! Reference state machine for fuzzers in which every step is valid at any time.

use std::fmt::Debug;
use std::marker::PhantomData;

use proptest::prelude::*;
use proptest_state_machine::ReferenceStateMachine;

/// A step of a fuzzer.
pub trait Step: Clone + Debug + 'static {
    /// Returns the strategy that generates steps.
    fn strategy() -> BoxedStrategy<Self>;
}

/// A reference state machine without state.
#[derive(Debug)]
pub struct Stateless<T>(PhantomData<T>);

impl<T: Step> ReferenceStateMachine for Stateless<T> {
    type State = ();
    type Transition = T;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<T> {
        T::strategy()
    }

    fn apply((): (), _: &T) {}
}
