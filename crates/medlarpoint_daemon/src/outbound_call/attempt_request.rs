//! The request that an attempt sends to the inbound proxy.

use std::time::Duration;

use http::{HeaderMap, HeaderName, HeaderValue, Request, Uri};
use medlarpoint_routing::{AttemptId, Destination};

use super::OutboundCall;
use crate::body::Body;
use crate::state::lock;
use crate::{header, inbound};

/// Headers that a caller may not set.
const SET_BY_PROXIES: [HeaderName; 5] =
    [header::SPILL, header::LEAVING, header::FINGERPRINT, header::SUSPICION, header::WORKSPACE];

impl OutboundCall {
    /// Builds the request of an attempt. `may_spill` permits a busy inbound proxy to reject it
    /// so that another serves it.
    pub(super) fn build_request(
        &self,
        attempt: AttemptId,
        destination: &Destination,
        body: Body,
        may_spill: bool,
    ) -> Request<Body> {
        let mut request = Request::new(body);
        *request.method_mut() = self.parts.method.clone();
        let path = self.parts.uri.path_and_query().cloned();
        *request.uri_mut() = path.map(Uri::from).unwrap_or_default();
        let headers = request.headers_mut();
        *headers = self.parts.headers.clone();
        for name in SET_BY_PROXIES {
            headers.remove(name);
        }
        if !headers.contains_key(http::header::HOST)
            && let Some(authority) = self.parts.uri.authority()
        {
            header::set(headers, http::header::HOST, authority.as_str());
        }
        let now = self.shared.now();
        let time_left = self.constraints.deadline.saturating_sub(now);
        header::set(headers, header::FLEET, self.shared.fleet().as_str());
        header::set(headers, header::ATTEMPT, &attempt.to_string());
        header::set(headers, header::BOOT, &destination.boot.to_string());
        header::set(headers, header::ROUTE, self.resolved.route.name.as_str());
        header::set(headers, header::DEADLINE_MS, &time_left.as_millis().to_string());
        if let Some(until) = self.constraints.useful_until {
            let useful_ms = until.saturating_sub(now).as_millis();
            header::set(headers, header::USEFUL_MS, &useful_ms.to_string());
        }
        header::set(headers, header::SERVICE, self.service.name.as_str());
        header::set(headers, header::RANK, &self.rank().to_string());
        if let Some(workspace) = &self.workspace {
            header::set(headers, header::WORKSPACE, workspace.name.as_str());
        }
        let retry = if self.constraints.repeatable { inbound::REPEATABLE } else { "no" };
        header::set(headers, header::RETRY, retry);
        self.set_fingerprint(now, headers);
        let leaving = lock(&self.shared.departures).leaving(now, &destination.vm);
        if let Some(process) = leaving {
            header::set(headers, header::LEAVING, &process);
        }
        if may_spill {
            headers.insert(header::SPILL, HeaderValue::from_static("yes"));
        }
        request
    }

    /// Returns the priority of the call: that of its workspace, or else of its route.
    fn rank(&self) -> u8 {
        let priority = self.workspace.as_ref().and_then(|workspace| workspace.priority);
        priority.unwrap_or(self.resolved.route.priority)
    }

    /// Names the call, and what is known of crashes under it.
    fn set_fingerprint(&self, now: Duration, headers: &mut HeaderMap) {
        let Some(fingerprint) = self.fingerprint else {
            return;
        };
        header::set(headers, header::FINGERPRINT, &fingerprint.to_string());
        let report = lock(&self.shared.suspects).report(now, fingerprint);
        if let Some(report) = report {
            header::set(headers, header::SUSPICION, &report.to_string());
        }
    }
}
