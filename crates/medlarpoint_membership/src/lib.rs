//! Failure detection, roles and reports; no I/O.
//!
//! [`Detector`] probes the members of its own data centre, samples those of
//! the others and spreads what it learns. Two members that disagree on a role
//! ([`rank`]) do double work, never wrong work. [`Reporter`] sums up which
//! version a data centre has in force.

mod contacts;
mod detector;
mod member;
mod options;
mod queue;
mod reporter;
mod role;
mod summaries;
mod table;

pub use contacts::Contacts;
pub use detector::{Action, Detector, Event};
pub use member::Member;
pub use options::Options;
pub use reporter::Reporter;
pub use role::{Role, rank, ranked};
pub use summaries::{Summaries, Summed};
pub use table::Table;
