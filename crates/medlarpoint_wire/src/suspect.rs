//! Calls under which targets have crashed, as daemons tell each other.

use medlarpoint_model::Fingerprint;
use serde::{Deserialize, Serialize};

/// What a daemon knows about a call under which targets have crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// Identity of the call.
    #[serde(rename = "f")]
    pub call: Fingerprint,
    /// Number of times that the call was cleared because a target answered it.
    #[serde(rename = "q")]
    pub acquittals: u32,
    /// Number of crashes in a row since it was last cleared.
    #[serde(rename = "c")]
    pub crashes: u32,
    /// Time since the last crash, or since the call began to run once more, in
    /// milliseconds.
    #[serde(rename = "a")]
    pub age_ms: u64,
}
