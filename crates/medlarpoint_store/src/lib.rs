//! Interface of the platform's key-value store, and an in-memory implementation.
//!
//! `docs/STORE.md` lists the guarantees that daemons rely on. The client for the
//! platform's protocol is `medlarpoint_platform::store::Client`.

mod error;
mod key;
mod memory;
mod store;

pub use error::Error;
pub use key::{InvalidKey, Key};
pub use memory::{MemoryStore, Rejection};
pub use store::{
    Change, Changes, Consistency, Era, Expected, Item, Lease, LeaseId, Listing, Position, Revision,
    Store,
};
