//! Calls that crash each target that runs them, in the model of [`super`].

use medlarpoint_model::Fingerprint;
use medlarpoint_routing::{
    AttemptId, AttemptResult, Completion, FailurePoint, RunningCall, Verdict,
};

use super::step::TargetOutcome;
use super::{CallMutation, FATAL, Message, Packet, World};

impl World {
    /// Records that a target begins to run an attempt. Returns whether it may.
    pub(super) fn begin_run<P: CallMutation>(
        &mut self,
        inbound: usize,
        attempt: AttemptId,
    ) -> bool {
        let Some(sent) = self.sent.get(&attempt) else {
            return true;
        };
        let fingerprint = self.requests[sent.request].fingerprint;
        let target = &mut self.inbound[inbound];
        let verdict = target.suspects.begin(self.now, fingerprint);
        if let (Verdict::Backoff(retry_after), false) = (verdict, P::FORGET_CRASHES) {
            self.reject::<P>(inbound, attempt, retry_after);
            return false;
        }
        let known = target.suspects.suspicion(fingerprint);
        target.target_run.begin(attempt, RunningCall { fingerprint, known });
        if fingerprint == FATAL {
            self.oracle.record_fatal_run(self.now, attempt);
        }
        self.collect_reports(inbound);
        true
    }

    fn reject<P: CallMutation>(
        &mut self,
        inbound: usize,
        attempt: AttemptId,
        retry_after: std::time::Duration,
    ) {
        let result = AttemptResult::NotRun { point: FailurePoint::CrashBackoff, retry_after };
        let packet = Packet::Response { result, origin: None };
        self.network.push(Message { attempt, inbound, packet });
        let now = self.now;
        let actions = self.inbound[inbound].intake.completed(now, attempt, Completion::NotRun);
        self.execute_intake_actions::<P>(inbound, actions);
    }

    /// Records how a run that did not crash the target has ended.
    pub(super) fn end_run(
        &mut self,
        inbound: usize,
        attempt: AttemptId,
        fingerprint: Fingerprint,
        outcome: TargetOutcome,
    ) {
        let (now, target) = (self.now, &mut self.inbound[inbound]);
        match outcome {
            TargetOutcome::Responded => {
                target.target_run.answer(now, attempt);
                let known = target.suspects.suspicion(fingerprint);
                target.suspects.on_response(now, fingerprint, known);
            }
            TargetOutcome::Rejected => target.target_run.withdraw(attempt),
            TargetOutcome::ConnectionLost => target.target_run.abandon(now, attempt),
        }
        self.collect_reports(inbound);
    }

    /// Ends the process of a target: every attempt that it was running is lost.
    pub(super) fn crash<P: CallMutation>(&mut self, inbound: usize) {
        let now = self.now;
        let target = &mut self.inbound[inbound];
        let lost = std::mem::take(&mut target.running);
        let number = target.target_run.number();
        let mut end = target.target_run.end(now, number).unwrap_or_default();
        // The model is about calls, not about targets that have never answered one.
        end.had_answered = true;
        target.suspects.on_run_end(now, &end);
        self.oracle.record_crash(&lost);
        self.collect_reports(inbound);
        for attempt in lost {
            let Some(sent) = self.sent.get(&attempt) else {
                continue;
            };
            let request = self.requests[sent.request].clone();
            self.oracle.record_run(&request);
            let result = AttemptResult::Unknown(FailurePoint::TargetCrashed);
            let packet = Packet::Response { result, origin: None };
            self.network.push(Message { attempt, inbound, packet });
            let intake = &mut self.inbound[inbound].intake;
            let actions = intake.completed(now, attempt, Completion::Lost);
            self.execute_intake_actions::<P>(inbound, actions);
        }
    }

    fn collect_reports(&mut self, inbound: usize) {
        let reports = self.inbound[inbound].suspects.take_changed(self.now);
        self.reports.extend(reports);
    }

    /// Delivers what has been reported since the last time to every daemon.
    pub(super) fn deliver_reports(&mut self) {
        let reports = std::mem::take(&mut self.reports);
        let inbound = self.inbound.iter_mut().map(|inbound| &mut inbound.suspects);
        for suspects in inbound.chain(&mut self.outbound_suspects) {
            for (call, report) in &reports {
                suspects.merge(self.now, *call, *report);
            }
        }
        self.oracle.record_reports_delivered(self.now);
    }
}
