//! Commit protocol, delta chain and propagation decisions; no I/O.
//!
//! [`Attempt`] turns an operator's proposal into one compare-and-swap of the
//! head; [`Replica`] holds the version in force and refuses whatever is older,
//! partial or invalid; [`Spreader`] decides whom to ask for a newer version and
//! whom to tell of one.

mod commit;
mod head;
mod history;
mod proposal;
mod published;
mod replica;
mod restore;
mod spread;

pub use commit::{Action, Attempt, Outcome, Refusal, Reply};
pub use head::{CorruptHead, Head, Segment, checkpoint_key, head_key, segment_key};
pub use history::{History, InForce, Line};
pub use proposal::{Edit, Precondition, Proposal};
pub use published::Published;
pub use replica::{Offer, Rejection, Replica};
pub use restore::Restore;
pub use spread::{Distance, Order, Spreader};
