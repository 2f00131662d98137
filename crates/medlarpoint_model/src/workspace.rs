//! Workspaces: the customers on whose behalf calls are made, their keys and quotas.

use std::fmt;
use std::str::FromStr;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::Name;

/// A customer on whose behalf calls are made.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Name of the workspace, unique among workspaces.
    pub name: Name,
    /// Digests of the keys that identify the calls of the workspace. No other workspace
    /// has any of them.
    #[serde(default)]
    pub keys: Vec<KeyDigest>,
    /// Priority of its calls, which takes precedence over that of the route; 0 is served
    /// first.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub priority: Option<u8>,
    /// Limit on its calls over all daemons together.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub quota: Option<Quota>,
}

/// Name of the workspace that stands for an empty list of workspaces.
const PLACEHOLDER: &str = "none";

impl Workspace {
    /// Returns the workspace that stands for an empty list of workspaces. It has no keys, so
    /// that callers need a key and none is valid; a version without any workspace needs none.
    pub fn placeholder() -> Self {
        let name = PLACEHOLDER.parse().expect("a valid literal");
        Self { name, keys: Vec::new(), priority: None, quota: None }
    }

    /// Returns whether the workspace stands for an empty list.
    pub fn is_placeholder(&self) -> bool {
        self.name.as_str() == PLACEHOLDER && self.keys.is_empty()
    }
}

/// Limit on the calls of a workspace over all daemons together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Quota {
    /// Sustained rate, in calls per 1,000 seconds. The unit permits rates below one call
    /// per second; it is not zero.
    pub calls_per_1000_s: u64,
    /// Number of calls that may exceed the rate for a moment.
    #[serde(default)]
    pub burst: u64,
}

impl Quota {
    /// Returns the sustained rate in calls per second.
    pub fn per_second(self) -> f64 {
        self.calls_per_1000_s as f64 / 1_000.0
    }
}

/// Digest of a key. The key itself is never stored, logged or sent to another daemon.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, JsonSchema)]
#[serde(try_from = "String", into = "String")]
#[schemars(transparent)]
pub struct KeyDigest(#[schemars(with = "String")] u128);

/// Error for a text that is not the digest of a key.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("not the digest of a key: write the first 32 hexadecimal digits of its BLAKE3 hash")]
pub struct InvalidKeyDigest;

impl KeyDigest {
    /// Computes the digest of a key.
    pub fn of(key: &[u8]) -> Self {
        let hash = blake3::hash(key);
        let bytes: [u8; 16] = std::array::from_fn(|index| hash.as_bytes()[index]);
        Self(u128::from_be_bytes(bytes))
    }
}

impl FromStr for KeyDigest {
    type Err = InvalidKeyDigest;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let is_digest = text.len() == 32 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if !is_digest {
            return Err(InvalidKeyDigest);
        }
        u128::from_str_radix(text, 16).map(Self).map_err(|_| InvalidKeyDigest)
    }
}

impl TryFrom<String> for KeyDigest {
    type Error = InvalidKeyDigest;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<KeyDigest> for String {
    fn from(digest: KeyDigest) -> Self {
        digest.to_string()
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}
