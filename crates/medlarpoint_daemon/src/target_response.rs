//! What the responses of this VM's target say about the target itself.

use http::HeaderMap;
use medlarpoint_platform::call::{self, ResponseClass};

use crate::event::Event;
use crate::state::{Shared, TargetState, lock};

/// Records what a response says about the target that sent it. `target` is the state in
/// which the call was handed over.
pub(crate) fn observe(
    shared: &Shared,
    target: &TargetState,
    class: ResponseClass,
    headers: &HeaderMap,
) {
    if !is_current(shared, target) {
        return;
    }
    let limit = call::parse_limit(headers);
    match class {
        ResponseClass::Ran => record_limit(shared, target, limit),
        // A rejection may come before the target has looked at its state.
        ResponseClass::NotRun if limit.is_some() => record_limit(shared, target, limit),
        // Such a response may come from another process.
        ResponseClass::NotRun | ResponseClass::OtherInstance | ResponseClass::Unverified => {}
    }
}

/// Returns whether the process that a call was handed over to is still the target.
fn is_current(shared: &Shared, target: &TargetState) -> bool {
    let current = lock(&shared.target);
    current.as_ref().is_some_and(|current| current.is_same_process(target))
}

/// Enforces the limit on the calls per second that the target names, if any.
fn record_limit(shared: &Shared, target: &TargetState, limit: Option<f64>) {
    let changed = {
        let now = shared.now();
        lock(&shared.intake).scheduler_mut().on_target_response(now, limit)
    };
    if !changed {
        return;
    }
    let instance = target.instance.as_ref();
    let instance = instance.map(|known| known.report().instance.to_string()).unwrap_or_default();
    metrics::gauge!("medlarpoint_target_limit").set(limit.unwrap_or(f64::INFINITY));
    // A target may name another limit in each response.
    shared.emit_call(&match limit {
        Some(per_second) => Event::TargetLimited { instance, per_second },
        None => Event::TargetUnlimited { instance },
    });
}
