//! Explanations of resources, versions and targets.

use medlarpoint_model::{Key, Version, Vm};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Subject to explain. Exactly one field must be set.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Topic {
    /// Key of a resource, in the form `kind/name`.
    pub resource: Option<String>,
    /// A version.
    pub version: Option<Version>,
    /// VM whose target is to be explained.
    pub target: Option<Vm>,
}

/// A single fact of an explanation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Finding {
    /// Short, stable name for the kind of fact.
    pub kind: String,
    /// The fact, as a sentence for people.
    pub text: String,
}

/// Explanation from one daemon's point of view.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[schemars(rename = "Why")]
pub struct Explanation {
    /// VM of the responding daemon.
    pub vm: Vm,
    /// Version in force on the responding daemon.
    pub version: Version,
    /// Resource that is explained, if the subject is a resource.
    pub resource: Option<Key>,
    /// Facts that make up the explanation.
    pub findings: Vec<Finding>,
}
