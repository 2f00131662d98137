//! Reports the version in force to the data centre's reporters, which summarize the
//! reports of its members.

use std::time::Duration;

use medlarpoint_config::pull::Rank;
use medlarpoint_membership::{Role, ranked};
use medlarpoint_model::{DataCentre, Vm};
use medlarpoint_wire::Body;

use crate::clock::wall_ms;
use crate::control::Driver;
use crate::roles;
use crate::state::Control;

/// Time for which a new reporter collects reports before it publishes a summary that
/// lacks some members.
const REPORTER_WARMUP: Duration = Duration::from_secs(3);

impl Driver {
    /// Sends the version in force here to the data centre's reporters.
    pub(crate) fn send_reports(&self, control: &mut Control) {
        if !self.shared().lifecycle.is_ready() {
            return;
        }
        let now = self.shared().now();
        let version = control.replica.current().version;
        let data_centre = control.detector.local_record().data_centre.clone();
        let live = control.detector.table().live_in(&data_centre).map(|record| &record.vm);
        let reporters: Vec<Vm> =
            ranked(Role::Reporter, live, roles::HOLDERS).into_iter().cloned().collect();
        let own_vm = control.detector.local_record().vm.clone();
        let at_ms = control.applied_ms;
        for vm in control.reporter.due(now, version, &reporters) {
            if vm == own_vm {
                control.reporter.record(&own_vm, version, at_ms);
                control.reporter.on_ack(&own_vm, version);
                continue;
            }
            let Some(peer) = control.detector.table().get(&vm).map(|m| m.record.peer) else {
                continue;
            };
            self.send(control, peer, Body::Report { version, at_ms });
        }
    }

    /// Summarizes the reports of the data centre, if this daemon is one of its reporters.
    pub(crate) fn summarize(&self, control: &mut Control) {
        let now = self.shared().now();
        if roles::rank_in(control, Role::Reporter) == Rank::Rest {
            control.reporter_since = None;
            return;
        }
        let since = *control.reporter_since.get_or_insert(now);
        let data_centre: DataCentre = control.detector.local_record().data_centre.clone();
        let newest = control.replica.current().version;
        let warmed_up = now.saturating_sub(since) >= REPORTER_WARMUP;
        let Control { detector, reporter, .. } = control;
        let live = detector.table().live_in(&data_centre);
        let Some(summary) = reporter.summary(&data_centre, live, newest, wall_ms()) else {
            return;
        };
        let all_reported = summary.laggards.iter().all(|laggard| laggard.applied.is_some());
        if !warmed_up && !all_reported {
            return;
        }
        let published = detector.summaries().get(&data_centre);
        let is_current = published.is_some_and(|published| {
            now.saturating_sub(published.renewed_at) < Duration::from_secs(1)
                && published.summary.version == summary.version
                && published.summary.behind == summary.behind
        });
        if !is_current {
            detector.merge_summary(&summary, now);
            self.handle_member_events(control);
        }
    }
}
