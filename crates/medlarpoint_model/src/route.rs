//! Routes: which service answers a call, and under which promises.

use indexmap::IndexMap;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::Name;

/// A rule that sends matching calls to a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Name of the route, unique among routes.
    pub name: Name,
    /// Service that answers the matching calls.
    pub service: Name,
    /// Which calls match; an empty matcher matches all.
    #[serde(default, rename = "match")]
    pub matcher: Matcher,
    /// Scheduling class of the calls.
    #[serde(default)]
    pub class: Class,
    /// Whether a call may run more than once without harm.
    #[serde(default)]
    pub repeatable: bool,
    /// How an idempotency key on a non-repeatable call is honoured.
    #[serde(default, rename = "once")]
    pub idempotency: Idempotency,
    /// Longest time a call may take, in milliseconds.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
    /// Services that share the calls by weight in place of `service`; when
    /// set, the first of them is `service`.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub split: Vec<WeightedService>,
    /// Most targets that may be given one call.
    #[serde(default = "default_attempts")]
    pub attempts: u32,
    /// Rank of the calls when slots are short; 0 is served first.
    #[serde(default = "default_priority")]
    pub priority: u8,
    /// Time within which an answer is of full use to the caller, in
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

/// A service's part of the calls of a route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "Share")]
pub struct WeightedService {
    /// The service.
    pub service: Name,
    /// Its part, in proportion to the sum of all weights.
    pub weight: u32,
}

/// The conditions of a route. All that are set must hold.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Matcher {
    /// Host the call must name, without port; compared without case.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub host: Option<String>,
    /// Path prefix on a segment boundary, starting with `/`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub path_prefix: Option<String>,
    /// Accepted methods in upper case; empty accepts all.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub methods: Vec<String>,
    /// Headers, in lower case, that must have exactly these values.
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
    /// Work that callers wait for.
    #[default]
    Short,
    /// Work many times longer than the rest, limited to a share of the slots.
    Long,
}

/// How an idempotency key is honoured.
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
    /// A record in the platform's store is created before the call is handed
    /// to a target, so a key runs at most once across the whole fleet.
    #[default]
    Store,
    /// Only the inbound proxy that first saw the key remembers it: no store
    /// write, and no promise once that proxy is gone.
    Proxy,
}
