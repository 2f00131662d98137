//! Admission of calls by the quota of their workspace.

use std::sync::Arc;
use std::time::Duration;

use http::{HeaderValue, Response, StatusCode};
use medlarpoint_model::{Name, Workspace};
use medlarpoint_routing::Outcome;
use medlarpoint_routing::quota::{Admission, MAX_WAIT, Token};

use crate::body::Body;
use crate::event::Event;
use crate::header;
use crate::outbound_response::{call_id, set_retry_after};
use crate::state::{Shared, lock};

/// Interval between log lines about a workspace that is at its quota.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// A call that the quota of its workspace admits. Its token counts as used unless it is
/// refunded: a call whose caller has disconnected may have run.
#[derive(Debug)]
pub(crate) struct Admitted {
    token: Option<(Arc<Workspace>, Token)>,
}

/// Reason for which a call was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum Cause {
    /// The quota is used up.
    AtQuota,
    /// No allocator responded in time.
    NoGrant,
}

/// A call that the quota of its workspace rejects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "rejected by the quota of the workspace ({cause}): retry after the time that `Retry-After` states"
)]
pub(crate) struct Rejected {
    cause: Cause,
    retry_after: Duration,
}

impl Admitted {
    /// Returns the token if the response says that the call has not run.
    pub(crate) fn settle(self, shared: &Shared, response: Response<Body>) -> Response<Body> {
        let outcome = header::parse(response.headers(), &header::OUTCOME);
        if outcome == Some(Outcome::NotRun) {
            self.refund(shared);
        }
        response
    }

    /// Returns the token of a call that has not run.
    pub(crate) fn refund(self, shared: &Shared) {
        if let Some((workspace, token)) = self.token {
            lock(&shared.quotas.purse).refund(shared.now(), &workspace.name, token);
            count_call(&workspace.name, "refunded");
        }
    }
}

impl Rejected {
    /// Returns the response to the caller. `fractional` selects a retry delay in fractions of
    /// a second.
    pub(crate) fn into_response(self, fractional: bool) -> Response<Body> {
        let mut response = Response::new(Body::full(format!("{self}\n").into()));
        *response.status_mut() = StatusCode::TOO_MANY_REQUESTS;
        let headers = response.headers_mut();
        header::set(headers, header::OUTCOME, Outcome::NotRun.into());
        header::set(headers, header::POINT, self.cause.into());
        set_retry_after(headers, self.retry_after, fractional);
        response
    }
}

/// Ends the wait of a call when it is dropped, also if the caller has disconnected.
struct Waiting<'a> {
    shared: &'a Shared,
    workspace: &'a Name,
    /// Whether the call still waits.
    armed: bool,
}

impl Waiting<'_> {
    fn give_up(mut self) -> Duration {
        self.armed = false;
        lock(&self.shared.quotas.purse).give_up(self.shared.now(), self.workspace)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if self.armed {
            lock(&self.shared.quotas.purse).give_up(self.shared.now(), self.workspace);
        }
    }
}

/// Admits a call, or logs that it is rejected.
pub(crate) async fn admit_call(
    shared: &Shared,
    workspace: Option<&Arc<Workspace>>,
    id: Option<&HeaderValue>,
) -> Result<Admitted, Rejected> {
    let Some(workspace) = workspace else {
        return Ok(Admitted { token: None });
    };
    let admission = admit(shared, workspace).await;
    if let Err(rejected) = &admission {
        record_rejection(shared, &workspace.name, *rejected, call_id(id));
    }
    admission
}

/// Takes a token for a call of a workspace. Waits for a grant if there is none.
pub(crate) async fn admit(
    shared: &Shared,
    workspace: &Arc<Workspace>,
) -> Result<Admitted, Rejected> {
    let Some(quota) = workspace.quota else {
        return Ok(Admitted { token: None });
    };
    let quotas = &shared.quotas;
    let arrived = shared.now();
    let deadline = shared.clock.instant(arrived + MAX_WAIT);
    let granted = |token| Ok(Admitted { token: Some((Arc::clone(workspace), token)) });
    let rejected = |retry_after| Err(Rejected { cause: Cause::AtQuota, retry_after });
    match lock(&quotas.purse).admit(arrived, &workspace.name, quota) {
        Admission::Granted(token) => return granted(token),
        Admission::Rejected(retry_after) => return rejected(retry_after),
        Admission::Wait => {}
    }
    let mut waiting = Waiting { shared, workspace: &workspace.name, armed: true };
    loop {
        // Created before the purse is checked, so that no grant is missed in between.
        let grant_arrives = quotas.granted.notified();
        let decision = lock(&quotas.purse).resume(shared.now(), &workspace.name);
        waiting.armed = decision == Admission::Wait;
        match decision {
            Admission::Granted(token) => return granted(token),
            Admission::Rejected(retry_after) => return rejected(retry_after),
            Admission::Wait => quotas.wanted.notify_one(),
        }
        if tokio::time::timeout_at(deadline, grant_arrives).await.is_err() {
            return Err(Rejected { cause: Cause::NoGrant, retry_after: waiting.give_up() });
        }
    }
}

fn record_rejection(shared: &Shared, workspace: &Name, rejected: Rejected, id: String) {
    let (now, quotas) = (shared.now(), &shared.quotas);
    let retry_ms = rejected.retry_after.as_millis() as u64;
    count_call(workspace, rejected.cause.into());
    let view = quotas.view.load();
    let allocator = view.holder(workspace).map_or("-".to_owned(), |record| record.vm.to_string());
    let (workspace, cause) = (workspace.clone(), rejected.cause.to_string());
    let call =
        Event::CallOverQuota { id, workspace: workspace.clone(), cause, retry_ms, allocator };
    shared.emit_call(&call);
    if rejected.cause != Cause::AtQuota {
        return;
    }
    let due = {
        let mut unlogged = lock(&quotas.unlogged);
        let entry = unlogged.entry(workspace.clone()).or_default();
        entry.calls += 1;
        let is_due = entry.logged_at.is_none_or(|at| now.saturating_sub(at) >= LOG_INTERVAL);
        is_due.then(|| {
            entry.logged_at = Some(now);
            std::mem::take(&mut entry.calls)
        })
    };
    if let Some(rejected) = due {
        shared.emit(&Event::WorkspaceAtQuota { workspace, rejected, retry_ms });
    }
}

fn count_call(workspace: &Name, event: &'static str) {
    let workspace = workspace.to_string();
    metrics::counter!("medlarpoint_quota_calls_total", "workspace" => workspace, "event" => event)
        .increment(1);
}
