//! Tokens of workspaces with a quota, as daemons lend them to each other.

use medlarpoint_model::Name;
use serde::{Deserialize, Serialize};

/// Unused tokens of an earlier grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaReturn {
    /// Number of the request that the tokens were granted for.
    #[serde(rename = "q")]
    pub seq: u64,
    /// Number of tokens.
    #[serde(rename = "n")]
    pub tokens: u32,
}

/// What a daemon wants of one workspace.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaWant {
    /// Name of the workspace.
    #[serde(rename = "w")]
    pub workspace: Name,
    /// Number of tokens that are asked for.
    #[serde(rename = "n", default)]
    pub tokens: u32,
    /// Tokens that are given back.
    #[serde(rename = "r", default, skip_serializing_if = "Vec::is_empty")]
    pub returned: Vec<QuotaReturn>,
}

/// Tokens of one workspace that are lent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaLoan {
    /// Name of the workspace.
    #[serde(rename = "w")]
    pub workspace: Name,
    /// Number of tokens that are lent.
    #[serde(rename = "n")]
    pub tokens: u32,
    /// Time until there is room again, in milliseconds, if fewer tokens are lent than were
    /// asked for.
    #[serde(rename = "m", default, skip_serializing_if = "Option::is_none")]
    pub retry_ms: Option<u64>,
}
