//! Prefix of a path, by which routes select calls.

use std::fmt;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Prefix of a call's path, compared byte by byte, without decoding.
///
/// A prefix that ends with `/` matches the paths that begin with it: `/a/` matches `/a/` and
/// `/a/b`, but not `/a`. Any other prefix matches whole segments: `/a` matches `/a`, `/a/` and
/// `/a/b`, but not `/ab`.
///
/// A prefix may be invalid until the configuration is checked, see [`Self::is_valid`].
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, JsonSchema)]
#[serde(transparent)]
pub struct PathPrefix(String);

impl PathPrefix {
    /// Creates a prefix as it is written in a configuration.
    pub fn new(text: impl Into<String>) -> Self {
        Self(text.into())
    }

    /// Returns the prefix as it is written.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Returns whether the prefix starts with `/` and holds no character that ends a path.
    pub fn is_valid(&self) -> bool {
        self.0.starts_with('/') && !self.0.contains(['?', '#', ' '])
    }

    /// Returns whether the prefix begins a path, which is given without its query.
    pub fn matches(&self, path: &str) -> bool {
        path.strip_prefix(&self.0)
            .is_some_and(|rest| self.0.ends_with('/') || rest.is_empty() || rest.starts_with('/'))
    }

    /// Returns the length in bytes. Of two prefixes that begin a path, the longer one is more
    /// specific.
    pub fn specificity(&self) -> usize {
        self.0.len()
    }
}

impl fmt::Display for PathPrefix {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

#[cfg(test)]
mod tests;
