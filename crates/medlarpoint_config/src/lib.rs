//! Commit protocol, delta chain and propagation of configuration versions,
//! without I/O.
//!
//! [`commit::Transaction`] turns an operator's proposal into one
//! compare-and-swap of the head. [`Replica`] holds the version in force and
//! rejects anything older, incomplete or invalid. [`pull::Scheduler`] decides
//! which peer to pull a newer version from, and when.

pub mod commit;
mod head;
pub mod history;
mod proposal;
mod publication;
pub mod pull;
pub mod replica;
mod restore;

pub use head::{CorruptHead, Head, Segment, checkpoint_key, head_key, segment_key};
pub use history::History;
pub use proposal::{Edit, Precondition, Proposal};
pub use publication::Publication;
pub use pull::Distance;
pub use replica::{Rejection, Replica};
pub use restore::Restore;
