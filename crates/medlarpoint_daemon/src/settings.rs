//! Settings: as written (`Options`) and as checked (`Settings`).

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use medlarpoint_model::{DataCentre, Name, Region, Vm};
use medlarpoint_platform::bounds::Bounds;
use medlarpoint_platform::store::Endpoint;
use medlarpoint_routing::{Link, NetworkCosts, Strategy};
use schemars::JsonSchema;
use serde::Deserialize;
use strum::IntoEnumIterator;

use crate::log;

/// Time before the platform kills a stopping process by which it has ended.
const KILL_MARGIN: Duration = Duration::from_millis(400);
/// Links of this rate and more send large answers in a few milliseconds and
/// need no turns, in megabits a second.
const NARROW_MEGABITS: f64 = 100.0;

/// Settings as written in the file.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Options {
    /// Name of the fleet; daemons of other fleets are refused.
    pub fleet: Name,
    /// Name of this VM, unique in the fleet.
    pub vm: Vm,
    /// Data centre of this VM.
    pub data_centre: DataCentre,
    /// Region of the data centre.
    pub region: Region,
    /// Service of this VM's target, told to the targets that its calls reach.
    #[serde(default)]
    pub service: Option<Name>,
    /// Who owns the configuration: `commits` made through the operators' API,
    /// or the platform's `operator`, who publishes whole versions in the store.
    #[serde(default)]
    pub source: Source,
    /// Figures of the installation, as the platform writes them.
    #[serde(default)]
    pub bounds: String,
    /// Peer addresses of other daemons, for a start while the store is down.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Longest time a planned stop waits for calls in flight, in milliseconds.
    #[serde(default = "default_drain_timeout_ms")]
    pub drain_timeout_ms: u64,
    /// Worker threads; 0 takes one per core.
    #[serde(default = "default_workers")]
    pub workers: usize,
    /// Listening addresses.
    pub listen: ListenOptions,
    /// The platform's store.
    pub store: StoreOptions,
    /// The operators' API.
    #[serde(default)]
    pub api: ApiOptions,
    /// Logs.
    #[serde(default)]
    pub log: LogOptions,
    /// Limits on what a caller may send.
    #[serde(default)]
    pub limits: LimitOptions,
    /// Failure detection.
    #[serde(default)]
    pub membership: MembershipOptions,
    /// Choice of targets.
    #[serde(default)]
    pub routing: RoutingOptions,
}

fn default_drain_timeout_ms() -> u64 {
    30_000
}

fn default_workers() -> usize {
    2
}

/// Who owns the configuration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, JsonSchema, strum::Display)]
#[serde(rename_all = "lowercase")]
#[strum(serialize_all = "lowercase")]
pub enum Source {
    /// Commits made through the operators' API.
    #[default]
    Commits,
    /// The platform's operator, who publishes whole versions in the store.
    Operator,
}

/// Listening addresses. Each has to be an address that peers can reach.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ListenOptions {
    /// For callers.
    pub calls: SocketAddr,
    /// For calls from other daemons to this VM's target.
    pub inbound: SocketAddr,
    /// For control messages of other daemons, over TCP and UDP.
    pub peer: SocketAddr,
    /// For operators and the target's announcements.
    pub api: SocketAddr,
    /// For the platform's question whether callers are served.
    #[serde(default)]
    pub ready: Option<SocketAddr>,
    /// For the reports of the target beside this daemon.
    #[serde(default)]
    pub control: Option<SocketAddr>,
}

/// The platform's store.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct StoreOptions {
    /// Addresses of the store's servers.
    pub endpoints: Vec<SocketAddr>,
    /// Longest time a call may take, in milliseconds.
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
    /// `text`, `json` or `off`.
    #[serde(default)]
    pub format: log::Format,
}

/// Limits on what a caller may send.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct LimitOptions {
    /// Connections from callers at a time.
    pub connections: usize,
    /// Size of the request head, in bytes; at least 8,192.
    pub head_bytes: usize,
    /// Size of a request body, in bytes.
    pub body_bytes: u64,
    /// Longest time to wait for the head of a request, in milliseconds.
    pub head_timeout_ms: u64,
    /// Longest pause within a request body, in milliseconds.
    pub body_pause_ms: u64,
    /// Rate of this VM's link, in megabits a second. Large answers are sent at
    /// this rate, so that short ones pass; without it, or with 0, as fast as
    /// they come.
    pub link_megabits: Option<f64>,
}

impl Default for LimitOptions {
    fn default() -> Self {
        Self {
            connections: 4_096,
            head_bytes: 32 * 1024,
            body_bytes: 1 << 30,
            head_timeout_ms: 10_000,
            body_pause_ms: 10_000,
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
    /// Time a suspected member has to answer, in milliseconds.
    pub suspicion_ms: u64,
}

impl Default for MembershipOptions {
    fn default() -> Self {
        Self { period_ms: 1_000, suspicion_ms: 3_000 }
    }
}

/// Choice of targets.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct RoutingOptions {
    /// `expected-wait`; the others are baselines for measurements: `random`,
    /// `round-robin`, `least-requests`, `expected-wait-breaker`.
    pub strategy: String,
    /// What a kilobyte that crosses to another data centre of the region is
    /// worth, as a longer wait, in milliseconds.
    pub region_ms_per_kb: u64,
    /// The same for a kilobyte that crosses to another region.
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

/// Checked settings.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The options, each within its range.
    pub options: Options,
    /// Store servers.
    pub endpoints: Vec<Endpoint>,
    /// Longest time a store call may take.
    pub store_timeout: Duration,
    /// Longest time a planned stop waits.
    pub drain_timeout: Duration,
    /// Figures of the installation.
    pub bounds: Bounds,
    /// How targets are chosen.
    pub strategy: Strategy,
    /// What it costs to cross to other data centres.
    pub network_costs: NetworkCosts,
    /// Bearer token for writes; without one, writes are taken only from this machine.
    pub token: Option<String>,
}

/// A fault in the settings.
#[derive(Debug, thiserror::Error)]
pub enum InvalidSettings {
    /// The file cannot be read.
    #[error("cannot read {path}: {reason}")]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The system's reason.
        reason: std::io::Error,
    },
    /// The file is not TOML, or a key is unknown, missing or malformed.
    #[error("line {line}: {message}")]
    Malformed {
        /// Line of the fault, from 1.
        line: usize,
        /// What is wrong, with the key.
        message: String,
    },
    /// A value is out of range.
    #[error("{key}: {message}")]
    Value {
        /// The key.
        key: &'static str,
        /// What is wrong and how to mend it.
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

    /// Checks every value.
    pub fn resolve(self) -> Result<Settings, InvalidSettings> {
        let listen = &self.listen;
        for (key, address) in [
            ("listen.calls", listen.calls),
            ("listen.inbound", listen.inbound),
            ("listen.peer", listen.peer),
            ("listen.api", listen.api),
        ] {
            if address.ip().is_unspecified() {
                let message = format!("{address} is no address that peers can reach: name one");
                return Err(InvalidSettings::Value { key, message });
            }
        }
        if self.store.endpoints.is_empty() {
            return Err(value("store.endpoints", "is empty: name at least one server"));
        }
        range("store.timeout_ms", self.store.timeout_ms, 10, 60_000)?;
        range("drain_timeout_ms", self.drain_timeout_ms, 0, 3_600_000)?;
        range("workers", self.workers as u64, 0, 1_024)?;
        range("limits.connections", self.limits.connections as u64, 1, 1_000_000)?;
        range("limits.head_bytes", self.limits.head_bytes as u64, 8_192, 1 << 20)?;
        range("limits.head_timeout_ms", self.limits.head_timeout_ms, 100, 600_000)?;
        if !self.limits.link_megabits.is_none_or(|rate| (0.0..=1e6).contains(&rate)) {
            return Err(value("limits.link_megabits", "is outside 0 to 1000000"));
        }
        range("limits.body_pause_ms", self.limits.body_pause_ms, 100, 600_000)?;
        range("membership.period_ms", self.membership.period_ms, 50, 60_000)?;
        range("membership.suspicion_ms", self.membership.suspicion_ms, 100, 600_000)?;
        range("routing.region_ms_per_kb", self.routing.region_ms_per_kb, 0, 10_000)?;
        range("routing.remote_ms_per_kb", self.routing.remote_ms_per_kb, 0, 10_000)?;
        let strategy = self.routing.strategy.parse().map_err(|_| {
            let names: Vec<String> = Strategy::iter().map(|known| known.to_string()).collect();
            let message = format!("{:?} is not one of {names:?}", self.routing.strategy);
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
    /// Tells whether large answers have to be sent at the rate of the link.
    pub fn has_narrow_link(&self) -> bool {
        self.options.limits.link_megabits.is_some_and(|rate| rate > 0.0 && rate < NARROW_MEGABITS)
    }

    /// Returns the link over which answers are sent.
    pub fn link(&self) -> Link {
        Link::new(self.options.limits.link_megabits.filter(|_| self.has_narrow_link()))
    }

    /// Reads and checks a settings file.
    pub fn read(path: &Path) -> Result<Self, InvalidSettings> {
        let unreadable = |reason| InvalidSettings::Unreadable { path: path.to_owned(), reason };
        let text = std::fs::read_to_string(path).map_err(unreadable)?;
        Options::parse(&text)?.resolve()
    }
}

fn malformed(text: &str, key: &str, error: &toml::de::Error) -> InvalidSettings {
    let start = error.span().map_or(0, |span| span.start);
    let line = text.get(..start).map_or(1, |before| before.matches('\n').count() + 1);
    let named = !key.is_empty() && key != ".";
    let message =
        if named { format!("{key}: {}", error.message()) } else { error.message().to_owned() };
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
            return Err(value("api.token_env", "set either token_file or token_env, not both"));
        }
        (Some(path), None) => std::fs::read_to_string(path)
            .map_err(|reason| InvalidSettings::Unreadable { path: path.clone(), reason })?,
        (None, Some(name)) => std::env::var(name)
            .map_err(|_| value("api.token_env", "names a variable that is not set"))?,
    };
    let token = token.trim().to_owned();
    if token.len() < 16 {
        return Err(value("api.token_file", "holds a token of less than 16 bytes"));
    }
    Ok(Some(token))
}

#[cfg(test)]
mod tests;
