//! HTTP headers that the proxies exchange with each other and with callers.

use std::str::FromStr;
use std::time::Duration;

use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use medlarpoint_model::Name;
use medlarpoint_routing::Load;

/// Name of the sender's fleet.
pub(crate) const FLEET: HeaderName = HeaderName::from_static("medlarpoint-fleet");
/// Id of an attempt.
pub(crate) const ATTEMPT: HeaderName = HeaderName::from_static("medlarpoint-attempt");
/// Id of the attempt that a query is about; marks the request as a query.
pub(crate) const QUERY: HeaderName = HeaderName::from_static("medlarpoint-query");
/// Time since the attempt of a query was sent, in milliseconds.
pub(crate) const AGE_MS: HeaderName = HeaderName::from_static("medlarpoint-age-ms");
/// Boot id of the daemon process that an attempt is meant for.
pub(crate) const BOOT: HeaderName = HeaderName::from_static("medlarpoint-boot");
/// Route of the call.
pub(crate) const ROUTE: HeaderName = HeaderName::from_static("medlarpoint-route");
/// Service that the call is for. The VM may have been given a target of another
/// service since.
pub(crate) const SERVICE: HeaderName = HeaderName::from_static("medlarpoint-service");
/// Rank of the call when slots are short; 0 is served first.
pub(crate) const RANK: HeaderName = HeaderName::from_static("medlarpoint-rank");
/// Time for which a response is of full use to the caller, in milliseconds; 0 if
/// that time has passed.
pub(crate) const USEFUL_MS: HeaderName = HeaderName::from_static("medlarpoint-useful-ms");
/// Present if a busy inbound proxy may reject the call so that another serves it.
pub(crate) const SPILL: HeaderName = HeaderName::from_static("medlarpoint-spill");
/// Tenant of the call; set by the caller.
pub(crate) const TENANT: HeaderName = HeaderName::from_static("medlarpoint-tenant");
/// Workspace of the call, set by the outbound proxy that has identified the caller.
pub(crate) const WORKSPACE: HeaderName = HeaderName::from_static("medlarpoint-workspace");
/// Time left for the call, in milliseconds; a caller may set it.
pub(crate) const DEADLINE_MS: HeaderName = HeaderName::from_static("medlarpoint-deadline-ms");
/// Retries of the call: `no` if this layer may not retry it, as when a layer above
/// does so itself; `repeatable` between proxies on a route declared repeatable.
pub(crate) const RETRY: HeaderName = HeaderName::from_static("medlarpoint-retry");
/// Number of outbound proxies that a chain of calls has passed through.
pub(crate) const DEPTH: HeaderName = HeaderName::from_static("medlarpoint-depth");
/// Idempotency key of the caller.
pub(crate) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Outcome of the call: `ran`, `not-run` or `unknown`.
pub(crate) const OUTCOME: HeaderName = HeaderName::from_static("medlarpoint-outcome");
/// Point at which the call failed, or the reason why it was not routed.
pub(crate) const POINT: HeaderName = HeaderName::from_static("medlarpoint-point");
/// Status of the attempt of a query, as the inbound proxy knows it.
pub(crate) const KNOWN: HeaderName = HeaderName::from_static("medlarpoint-known");
/// Delay before the call should be retried, in milliseconds.
pub(crate) const RETRY_AFTER_MS: HeaderName = HeaderName::from_static("medlarpoint-retry-after-ms");
/// Time that the target took for the call, in milliseconds.
pub(crate) const TOOK_MS: HeaderName = HeaderName::from_static("medlarpoint-took-ms");
/// Load of the target: running, queued, slots, duration of work on its VM in percent
/// of the usual, milliseconds until its link has sent the responses of all running
/// and queued calls, and milliseconds until it has received the request bodies admitted
/// so far.
pub(crate) const LOAD: HeaderName = HeaderName::from_static("medlarpoint-load");
/// Fingerprint of the call, set by the outbound proxy if it has read the request body.
pub(crate) const FINGERPRINT: HeaderName = HeaderName::from_static("medlarpoint-fingerprint");
/// What the sender knows of crashes under the call: acquittals, crashes in a row and the
/// time since the last, in milliseconds.
pub(crate) const SUSPICION: HeaderName = HeaderName::from_static("medlarpoint-suspicion");
/// Time that the route usually takes at the targets of the service, in milliseconds, as the
/// outbound proxy has seen it.
pub(crate) const EXPECTED_MS: HeaderName = HeaderName::from_static("medlarpoint-expected-ms");
/// Process of the target that has said that it leaves, by its start time and id: in a
/// response, the one that the inbound proxy knows of; in an attempt, the one that the
/// outbound proxy knows of.
pub(crate) const LEAVING: HeaderName = HeaderName::from_static("medlarpoint-leaving");
/// VM whose daemon holds the claim of an idempotency key.
pub(crate) const CLAIM_VM: HeaderName = HeaderName::from_static("medlarpoint-claim-vm");
/// Boot id of the daemon process that holds the claim of an idempotency key.
pub(crate) const CLAIM_BOOT: HeaderName = HeaderName::from_static("medlarpoint-claim-boot");
/// VM that sent the response.
pub(crate) const VM: HeaderName = HeaderName::from_static("medlarpoint-vm");
/// Configuration version that the call was routed by.
pub(crate) const VERSION: HeaderName = HeaderName::from_static("medlarpoint-version");

/// Hop-by-hop headers, which are never forwarded (RFC 9110, section 7.6.1), and `Expect`,
/// since each proxy asks for the body itself.
const HOP_BY_HOP: [HeaderName; 9] = [
    http::header::CONNECTION,
    http::header::EXPECT,
    HeaderName::from_static("keep-alive"),
    http::header::PROXY_AUTHENTICATE,
    http::header::PROXY_AUTHORIZATION,
    http::header::TE,
    http::header::TRAILER,
    http::header::TRANSFER_ENCODING,
    http::header::UPGRADE,
];

/// Returns whether a message comes from a daemon of `fleet`.
pub(crate) fn is_from_fleet(headers: &HeaderMap, fleet: &Name) -> bool {
    headers.get(&FLEET).is_some_and(|found| found.as_bytes() == fleet.as_str().as_bytes())
}

/// Parses a header value; returns `None` if it is missing or malformed.
pub(crate) fn parse<T: FromStr>(headers: &HeaderMap, name: &HeaderName) -> Option<T> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

/// Parses a header value that is a number of milliseconds.
pub(crate) fn millis(headers: &HeaderMap, name: &HeaderName) -> Option<Duration> {
    parse(headers, name).map(Duration::from_millis)
}

/// Sets a header, unless `text` is not a valid header value.
pub(crate) fn set(headers: &mut HeaderMap, name: HeaderName, text: &str) {
    if let Ok(value) = HeaderValue::from_str(text) {
        headers.insert(name, value);
    }
}

/// Returns the time for which the other end keeps an idle connection, from the
/// `Keep-Alive` header.
pub(crate) fn keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let mut fields = text.split(',').filter_map(|field| field.split_once('='));
    let (_, value) = fields.find(|(name, _)| name.trim().eq_ignore_ascii_case("timeout"))?;
    value.trim().parse().ok().map(Duration::from_secs)
}

/// Returns whether a response announces a body that its status does not allow. Bytes that
/// arrive behind it belong to no response.
pub(crate) fn announces_unusable_body(status: StatusCode, headers: &HeaderMap) -> bool {
    if status != StatusCode::NO_CONTENT && status != StatusCode::NOT_MODIFIED {
        return false;
    }
    let length = headers.get(http::header::CONTENT_LENGTH);
    headers.contains_key(http::header::TRANSFER_ENCODING)
        || length.is_some_and(|length| length.as_bytes() != b"0")
}

/// Removes the hop-by-hop headers, including those that `Connection` names.
pub(crate) fn strip_hop_by_hop(headers: &mut HeaderMap) {
    if let Some(connection) = headers.remove(http::header::CONNECTION) {
        let named = connection.to_str().unwrap_or_default().split(',');
        let named: Vec<HeaderName> = named.filter_map(|n| n.trim().parse().ok()).collect();
        for name in named {
            headers.remove(name);
        }
    }
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
}

/// Sets the load header.
pub(crate) fn set_load(headers: &mut HeaderMap, load: Load) {
    let Load { running, queued, slots, pace_percent, link_ms, receive_ms } = load;
    let text = format!("{running},{queued},{slots},{pace_percent},{link_ms},{receive_ms}");
    set(headers, LOAD, &text);
}

/// Parses the load header; the last three fields count as zero if they are missing.
pub(crate) fn load(headers: &HeaderMap) -> Option<Load> {
    let text = headers.get(&LOAD)?.to_str().ok()?;
    let mut parts = text.split(',').map(str::parse::<u32>);
    let mut next = || parts.next()?.ok();
    let (running, queued, slots) = (next()?, next()?, next()?);
    let pace_percent = next().unwrap_or_default();
    let (link_ms, receive_ms) = (next().unwrap_or_default(), next().unwrap_or_default());
    Some(Load { running, queued, slots, pace_percent, link_ms, receive_ms })
}
