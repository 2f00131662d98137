//! Selects the targets of one call for its state machine.

use std::sync::Mutex;
use std::time::Duration;

use medlarpoint_model::{Fingerprint, Name, Vm};
use medlarpoint_routing::rollout::Choice;
use medlarpoint_routing::{
    AttemptId, CallInfo, Destination, IdempotencyKey, Selector, Suspects, Verdict,
};

use crate::state::{ServiceState, lock};

/// Selects targets for one call and spends the budgets of its service.
pub(crate) struct TargetSelector<'a> {
    pub(crate) service: &'a ServiceState,
    pub(crate) suspects: &'a Mutex<Suspects>,
    pub(crate) route: Name,
    pub(crate) body_bytes: usize,
    pub(crate) fingerprint: Option<Fingerprint>,
    pub(crate) key: Option<IdempotencyKey>,
    /// Whether a target has been selected before for this call.
    pub(crate) has_picked: bool,
}

impl Selector for TargetSelector<'_> {
    fn pick(&mut self, now: Duration, exclude: &[Vm], busy: &[Vm]) -> Option<Destination> {
        let is_first = !std::mem::replace(&mut self.has_picked, true);
        let choice = lock(&self.service.split).choose(now, is_first, self.key.is_some());
        let mut picker = lock(&self.service.picker);
        if let Some(key) = self.key {
            return picker.pick_keyed(choice, key, exclude);
        }
        let call = CallInfo { route: &self.route, body_bytes: self.body_bytes };
        let destination = picker.pick_from(choice, now, &call, exclude, busy);
        if destination.is_none() && choice == Choice::Canary {
            return picker.pick_from(Choice::Old, now, &call, exclude, busy);
        }
        destination
    }

    fn locate(&mut self, _now: Duration, vm: &Vm) -> Option<Destination> {
        let is_permitted = lock(&self.service.split).permits(vm);
        if is_permitted { lock(&self.service.picker).locate(vm) } else { None }
    }

    fn spend_retry(&mut self) -> bool {
        lock(&self.service.retries).withdraw()
    }

    fn spend_hedge(&mut self) -> bool {
        lock(&self.service.hedges).withdraw()
    }

    fn crash_backoff(&mut self, now: Duration) -> Option<Duration> {
        match lock(self.suspects).verdict(now, self.fingerprint?) {
            Verdict::Run => None,
            Verdict::Backoff(retry_after) => Some(retry_after),
        }
    }

    fn new_attempt_id(&mut self) -> AttemptId {
        AttemptId(rand::random())
    }
}
