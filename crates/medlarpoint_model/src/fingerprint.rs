//! Identity of a call across its arrivals.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Length of the hash that a fingerprint keeps, in bytes.
const FINGERPRINT_BYTES: usize = 16;

/// Truncated BLAKE3 hash of what makes a call the same call when it arrives again: who
/// calls, what is called, and the body. The id of the call and its deadline are not part
/// of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(pub u128);

/// Body of a call, as far as it is known before the call is handed over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyIdentity<'a> {
    /// The complete body.
    Bytes(&'a [u8]),
    /// A body that is passed on as it arrives, by its declared length.
    Stream(Option<u64>),
}

/// Parts of a call that its fingerprint covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallIdentity<'a> {
    /// Tenant and credentials of the caller.
    pub caller: [&'a [u8]; 2],
    /// Host that is called.
    pub host: &'a [u8],
    /// Method of the request.
    pub method: &'a [u8],
    /// Path and query of the request.
    pub path: &'a [u8],
    /// Body of the request.
    pub body: BodyIdentity<'a>,
}

impl CallIdentity<'_> {
    /// Returns the fingerprint of the call.
    pub fn fingerprint(&self) -> Fingerprint {
        let mut hasher = blake3::Hasher::new();
        let [tenant, credentials] = self.caller;
        for part in [tenant, credentials, self.host, self.method, self.path] {
            // The length keeps parts apart that are equal when joined.
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        match self.body {
            BodyIdentity::Bytes(bytes) => hasher.update(b"bytes").update(bytes),
            BodyIdentity::Stream(None) => hasher.update(b"stream"),
            BodyIdentity::Stream(Some(length)) => {
                hasher.update(b"length").update(&length.to_le_bytes())
            }
        };
        let mut bytes = [0; FINGERPRINT_BYTES];
        hasher.finalize_xof().fill(&mut bytes);
        Fingerprint(u128::from_be_bytes(bytes))
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for Fingerprint {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u128::from_str_radix(text, 16).map(Self)
    }
}

#[cfg(test)]
mod tests;
