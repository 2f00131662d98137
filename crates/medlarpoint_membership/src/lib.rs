//! Failure detection, roles and reports; no I/O.
//!
//! [`Detector`] probes the members of its own data centre, samples those of
//! the others and spreads what it learns. Two members that disagree on a role
//! ([`rank`]) do double work, never wrong work. [`Reporter`] sums up which
//! version a data centre has in force.

mod departed;
mod detector;
pub mod fallback;
mod freshness;
mod member;
mod occupant;
mod options;
mod queue;
mod reporter;
mod role;
mod summaries;
mod table;
pub mod wave;

pub use departed::Departed;
pub use detector::{Action, Detector, Event};
pub use freshness::{Freshness, Reading};
pub use member::Member;
pub use occupant::{Occupant, Report, Verdict};
pub use options::Options;
pub use reporter::Reporter;
pub use role::{Role, rank, ranked, readers};
pub use summaries::{Summaries, Summed};
pub use table::Table;
