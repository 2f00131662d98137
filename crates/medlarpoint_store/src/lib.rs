//! The store interface and an in-memory fake.
//!
//! What is relied on is written down in `docs/STORE.md`. The client that speaks
//! the platform's protocol is `medlarpoint_platform::store::Client`.

mod error;
mod key;
mod store;
mod table;

pub use error::Error;
pub use key::{InvalidKey, Key};
pub use store::{Age, Change, Changes, Expected, Item, LeaseId, Listing, Revision, Store};
pub use table::{Refusal, Table};
