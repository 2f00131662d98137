//! Names, resources, versions and validation, without I/O.
//!
//! Defines the resources that an operator can declare and the rules that a set
//! of resources must satisfy to become a configuration version.

mod delta;
mod diagnostic;
mod digest;
mod document;
mod fingerprint;
mod identifier;
mod name;
mod path_prefix;
mod policy;
mod resource;
mod route;
mod service;
mod snapshot;
mod validation;
mod version;
mod workspace;

pub use delta::{Change, CommitId, Delta};
pub use diagnostic::{Diagnostic, Diagnostics, Rule};
pub use digest::Digest;
pub use document::{Document, Format};
pub use fingerprint::{BodyIdentity, CallIdentity, Fingerprint};
pub use identifier::{DataCentre, Region, Vm, WorkspaceName};
pub use name::{InvalidName, Name};
pub use path_prefix::PathPrefix;
pub use policy::Policy;
pub use resource::{Entry, Key, Kind, Resource};
pub use route::{Class, Idempotency, Matcher, Route, WeightedService};
pub use service::Service;
pub use snapshot::{Snapshot, SnapshotError};
pub use validation::validate;
pub use version::Version;
pub use workspace::{InvalidKeyDigest, KeyDigest, Quota, Workspace};
