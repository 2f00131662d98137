//! Tells the end of the target's process from a broken connection.

use std::sync::Arc;

use medlarpoint_model::Fingerprint;
use medlarpoint_routing::{AttemptId, RunEnd};
use medlarpoint_wire::Readiness;

use crate::event::Event;
use crate::state::{Shared, TargetState, lock};

/// Limit on the calls that one log line names.
const MAX_LOGGED_CALLS: usize = 16;

/// A call that was handed over to the target. Dropping it before its response means that
/// the target may still run it.
#[derive(Debug)]
pub(crate) struct HandedOver {
    shared: Arc<Shared>,
    attempt: AttemptId,
    /// Number of the target's run that the call was handed over to.
    run: u64,
    ended: bool,
}

impl HandedOver {
    pub(crate) fn new(shared: &Arc<Shared>, attempt: AttemptId, fingerprint: Fingerprint) -> Self {
        let mut target_run = lock(&shared.target_run);
        target_run.begin(attempt, fingerprint);
        let run = target_run.number();
        Self { shared: Arc::clone(shared), attempt, run, ended: false }
    }

    /// Records that the target has answered the call.
    pub(crate) fn answer(mut self) {
        self.ended = true;
        let now = self.shared.now();
        lock(&self.shared.target_run).answer(now, self.attempt);
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
        // One connection tells for all calls whose connections broke at the same time.
        let _turn = shared.target_check.lock().await;
        if lock(&shared.target_run).number() != self.run {
            return true;
        }
        if !shared.target_pool.is_refused(target.address).await {
            return false;
        }
        record_end(shared, target, self.run);
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

/// Records that another process has become the target. `previous` is the state of the
/// target before that.
pub(crate) fn on_replaced(shared: &Shared, previous: &TargetState) {
    let run = lock(&shared.target_run).number();
    record_end(shared, previous, run);
}

/// Records the end of a run of the target's process.
fn record_end(shared: &Shared, target: &TargetState, run: u64) {
    let end = {
        let now = shared.now();
        lock(&shared.target_run).end(now, run)
    };
    let is_expected = target.is_leaving() || target.readiness == Readiness::Draining;
    let Some(end) = end.filter(|end| !end.calls.is_empty() && !is_expected) else {
        return;
    };
    metrics::counter!("medlarpoint_target_ends_total").increment(1);
    log_end(shared, target, &end);
}

fn log_end(shared: &Shared, target: &TargetState, end: &RunEnd) {
    let instance = target.instance.as_ref().map(|known| known.report().instance.to_string());
    let named = end.calls.iter().take(MAX_LOGGED_CALLS);
    let named: Vec<String> = named.map(Fingerprint::to_string).collect();
    shared.emit(&Event::TargetEnded {
        instance: instance.unwrap_or_default(),
        running: end.calls.len(),
        had_answered: end.had_answered,
        calls: named.join(" "),
    });
}
