//! Messages between daemons and their `MessagePack` codec.
//!
//! Structs are encoded as maps with short keys. A decoder skips keys that it
//! does not know, so that daemons of neighbouring releases can run together.

mod config;
mod datagram;
mod departure;
mod frame;
mod quota;
mod record;
mod rollout;
mod summary;
mod suspect;
mod sync;

pub use config::{PullRequest, PullResponse, Tip};
pub use datagram::{Body, Gossip};
pub use departure::{Departure, Departures};
pub use frame::{
    DecodeError, EncodeError, Frame, MAX_DATAGRAM_BYTES, PROTOCOL_VERSION, decode, encode,
};
pub use quota::{QuotaLoan, QuotaReturn, QuotaWant};
pub use record::{Announcement, BootId, Incarnation, LatencyBucket, Readiness, Record, Status};
pub use rollout::{Rollout, RolloutPhase, RolloutRoute, RolloutTally};
pub use summary::{DataCentreSummary, Laggard};
pub use suspect::Suspect;
pub use sync::{RecordVersion, SyncRequest, SyncResponse, TableDigest};
