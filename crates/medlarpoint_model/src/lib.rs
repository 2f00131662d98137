//! Names, resources, versions and validation; no I/O.
//!
//! Everything an operator can declare is defined here, together with the rules
//! that decide whether a set of declarations may become a configuration version.

mod delta;
mod diagnostic;
mod digest;
mod document;
mod name;
mod place;
mod policy;
mod resource;
mod route;
mod service;
mod snapshot;
mod validation;
mod version;

pub use delta::{Change, CommitId, Delta};
pub use diagnostic::{Diagnostic, Diagnostics, Rule};
pub use digest::Digest;
pub use document::{Document, Format};
pub use name::{InvalidName, Name};
pub use place::{DataCentre, Region, Tenant, Vm};
pub use policy::Policy;
pub use resource::{Entry, Key, Kind, Resource};
pub use route::{Class, Idempotency, Matcher, Route, WeightedService};
pub use service::Service;
pub use snapshot::{Snapshot, SnapshotError};
pub use validation::validate;
pub use version::Version;
