//! Requests that a caller sends on a connection before the earlier ones are answered.
//!
//! The socket is wrapped, so that a reader sees the bytes before the HTTP library does. It
//! finds the boundaries of requests, starts repeatable ones before their turn, and keeps
//! their responses until the HTTP library reaches the request. The library gets the bytes
//! unchanged and alone decides what they mean.

mod bounds;
mod early_call;
mod framing;
mod read_ahead;
mod stream;
mod turn_body;

pub use early_call::CancelReason;
pub(crate) use early_call::EarlyCalls;
pub use framing::OffReason;
pub(crate) use read_ahead::{ClosedByCaller, ReadAhead};
pub(crate) use turn_body::TurnBody;
