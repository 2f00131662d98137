//! Messages between daemons and their `MessagePack` codec.
//!
//! Structs are encoded as maps with short keys: a decoder skips the keys that
//! it does not know, so neighbouring message versions can work side by side.

mod config;
mod datagram;
mod frame;
mod record;
mod summary;
mod sync;

pub use config::{Pull, Tip, Update};
pub use datagram::{Body, Gossip};
pub use frame::{DecodeError, EncodeError, Frame, MAX_DATAGRAM_BYTES, PROTOCOL, decode, encode};
pub use record::{Announcement, Boot, Incarnation, Proximity, Record, Stage, Status};
pub use summary::{Lag, Summary};
pub use sync::{Brief, SyncReply, SyncRequest, View};
