//! Content digest of a configuration.

use std::fmt;

use indexmap::IndexMap;
use schemars::JsonSchema;
use serde::de::{Error, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::{Entry, Key};

/// Length of a digest, in bytes.
const DIGEST_BYTES: usize = 16;

/// A truncated BLAKE3 hash over all entries in key order.
///
/// Two configurations with the same digest hold the same resources.
/// [`Entry::changed`] is not hashed, because daemons that skipped different
/// intermediate versions may disagree on it.
#[derive(Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, JsonSchema)]
#[schemars(transparent)]
pub struct Digest(#[schemars(with = "String")] [u8; DIGEST_BYTES]);

/// Writes hexadecimal text in human-readable formats and raw bytes in others.
impl Serialize for Digest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            return serializer.collect_str(self);
        }
        serializer.serialize_bytes(&self.0)
    }
}

impl<'de> Deserialize<'de> for Digest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if deserializer.is_human_readable() {
            let text = String::deserialize(deserializer)?;
            let value = u128::from_str_radix(&text, 16).map_err(D::Error::custom)?;
            return Ok(Self(value.to_be_bytes()));
        }
        deserializer.deserialize_bytes(BytesVisitor)
    }
}

struct BytesVisitor;

impl Visitor<'_> for BytesVisitor {
    type Value = Digest;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{DIGEST_BYTES} bytes")
    }

    fn visit_bytes<E: Error>(self, bytes: &[u8]) -> Result<Digest, E> {
        let bytes = bytes.try_into().map_err(|_| E::invalid_length(bytes.len(), &self))?;
        Ok(Digest(bytes))
    }
}

impl Digest {
    /// Computes the digest of `entries`, which must be sorted by key.
    pub(crate) fn of(entries: &IndexMap<Key, Entry>) -> Self {
        let mut hasher = blake3::Hasher::new();
        for (key, entry) in entries {
            let bytes = rmp_serde::to_vec(&(key, &entry.resource)).unwrap_or_default();
            hasher.update(&bytes);
        }
        let mut out = [0; DIGEST_BYTES];
        out.copy_from_slice(&hasher.finalize().as_bytes()[..DIGEST_BYTES]);
        Self(out)
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}
