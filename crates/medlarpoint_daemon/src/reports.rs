//! Which version is in force, told to the reporters of the data centre and
//! summed up by them.

use std::time::Duration;

use medlarpoint_config::pull::Rank;
use medlarpoint_membership::{Role, ranked};
use medlarpoint_model::{DataCentre, Vm};
use medlarpoint_wire::Body;

use crate::clock::wall_ms;
use crate::control::{Driver, ROLE_HOLDERS};
use crate::state::Control;

/// Time a new reporter collects reports before it sums up without all of them.
const REPORTER_WARMUP: Duration = Duration::from_secs(3);

impl Driver {
    /// Tells the reporters which version is in force here.
    pub(crate) fn send_reports(&self, control: &mut Control) {
        if !self.shared().lifecycle.is_ready() {
            return;
        }
        let now = self.shared().now();
        let version = control.replica.current().version;
        let place = control.detector.local_record().data_centre.clone();
        let live = control.detector.table().live_in(&place).map(|record| &record.vm);
        let reporters: Vec<Vm> =
            ranked(Role::Reporter, live, ROLE_HOLDERS).into_iter().cloned().collect();
        let me = control.detector.local_record().vm.clone();
        let at_ms = control.applied_ms;
        for vm in control.reporter.due(now, version, &reporters) {
            if vm == me {
                control.reporter.record(&me, version, at_ms);
                control.reporter.on_ack(&me, version);
                continue;
            }
            let Some(peer) = control.detector.table().get(&vm).map(|m| m.record.peer) else {
                continue;
            };
            self.send(control, peer, Body::Report { version, at_ms });
        }
    }

    /// Sums up the data centre, if this daemon is one of its reporters.
    pub(crate) fn summarize(&self, control: &mut Control) {
        let now = self.shared().now();
        if Self::role_rank(control, Role::Reporter) == Rank::Rest {
            control.reporter_since = None;
            return;
        }
        let since = *control.reporter_since.get_or_insert(now);
        let place: DataCentre = control.detector.local_record().data_centre.clone();
        let newest = control.replica.current().version;
        let warm = now.saturating_sub(since) >= REPORTER_WARMUP;
        let Control { detector, reporter, .. } = control;
        let live = detector.table().live_in(&place);
        let Some(summary) = reporter.summary(&place, live, newest, wall_ms()) else {
            return;
        };
        let all_known = summary.laggards.iter().all(|lag| lag.applied.is_some());
        if !warm && !all_known {
            return;
        }
        let known = detector.summaries().get(&place);
        let fresh = known.is_some_and(|known| {
            now.saturating_sub(known.renewed_at) < Duration::from_secs(1)
                && known.summary.version == summary.version
                && known.summary.behind == summary.behind
        });
        if !fresh {
            detector.merge_summary(&summary, now);
            self.handle_member_events(control);
        }
    }
}
