//! Failure detection, roles and reports; no I/O.
//!
//! [`Detector`] probes the members of its own data centre, samples those of
//! the others and spreads what it learns. Two members that disagree on a role
//! ([`rank`]) do double work, never wrong work. [`Reporter`] sums up which
//! version a data centre has in force.

pub mod broadcast;
mod deregistrations;
mod detector;
pub mod fallback;
mod freshness;
pub mod instance;
mod member;
mod options;
mod queue;
mod reporter;
mod role;
pub mod summaries;
mod table;

pub use deregistrations::Deregistrations;
pub use detector::{Action, Detector, Event};
pub use freshness::{Freshness, StoreRead};
pub use member::Member;
pub use options::Options;
pub use reporter::Reporter;
pub use role::{Role, rank, ranked, readers};
pub use summaries::Summaries;
pub use table::Table;
