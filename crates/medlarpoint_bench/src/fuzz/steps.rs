//! Steps of a fuzzer, any of which is allowed at any time.

use std::fmt::Debug;
use std::marker::PhantomData;

use proptest::prelude::*;
use proptest_state_machine::ReferenceStateMachine;

/// What a fuzzer does next.
pub trait Step: Clone + Debug + 'static {
    /// Generates a step.
    fn any() -> BoxedStrategy<Self>;
}

/// Generates the steps of a run; it needs no state.
#[derive(Debug)]
pub struct Steps<T>(PhantomData<T>);

impl<T: Step> ReferenceStateMachine for Steps<T> {
    type State = ();
    type Transition = T;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<T> {
        T::any()
    }

    fn apply((): (), _: &T) {}
}
