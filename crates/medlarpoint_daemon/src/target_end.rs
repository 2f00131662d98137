//! Tells the end of the target's process from a broken connection.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use medlarpoint_model::Fingerprint;
use medlarpoint_routing::{AttemptId, RunEnd, RunningCall, Suspicion, Verdict};
use medlarpoint_wire::Readiness;

use crate::event::Event;
use crate::state::{Shared, TargetState, lock};

/// Time after which an address that accepted a connection is checked once more. A socket may
/// outlive the process that served it for a moment, for example if a supervisor holds it.
const RECHECK_DELAY: Duration = Duration::from_millis(150);
/// Limit on the calls that one log line names.
const MAX_LOGGED_CALLS: usize = 16;

/// A call that was handed over to the target. Dropping it before its response means that
/// the target may still run it.
#[derive(Debug)]
pub(crate) struct HandedOver {
    shared: Arc<Shared>,
    attempt: AttemptId,
    call: RunningCall,
    /// Number of the target's run that the call was handed over to.
    run: u64,
    ended: bool,
}

impl HandedOver {
    /// Records that a call is handed over, unless targets have crashed under it lately. Then
    /// returns the time after which it may run.
    pub(crate) fn new(
        shared: &Arc<Shared>,
        attempt: AttemptId,
        fingerprint: Fingerprint,
    ) -> Result<Self, Duration> {
        let call = {
            let now = shared.now();
            let mut suspects = lock(&shared.suspects);
            if let Verdict::Backoff(retry_after) = suspects.begin(now, fingerprint) {
                return Err(retry_after);
            }
            RunningCall { fingerprint, known: suspects.suspicion(fingerprint) }
        };
        if call.known.is_suspect() {
            shared.suspects_changed.notify_one();
        }
        let mut target_run = lock(&shared.target_run);
        target_run.begin(attempt, call);
        let run = target_run.number();
        Ok(Self { shared: Arc::clone(shared), attempt, call, run, ended: false })
    }

    /// Records that the target has answered the call.
    pub(crate) fn answer(mut self) {
        self.ended = true;
        let now = self.shared.now();
        lock(&self.shared.target_run).answer(now, self.attempt);
        let RunningCall { fingerprint, known } = self.call;
        let cleared = {
            let mut suspects = lock(&self.shared.suspects);
            let crashes = suspects.suspicion(fingerprint).crashes;
            suspects.on_response(now, fingerprint, known);
            (crashes > suspects.suspicion(fingerprint).crashes).then_some(crashes)
        };
        if let Some(crashes) = cleared {
            self.shared.suspects_changed.notify_one();
            self.shared.emit_call(&Event::SuspectCleared { call: fingerprint, crashes });
        }
    }

    /// Records that the target has not run the call.
    pub(crate) fn withdraw(mut self) {
        self.ended = true;
        lock(&self.shared.target_run).withdraw(self.attempt);
    }

    /// Returns whether the process that the call was handed over to has ended, after the
    /// connection to it broke.
    pub(crate) async fn has_target_ended(&self, target: &TargetState) -> bool {
        let shared = &self.shared;
        let broke_at = shared.now();
        // One connection tells for all calls whose connections broke at the same time.
        let mut accepted_at = shared.target_check.lock().await;
        if lock(&shared.target_run).number() != self.run {
            return true;
        }
        if *accepted_at >= broke_at {
            return false;
        }
        let checked_at = shared.now();
        if !shared.target_pool.is_refused(target.address).await {
            *accepted_at = checked_at;
            tokio::spawn(recheck(Arc::clone(shared), target.clone(), self.run));
            return false;
        }
        record_end(shared, target, self.run);
        take_out_of_service(shared, target);
        true
    }
}

impl Drop for HandedOver {
    fn drop(&mut self) {
        if !self.ended {
            let now = self.shared.now();
            lock(&self.shared.target_run).abandon(now, self.attempt);
        }
    }
}

/// Checks the address of the target again after [`RECHECK_DELAY`], if no call has been answered
/// or handed over since.
async fn recheck(shared: Arc<Shared>, target: TargetState, run: u64) {
    tokio::time::sleep(RECHECK_DELAY).await;
    let may_have_ended = {
        let target_run = lock(&shared.target_run);
        target_run.number() == run && target_run.may_have_ended()
    };
    if may_have_ended && shared.target_pool.is_refused(target.address).await {
        on_refused(&shared, &target);
    }
}

/// Records the end of the target's process if it refuses connections after that of a running
/// call broke. A full target that refuses connections still runs calls.
pub(crate) fn on_refused(shared: &Shared, target: &TargetState) {
    let ended_run = {
        let target_run = lock(&shared.target_run);
        target_run.may_have_ended().then(|| target_run.number())
    };
    if let Some(run) = ended_run {
        record_end(shared, target, run);
        take_out_of_service(shared, target);
    }
}

/// Records that another process has become the target. `previous` is the state of the
/// target before that.
pub(crate) fn on_replaced(shared: &Shared, previous: &TargetState) {
    if is_leaving(previous) {
        lock(&shared.target_run).replace();
        return;
    }
    let run = lock(&shared.target_run).number();
    record_end(shared, previous, run);
}

/// Records the end of a run of the target's process.
fn record_end(shared: &Shared, target: &TargetState, run: u64) {
    let end = {
        let now = shared.now();
        lock(&shared.target_run).end(now, run)
    };
    let Some(end) = end.filter(|end| !end.calls.is_empty() && !is_leaving(target)) else {
        return;
    };
    metrics::counter!("medlarpoint_target_ends_total").increment(1);
    log_end(shared, target, &end);
    let raised = {
        let now = shared.now();
        lock(&shared.suspects).on_run_end(now, &end)
    };
    shared.suspects_changed.notify_one();
    for (call, Suspicion { crashes, .. }) in raised {
        shared.emit_call(&Event::SuspectRaised { call, crashes });
    }
}

/// Returns whether a target has said that it leaves, so that its end is expected.
fn is_leaving(target: &TargetState) -> bool {
    target.is_leaving() || target.readiness == Readiness::Draining
}

/// Hands over no more calls to a target that refuses connections. The change is announced
/// with the next sweep, which also rejects the calls that wait for the target.
fn take_out_of_service(shared: &Shared, target: &TargetState) {
    let was_up = {
        let mut current = lock(&shared.target);
        let current = current.as_mut().filter(|current| current.is_same_process(target));
        current.is_some_and(|current| !std::mem::replace(&mut current.down, true))
    };
    if was_up {
        shared.target_changed.store(true, Ordering::Release);
        shared.emit(&Event::TargetDown { address: target.address });
    }
}

fn log_end(shared: &Shared, target: &TargetState, end: &RunEnd) {
    let instance = target.instance.as_ref().map(|known| known.report().instance.to_string());
    let named = end.calls.iter().take(MAX_LOGGED_CALLS);
    let named: Vec<String> = named.map(|call| call.fingerprint.to_string()).collect();
    shared.emit(&Event::TargetEnded {
        instance: instance.unwrap_or_default(),
        running: end.calls.len(),
        had_answered: end.had_answered,
        calls: named.join(" "),
    });
}
