//! Resources and their keys.

use std::fmt;
use std::str::FromStr;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::{InvalidName, Name, Policy, Route, Service, Version, Workspace};

/// Kind of a resource.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    JsonSchema,
    strum::Display,
    strum::EnumString,
    strum::EnumIter,
    strum::IntoStaticStr,
)]
#[serde(rename_all = "lowercase")]
#[strum(serialize_all = "lowercase")]
pub enum Kind {
    /// A [`Policy`].
    Policy,
    /// A [`Route`].
    Route,
    /// A [`Service`].
    Service,
    /// A [`Workspace`].
    Workspace,
}

/// Identifier of a resource, written `kind/name`.
#[derive(
    Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, JsonSchema,
)]
pub struct Key {
    /// Kind of the resource.
    pub kind: Kind,
    /// Name of the resource, unique within its kind.
    pub name: Name,
}

/// Error for a text that is not a `kind/name` key.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum InvalidKey {
    /// The slash is missing.
    #[error("{0:?} is not a key: write kind/name, for example route/book-cart")]
    MissingSlash(String),
    /// The kind is unknown.
    #[error("{0:?} is not a kind: use policy, route, service or workspace")]
    Kind(String),
    /// The name is malformed.
    #[error(transparent)]
    Name(#[from] InvalidName),
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind, self.name)
    }
}

impl FromStr for Key {
    type Err = InvalidKey;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let Some((kind, name)) = text.split_once('/') else {
            return Err(InvalidKey::MissingSlash(text.to_owned()));
        };
        let kind = kind.parse().map_err(|_| InvalidKey::Kind(kind.to_owned()))?;
        Ok(Self { kind, name: name.parse()? })
    }
}

/// A resource that an operator can declare.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Resource {
    /// Limits and budgets for calls to a service.
    Policy(Policy),
    /// A rule that sends matching calls to a service.
    Route(Route),
    /// A named group of interchangeable targets.
    Service(Service),
    /// A customer with its keys and its quota.
    Workspace(Workspace),
}

impl Resource {
    /// Returns the key of the resource.
    pub fn key(&self) -> Key {
        let (kind, name) = match self {
            Self::Policy(policy) => (Kind::Policy, &policy.name),
            Self::Route(route) => (Kind::Route, &route.name),
            Self::Service(service) => (Kind::Service, &service.name),
            Self::Workspace(workspace) => (Kind::Workspace, &workspace.name),
        };
        Key { kind, name: name.clone() }
    }
}

/// A resource of a configuration, with the version of its last change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Entry {
    /// The declared resource.
    pub resource: Resource,
    /// Version in which the resource last changed; edits name it as their
    /// precondition.
    pub changed: Version,
}
