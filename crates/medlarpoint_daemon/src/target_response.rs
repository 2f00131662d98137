//! What the responses of this VM's target say about the target itself.

use std::sync::atomic::Ordering;

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
    let says_state = matches!(class, ResponseClass::Ran | ResponseClass::NotRun);
    if says_state && call::is_leaving(headers) {
        record_leaving(shared, |current| current.is_same_process(target));
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

/// Handles the claim of an outbound proxy that a process of this VM's target leaves. This
/// daemon may have restarted since that process said so.
pub(crate) fn on_leaving_reported(shared: &Shared, process: &str) {
    record_leaving(shared, |current| current.process().as_deref() == Some(process));
}

/// Hands over no more calls to the target if it is the process that leaves. The change is
/// announced with the next sweep.
fn record_leaving(shared: &Shared, is_leaving_process: impl Fn(&TargetState) -> bool) {
    let left = {
        let mut current = lock(&shared.target);
        let current = current.as_mut().filter(|current| is_leaving_process(current));
        current.and_then(TargetState::leave)
    };
    let Some(instance) = left else {
        return;
    };
    lock(&shared.intake).set_draining(true);
    shared.target_changed.store(true, Ordering::Release);
    shared.emit(&Event::TargetLeaving { instance });
}
