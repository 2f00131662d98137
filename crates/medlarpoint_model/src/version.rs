//! Configuration versions.

use std::fmt;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Number of a configuration version; 0 is the empty configuration.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    JsonSchema,
)]
#[serde(transparent)]
pub struct Version(pub u64);

impl Version {
    /// The empty configuration.
    pub const ZERO: Self = Self(0);

    /// Returns the version that directly follows this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "v{}", self.0)
    }
}
