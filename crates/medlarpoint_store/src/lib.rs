//! The store interface and an in-memory fake.
//!
//! What is relied on is written down in `docs/STORE.md`. The client that speaks
//! the platform's protocol is `medlarpoint_platform::store::Client`.

mod error;
mod key;
mod memory;
mod store;

pub use error::Error;
pub use key::{InvalidKey, Key};
pub use memory::{MemoryStore, Rejection};
pub use store::{Change, Changes, Consistency, Expected, Item, LeaseId, Listing, Revision, Store};
