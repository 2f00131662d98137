//! Receipt of large request bodies, before an attempt requests a slot.

use std::time::Duration;

use super::{Action, Intake, PendingAttempt, Phase, RETRY_AFTER, ticket};
use crate::{Admission, AttemptId, AttemptInfo, Decision, Rejection};

impl<A: Clone> Intake<A> {
    /// Handles the receipt of a complete request body: the attempt now requests a slot.
    pub fn body_received(&mut self, now: Duration, attempt: AttemptId) -> Vec<Action<A>> {
        let Some(pending) = self.pending.get_mut(&attempt) else {
            return Vec::new();
        };
        if !matches!(pending.phase, Phase::Receiving { .. }) {
            return Vec::new();
        }
        pending.phase = Phase::Queued;
        self.scheduler.request_link_mut().body_ended(pending.info.body_bytes);
        // The body has arrived here, so another target would have to receive it again.
        let info = AttemptInfo { body_bytes: 0, may_spill: false, ..pending.info.clone() };
        if self.draining || now >= info.deadline {
            return self.end_unstarted(now, attempt);
        }
        let (admission, displaced) = self.scheduler.arrive(now, ticket(now, &info));
        let mut actions = self.apply(now, displaced.into_iter().collect());
        match admission {
            Admission::Run => actions.extend(self.start(now, attempt)),
            Admission::Queued | Admission::Receive(_) => {}
            Admission::Rejected(rejection, retry_after) => {
                let decision = Decision::Rejected(attempt, rejection, retry_after);
                actions.extend(self.apply(now, vec![decision]));
            }
        }
        actions
    }

    /// Handles a request body that broke off.
    pub fn body_lost(&mut self, now: Duration, attempt: AttemptId) -> Vec<Action<A>> {
        match self.pending.get(&attempt) {
            Some(PendingAttempt { phase: Phase::Receiving { .. }, .. }) => {
                self.end_unstarted(now, attempt)
            }
            _ => Vec::new(),
        }
    }

    /// Ends an attempt that holds no slot and is not queued for one.
    pub(super) fn end_unstarted(&mut self, now: Duration, attempt: AttemptId) -> Vec<Action<A>> {
        let decision = Decision::Rejected(attempt, Rejection::NoTarget, RETRY_AFTER);
        self.apply(now, vec![decision])
    }

    /// Releases the link of an attempt whose request body will not be complete.
    pub(super) fn release_link(&mut self, now: Duration, pending: &PendingAttempt) {
        let Phase::Receiving { start } = pending.phase else {
            return;
        };
        self.scheduler.request_link_mut().body_ended(pending.info.body_bytes);
        if now < start {
            self.scheduler.request_link_mut().release(pending.info.body_bytes);
        }
    }
}
