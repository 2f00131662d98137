//! Routes: which service handles a call, and with which guarantees.

use indexmap::IndexMap;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::{Name, PathPrefix};

/// A rule that sends matching calls to a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Name of the route, unique among routes.
    pub name: Name,
    /// Service that handles the matching calls.
    pub service: Name,
    /// Conditions on a call; an empty matcher accepts every call.
    #[serde(default, rename = "match")]
    pub matcher: Matcher,
    /// Scheduling class of the calls.
    #[serde(default)]
    pub class: Class,
    /// Whether a call can safely run more than once.
    #[serde(default)]
    pub repeatable: bool,
    /// Where the idempotency key of a non-repeatable call is recorded.
    #[serde(default, rename = "once")]
    pub idempotency: Idempotency,
    /// Longest time a call may take, in milliseconds.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
    /// Services among which the calls are divided by weight, instead of
    /// `service` alone. If set, its first service is `service`.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub split: Vec<WeightedService>,
    /// Maximum number of targets to which one call may be sent.
    #[serde(default = "default_attempts")]
    pub attempts: u32,
    /// Priority of the calls when slots are scarce; 0 is served first.
    #[serde(default = "default_priority")]
    pub priority: u8,
    /// Whether calls need no key of a workspace.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub public: bool,
    /// Latency up to which a response has its full value for the caller, in
    /// milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub target_latency_ms: Option<u64>,
}

impl Route {
    /// Returns a route that sends every call to `service`.
    pub fn new(name: Name, service: Name) -> Self {
        Self {
            name,
            service,
            matcher: Matcher::default(),
            class: Class::default(),
            repeatable: false,
            idempotency: Idempotency::default(),
            deadline_ms: default_deadline_ms(),
            split: Vec::new(),
            attempts: default_attempts(),
            priority: default_priority(),
            public: false,
            target_latency_ms: None,
        }
    }
}

fn default_deadline_ms() -> u64 {
    5_000
}

fn default_attempts() -> u32 {
    3
}

fn default_priority() -> u8 {
    1
}

/// A service with its weight in the split of a route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "Share")]
pub struct WeightedService {
    /// Service that receives the calls.
    pub service: Name,
    /// Share of the calls, in proportion to the sum of all weights.
    pub weight: u32,
}

/// Conditions under which a route applies to a call. All that are set must hold.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Matcher {
    /// Host of the call, without port; compared case-insensitively.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub host: Option<String>,
    /// Prefix of the path, starting with `/`. With a `/` at its end it matches the paths that
    /// begin with it, without one it matches whole path segments.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub path_prefix: Option<PathPrefix>,
    /// Accepted methods in upper case; empty accepts all.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub methods: Vec<String>,
    /// Headers that must have exactly these values; names in lower case.
    #[serde(default, skip_serializing_if = "IndexMap::is_empty")]
    pub headers: IndexMap<String, String>,
}

/// Scheduling class of a call.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    JsonSchema,
    strum::Display,
    strum::EnumString,
    strum::EnumIter,
    strum::IntoStaticStr,
)]
#[serde(rename_all = "lowercase")]
#[strum(serialize_all = "lowercase")]
pub enum Class {
    /// Calls whose callers wait for the response.
    #[default]
    Short,
    /// Calls that run many times longer than others; limited to a share of the
    /// slots.
    Long,
}

/// Where idempotency keys are recorded.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    JsonSchema,
    strum::Display,
    strum::EnumString,
)]
#[serde(rename_all = "lowercase")]
#[schemars(rename = "Once")]
#[strum(serialize_all = "lowercase")]
pub enum Idempotency {
    /// In the platform's store, before the call is handed to a target. A key
    /// runs at most once across the fleet.
    #[default]
    Store,
    /// Only in the inbound proxy that first received the key. Needs no store
    /// write, and guarantees nothing once that proxy has stopped.
    Proxy,
}
