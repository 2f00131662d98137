//! Digest over the whole content of a configuration.

use std::fmt;

use indexmap::IndexMap;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::{Entry, Key};

/// Length of a digest, in bytes.
const DIGEST_BYTES: usize = 16;

/// A truncated BLAKE3 hash over all entries in key order.
///
/// Two configurations with the same digest hold the same resources, each last
/// changed in the same version.
#[derive(
    Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, JsonSchema,
)]
#[serde(transparent)]
pub struct Digest([u8; DIGEST_BYTES]);

impl Digest {
    /// Computes the digest of `entries`, which must be sorted by key.
    pub(crate) fn of(entries: &IndexMap<Key, Entry>) -> Self {
        let mut hasher = blake3::Hasher::new();
        for pair in entries {
            let bytes = rmp_serde::to_vec(&pair).unwrap_or_default();
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
