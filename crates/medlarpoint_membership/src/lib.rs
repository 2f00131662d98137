//! Failure detection, roles and reports, without I/O.
//!
//! [`Detector`] probes the members of its own data centre and a sample of those
//! of the others, and disseminates changes by gossip. If two members disagree on
//! who holds a role ([`rank`]), work is duplicated but never wrong. [`Reporter`]
//! summarises which version a data centre has in force.

pub mod allocator;
pub mod broadcast;
pub mod departed;
mod detector;
mod dissemination;
pub mod fallback;
mod freshness;
pub mod instance;
mod member;
mod options;
mod registrar;
mod reporter;
mod role;
mod settling;
pub mod summaries;
mod table;

pub use departed::Departed;
pub use detector::{Action, Detector, Event};
pub use freshness::{Freshness, StoreRead};
pub use member::Member;
pub use options::Options;
pub use registrar::is_registrar;
pub use reporter::Reporter;
pub use role::{Role, rank, ranked, readers};
pub use summaries::Summaries;
pub use table::Table;
