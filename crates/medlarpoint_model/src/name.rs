//! Validated names.

use std::borrow::Borrow;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Upper limit for the length of a name, in bytes.
const MAX_NAME_BYTES: usize = 63;

/// A lower-case name of letters, digits and inner hyphens, at most 63 bytes.
///
/// Clones share the text, so cloning is cheap.
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, JsonSchema)]
#[serde(try_from = "Arc<str>", into = "Arc<str>")]
#[schemars(transparent)]
pub struct Name(Arc<str>);

/// Error for a text that is not a valid [`Name`].
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{text:?} is not a name: use 1 to 63 of a-z, 0-9 and inner hyphens")]
pub struct InvalidName {
    /// The rejected text, truncated to a printable length.
    pub text: String,
}

impl Name {
    /// Returns the text of the name.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

fn is_valid(text: &str) -> bool {
    let edge_hyphen = text.starts_with('-') || text.ends_with('-');
    let allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && !edge_hyphen && text.bytes().all(allowed)
}

impl TryFrom<Arc<str>> for Name {
    type Error = InvalidName;

    fn try_from(text: Arc<str>) -> Result<Self, Self::Error> {
        if is_valid(&text) {
            return Ok(Self(text));
        }
        let text = text.chars().take(MAX_NAME_BYTES + 1).collect();
        Err(InvalidName { text })
    }
}

impl FromStr for Name {
    type Err = InvalidName;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Self::try_from(Arc::from(text))
    }
}

impl From<Name> for Arc<str> {
    fn from(name: Name) -> Self {
        name.0
    }
}

impl Borrow<str> for Name {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl fmt::Debug for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(&self.0, f)
    }
}

#[cfg(test)]
mod tests;
