//! Policies: limits, budgets and weights.

use indexmap::IndexMap;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::{Name, WorkspaceName};

/// Limits and budgets for calls to a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// Name of the policy, unique among policies.
    pub name: Name,
    /// Maximum share of a target's slots that calls of class `long` may occupy, in
    /// percent.
    pub long_share_percent: u8,
    /// Maximum number of queued calls per slot of the target.
    pub queue_per_slot: u16,
    /// Maximum number of retries, in percent of first attempts.
    pub retry_budget_percent: u8,
    /// Maximum number of hedged attempts, in percent of first attempts.
    pub hedge_budget_percent: u8,
    /// Ignored. Earlier versions raised the usable slots of a new target over this time, in
    /// milliseconds; now the setting `routing.target_pace` decides.
    pub ramp_ms: u64,
    /// Weight of each workspace in the queue; workspaces not listed have weight 1.
    #[serde(skip_serializing_if = "IndexMap::is_empty")]
    pub tenant_weights: IndexMap<WorkspaceName, u16>,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            name: "default".parse::<Name>().expect("a valid literal"),
            long_share_percent: 50,
            queue_per_slot: 8,
            retry_budget_percent: 10,
            hedge_budget_percent: 5,
            ramp_ms: 2_000,
            tenant_weights: IndexMap::new(),
        }
    }
}
