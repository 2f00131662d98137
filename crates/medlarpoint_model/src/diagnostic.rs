//! Diagnostics about declared resources.

use std::fmt;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Rule that a diagnostic reports as violated. Codes are stable.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    JsonSchema,
    strum::Display,
    strum::EnumIter,
    strum::EnumProperty,
    strum::IntoStaticStr,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Rule {
    /// The document is not TOML or JSON.
    #[strum(props(code = "MR001"))]
    Syntax,
    /// A field is unknown, missing or of the wrong type.
    #[strum(props(code = "MR002"))]
    Shape,
    /// A resource is declared twice in one document.
    #[strum(props(code = "MR003"))]
    Duplicate,
    /// A route names a service that does not exist.
    #[strum(props(code = "MR004"))]
    DanglingService,
    /// A service names a policy that does not exist.
    #[strum(props(code = "MR005"))]
    UnknownPolicy,
    /// A number is outside its permitted range.
    #[strum(props(code = "MR006"))]
    Range,
    /// A path prefix, method, host or header is malformed.
    #[strum(props(code = "MR007"))]
    Matcher,
    /// Two routes match exactly the same calls.
    #[strum(props(code = "MR008"))]
    Ambiguous,
    /// A key belongs to two workspaces, or is listed twice.
    #[strum(props(code = "MR009"))]
    SharedKey,
}

/// Violation of a rule, with the path of the field that causes it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema, thiserror::Error)]
#[error("{path}: {message} [{rule}]")]
pub struct Diagnostic {
    /// The violated rule.
    pub rule: Rule,
    /// Path of the field, for example `route[book-cart].service`.
    pub path: String,
    /// Description of the problem and how to fix it.
    pub message: String,
}

/// All diagnostics of a document or a configuration; never empty.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema, thiserror::Error)]
pub struct Diagnostics(pub Vec<Diagnostic>);

impl fmt::Display for Diagnostics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let texts: Vec<String> = self.0.iter().map(ToString::to_string).collect();
        f.write_str(&texts.join("; "))
    }
}
