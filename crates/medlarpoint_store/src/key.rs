//! Keys of the store.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

/// Upper limit for the length of a key, in bytes.
const MAX_KEY_BYTES: usize = 200;

/// A store key: segments of `a-z`, `0-9`, `-` and `.`, joined by slashes.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key(Arc<str>);

/// Error for a text that is not a store key.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error(
    "{0:?} is not a store key: use 1 to {MAX_KEY_BYTES} of a-z, 0-9, '-', '.' and inner slashes"
)]
pub struct InvalidKey(String);

impl Key {
    /// Returns the text of the key.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl FromStr for Key {
    type Err = InvalidKey;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let allowed =
            |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || matches!(b, b'-' | b'.' | b'/');
        let edge_slash = text.starts_with('/') || text.ends_with('/');
        let fits = !text.is_empty() && text.len() <= MAX_KEY_BYTES;
        if !fits || edge_slash || !text.bytes().all(allowed) {
            return Err(InvalidKey(text.to_owned()));
        }
        Ok(Self(Arc::from(text)))
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
