//! The store interface, its HTTP client and an in-memory fake.
//!
//! The protocol that is assumed of the platform's store is written down in
//! `docs/STORE.md`; [`Client`] is the only code that knows it.

mod client;
mod error;
mod key;
mod store;
mod table;

pub use client::{Calls, Client, Endpoint};
pub use error::Error;
pub use key::{InvalidKey, Key};
pub use store::{Expected, Item, Revision, Store};
pub use table::{Refusal, Table};
