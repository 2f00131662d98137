//! Services: named groups of targets.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::Name;

/// A named group of interchangeable targets, which announce themselves to their
/// daemons.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name of the service, unique among services.
    pub name: Name,
    /// Policy for calls to the service; the built-in default policy if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub policy: Option<Name>,
}
