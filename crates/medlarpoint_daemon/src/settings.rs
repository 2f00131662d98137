//! Settings as written in the file (`Options`) and as validated (`Settings`).

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use medlarpoint_model::{DataCentre, Name, Region, Vm};
use medlarpoint_platform::bounds::Bounds;
use medlarpoint_platform::store::Endpoint;
use medlarpoint_routing::{Link, NetworkCosts, RequestLink, Strategy};
use schemars::JsonSchema;
use serde::Deserialize;
use strum::IntoEnumIterator;

use crate::log;

/// Margin between the end of a graceful shutdown and the time at which the
/// platform kills the process.
const KILL_MARGIN: Duration = Duration::from_millis(400);
/// Rate from which a link sends large responses in a few milliseconds, so that
/// they need no shaping, in megabits per second.
const NARROW_MEGABITS: f64 = 100.0;

/// Settings as written in the file.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Options {
    /// Name of the fleet; messages of other fleets are rejected.
    pub fleet: Name,
    /// Name of this VM, unique in the fleet.
    pub vm: Vm,
    /// Data centre of this VM.
    pub data_centre: DataCentre,
    /// Region of the data centre.
    pub region: Region,
    /// Service of this VM's target, named as the caller in calls to other targets.
    #[serde(default)]
    pub service: Option<Name>,
    /// Owner of the configuration: `commits` made through the operators' API,
    /// or the platform's `operator`, which publishes complete versions in the store.
    #[serde(default)]
    pub source: Source,
    /// Limits of the installation as `name=number` pairs joined by commas, in the
    /// platform's format.
    #[serde(default)]
    pub bounds: String,
    /// Peer addresses of other daemons, used to start while the store is down.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Maximum time that a graceful shutdown waits for calls in flight, in
    /// milliseconds.
    #[serde(default = "default_drain_timeout_ms")]
    pub drain_timeout_ms: u64,
    /// Number of worker threads; 0 means one per core.
    #[serde(default = "default_workers")]
    pub workers: usize,
    /// Addresses to listen on.
    pub listen: ListenOptions,
    /// The platform's store.
    pub store: StoreOptions,
    /// The operators' API.
    #[serde(default)]
    pub api: ApiOptions,
    /// Logs.
    #[serde(default)]
    pub log: LogOptions,
    /// Limits on connections and requests of callers.
    #[serde(default)]
    pub limits: LimitOptions,
    /// Failure detection.
    #[serde(default)]
    pub membership: MembershipOptions,
    /// Selection of targets.
    #[serde(default)]
    pub routing: RoutingOptions,
}

fn default_drain_timeout_ms() -> u64 {
    30_000
}

fn default_workers() -> usize {
    2
}

/// Owner of the configuration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, JsonSchema, strum::Display)]
#[serde(rename_all = "lowercase")]
#[strum(serialize_all = "lowercase")]
pub enum Source {
    /// Commits made through the operators' API.
    #[default]
    Commits,
    /// The platform's operator, which publishes complete versions in the store.
    Operator,
}

/// Addresses to listen on. Peers must be able to connect to each of them.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ListenOptions {
    /// Address for calls from callers.
    pub calls: SocketAddr,
    /// Address for calls from other daemons to the target of this VM.
    pub inbound: SocketAddr,
    /// Address for control messages from other daemons, over TCP and UDP.
    pub peer: SocketAddr,
    /// Address for the operators' API and the target's registration.
    pub api: SocketAddr,
    /// Address for the platform's readiness probe.
    #[serde(default)]
    pub ready: Option<SocketAddr>,
    /// Address for reports from the target of this VM.
    #[serde(default)]
    pub control: Option<SocketAddr>,
}

/// The platform's store.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct StoreOptions {
    /// Addresses of the store servers.
    pub endpoints: Vec<SocketAddr>,
    /// Maximum duration of a store operation, in milliseconds.
    #[serde(default = "default_store_timeout_ms")]
    pub timeout_ms: u64,
}

fn default_store_timeout_ms() -> u64 {
    1_000
}

/// The operators' API.
#[derive(Clone, Debug, Default, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ApiOptions {
    /// File that holds the bearer token for writes.
    #[serde(default)]
    pub token_file: Option<PathBuf>,
    /// Environment variable that holds the bearer token for writes.
    #[serde(default)]
    pub token_env: Option<String>,
}

/// Logs.
#[derive(Clone, Debug, Default, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct LogOptions {
    /// Format of the log lines: `text`, `json` or `off`.
    #[serde(default)]
    pub format: log::Format,
}

/// Limits on connections and requests of callers.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct LimitOptions {
    /// Maximum number of concurrent connections from callers.
    pub connections: usize,
    /// Number of idle connections from callers above which a connection is closed
    /// after its response.
    pub idle_connections: usize,
    /// Maximum size of a request head, in bytes; at least 8,192.
    pub head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: u64,
    /// Maximum time to wait for a request head, in milliseconds.
    pub head_timeout_ms: u64,
    /// Maximum pause within a request body, in milliseconds.
    pub body_pause_ms: u64,
    /// Number of unfinished requests that are read ahead on a connection of a caller.
    /// Repeatable ones among them run at once. 1: each request is read after the response
    /// to the one before.
    pub pipelined_requests: usize,
    /// Rate of this VM's link, in megabits per second. Large responses are
    /// shaped to this rate so that they do not delay small ones. If absent, 0 or at
    /// least 100, responses are not shaped.
    pub link_megabits: Option<f64>,
}

impl Default for LimitOptions {
    fn default() -> Self {
        Self {
            connections: 4_096,
            idle_connections: 256,
            head_bytes: 32 * 1024,
            body_bytes: 1 << 30,
            head_timeout_ms: 10_000,
            body_pause_ms: 10_000,
            pipelined_requests: 1,
            link_megabits: None,
        }
    }
}

/// Failure detection.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct MembershipOptions {
    /// Time between probes, in milliseconds.
    pub period_ms: u64,
    /// Time that a suspected member has to respond, in milliseconds.
    pub suspicion_ms: u64,
}

impl Default for MembershipOptions {
    fn default() -> Self {
        Self { period_ms: 1_000, suspicion_ms: 3_000 }
    }
}

/// Selection of targets.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct RoutingOptions {
    /// Strategy of target selection. `expected-wait` is for production; `random`,
    /// `round-robin`, `least-requests` and `expected-wait-breaker` are baselines
    /// for measurements.
    pub strategy: String,
    /// Cost of a kilobyte sent to another data centre of the region, expressed as
    /// additional wait in milliseconds.
    pub region_ms_per_kb: u64,
    /// Cost of a kilobyte sent to another region, expressed as additional wait in
    /// milliseconds.
    pub remote_ms_per_kb: u64,
}

impl Default for RoutingOptions {
    fn default() -> Self {
        let costs = NetworkCosts::default();
        Self {
            strategy: Strategy::default().to_string(),
            region_ms_per_kb: costs.region_per_kilobyte.as_millis() as u64,
            remote_ms_per_kb: costs.remote_per_kilobyte.as_millis() as u64,
        }
    }
}

/// Validated settings.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Options as written, each within its valid range.
    pub options: Options,
    /// Addresses of the store servers.
    pub endpoints: Vec<Endpoint>,
    /// Maximum duration of a store operation.
    pub store_timeout: Duration,
    /// Maximum duration of a graceful shutdown. If `bounds` is set, it follows
    /// from the platform's grace period instead of `drain_timeout_ms`.
    pub drain_timeout: Duration,
    /// Limits of the installation, set by the platform.
    pub bounds: Bounds,
    /// Strategy of target selection.
    pub strategy: Strategy,
    /// Costs of traffic to other data centres.
    pub network_costs: NetworkCosts,
    /// Bearer token for writes; without one, writes are accepted only from this
    /// machine.
    pub token: Option<String>,
}

/// Error in the settings.
#[derive(Debug, thiserror::Error)]
pub enum InvalidSettings {
    /// The file cannot be read.
    #[error("cannot read {path}: {reason}")]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        reason: std::io::Error,
    },
    /// The file is not TOML, or a key is unknown, missing or malformed.
    #[error("line {line}: {message}")]
    Malformed {
        /// Line number of the error, starting at 1.
        line: usize,
        /// Description of the error, with the key.
        message: String,
    },
    /// A value is out of range.
    #[error("{key}: {message}")]
    Value {
        /// Key of the setting.
        key: &'static str,
        /// Description of the error and how to fix it.
        message: String,
    },
}

impl Options {
    /// Parses the text of a settings file.
    pub fn parse(text: &str) -> Result<Self, InvalidSettings> {
        let document =
            toml::Deserializer::parse(text).map_err(|error| malformed(text, "", &error))?;
        serde_path_to_error::deserialize(document).map_err(|error| {
            let key = error.path().to_string();
            malformed(text, &key, error.inner())
        })
    }

    /// Validates every value.
    pub fn resolve(self) -> Result<Settings, InvalidSettings> {
        let listen = &self.listen;
        for (key, address) in [
            ("listen.calls", listen.calls),
            ("listen.inbound", listen.inbound),
            ("listen.peer", listen.peer),
            ("listen.api", listen.api),
        ] {
            if address.ip().is_unspecified() {
                let message = format!(
                    "{address} is not an address that peers can connect to: set a specific one"
                );
                return Err(InvalidSettings::Value { key, message });
            }
        }
        if self.store.endpoints.is_empty() {
            return Err(value("store.endpoints", "is empty: set at least one server"));
        }
        range("store.timeout_ms", self.store.timeout_ms, 10, 60_000)?;
        range("drain_timeout_ms", self.drain_timeout_ms, 0, 3_600_000)?;
        range("workers", self.workers as u64, 0, 1_024)?;
        range("limits.connections", self.limits.connections as u64, 1, 1_000_000)?;
        range("limits.idle_connections", self.limits.idle_connections as u64, 0, 1_000_000)?;
        range("limits.head_bytes", self.limits.head_bytes as u64, 8_192, 1 << 20)?;
        range("limits.head_timeout_ms", self.limits.head_timeout_ms, 100, 600_000)?;
        if !self.limits.link_megabits.is_none_or(|rate| (0.0..=1e6).contains(&rate)) {
            return Err(value("limits.link_megabits", "is outside 0 to 1000000"));
        }
        range("limits.pipelined_requests", self.limits.pipelined_requests as u64, 1, 256)?;
        range("limits.body_pause_ms", self.limits.body_pause_ms, 100, 600_000)?;
        range("membership.period_ms", self.membership.period_ms, 50, 60_000)?;
        range("membership.suspicion_ms", self.membership.suspicion_ms, 100, 600_000)?;
        range("routing.region_ms_per_kb", self.routing.region_ms_per_kb, 0, 10_000)?;
        range("routing.remote_ms_per_kb", self.routing.remote_ms_per_kb, 0, 10_000)?;
        let strategy = self.routing.strategy.parse().map_err(|_| {
            let names: Vec<String> = Strategy::iter().map(|known| known.to_string()).collect();
            let message = format!("{:?} is unknown: use one of {names:?}", self.routing.strategy);
            InvalidSettings::Value { key: "routing.strategy", message }
        })?;
        let token = read_token(&self.api)?;
        let bounds = Bounds::parse(&self.bounds).map_err(|error| InvalidSettings::Value {
            key: "bounds",
            message: error.to_string(),
        })?;
        let drain_timeout = if self.bounds.is_empty() {
            Duration::from_millis(self.drain_timeout_ms)
        } else {
            bounds.grace.saturating_sub(KILL_MARGIN)
        };
        Ok(Settings {
            endpoints: self.store.endpoints.iter().copied().map(Endpoint).collect(),
            store_timeout: Duration::from_millis(self.store.timeout_ms),
            drain_timeout,
            bounds,
            strategy,
            network_costs: NetworkCosts {
                region_per_kilobyte: Duration::from_millis(self.routing.region_ms_per_kb),
                remote_per_kilobyte: Duration::from_millis(self.routing.remote_ms_per_kb),
                ..NetworkCosts::default()
            },
            token,
            options: self,
        })
    }
}

impl Settings {
    /// Returns whether large responses must be shaped to the rate of the link.
    pub fn has_narrow_link(&self) -> bool {
        self.options.limits.link_megabits.is_some_and(|rate| rate > 0.0 && rate < NARROW_MEGABITS)
    }

    /// Returns the link over which responses are sent.
    pub fn response_link(&self) -> Link {
        Link::for_responses(self.narrow_megabits())
    }

    /// Returns the link over which request bodies are received.
    pub fn request_link(&self) -> RequestLink {
        RequestLink::new(self.narrow_megabits())
    }

    /// Returns the rate of the link in megabits per second; `None` if it is no
    /// bottleneck.
    fn narrow_megabits(&self) -> Option<f64> {
        self.options.limits.link_megabits.filter(|_| self.has_narrow_link())
    }

    /// Reads and validates a settings file.
    pub fn read(path: &Path) -> Result<Self, InvalidSettings> {
        let unreadable = |reason| InvalidSettings::Unreadable { path: path.to_owned(), reason };
        let text = std::fs::read_to_string(path).map_err(unreadable)?;
        Options::parse(&text)?.resolve()
    }
}

fn malformed(text: &str, key: &str, error: &toml::de::Error) -> InvalidSettings {
    let start = error.span().map_or(0, |span| span.start);
    let line = text.get(..start).map_or(1, |before| before.matches('\n').count() + 1);
    let has_key = !key.is_empty() && key != ".";
    let message =
        if has_key { format!("{key}: {}", error.message()) } else { error.message().to_owned() };
    InvalidSettings::Malformed { line, message }
}

fn value(key: &'static str, message: &str) -> InvalidSettings {
    InvalidSettings::Value { key, message: message.to_owned() }
}

fn range(key: &'static str, found: u64, low: u64, high: u64) -> Result<(), InvalidSettings> {
    if (low..=high).contains(&found) {
        return Ok(());
    }
    Err(InvalidSettings::Value { key, message: format!("{found} is outside {low} to {high}") })
}

fn read_token(api: &ApiOptions) -> Result<Option<String>, InvalidSettings> {
    let token = match (&api.token_file, &api.token_env) {
        (None, None) => return Ok(None),
        (Some(_), Some(_)) => {
            return Err(value(
                "api.token_env",
                "cannot be set together with api.token_file: remove one of them",
            ));
        }
        (Some(path), None) => std::fs::read_to_string(path)
            .map_err(|reason| InvalidSettings::Unreadable { path: path.clone(), reason })?,
        (None, Some(name)) => std::env::var(name)
            .map_err(|_| value("api.token_env", "names an environment variable that is not set"))?,
    };
    let token = token.trim().to_owned();
    if token.len() < 16 {
        return Err(value(
            "api.token_file",
            "holds a token of fewer than 16 bytes: use a longer one",
        ));
    }
    Ok(Some(token))
}

#[cfg(test)]
mod tests;
