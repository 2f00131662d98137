//! Explanations.

use medlarpoint_model::{Key, Version, Vm};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// What to explain. Exactly one is set.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Topic {
    /// A resource, written `kind/name`.
    pub resource: Option<String>,
    /// A version.
    pub version: Option<Version>,
    /// The target of a VM.
    pub target: Option<Vm>,
}

/// One fact, with the name of what it is about.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Finding {
    /// Short, stable name of the kind of fact.
    pub kind: String,
    /// The fact.
    pub text: String,
}

/// An explanation from the point of view of one daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[schemars(rename = "Why")]
pub struct Explanation {
    /// The answering VM.
    pub vm: Vm,
    /// Version in force on it.
    pub version: Version,
    /// The resource explained, if it is one.
    pub resource: Option<Key>,
    /// The facts.
    pub findings: Vec<Finding>,
}
