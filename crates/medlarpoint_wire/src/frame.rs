//! The envelope of a datagram and the codec.

use medlarpoint_model::{Name, Vm};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::Body;

/// Current version of the protocol between daemons.
pub const PROTOCOL_VERSION: u16 = 1;
/// Oldest protocol version still understood.
const MIN_PROTOCOL_VERSION: u16 = 1;
/// Largest datagram sent, in bytes; below the usual path MTU.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

/// A datagram between two daemons.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Frame {
    /// Protocol version of the sender.
    #[serde(rename = "p")]
    pub protocol: u16,
    /// Fleet of the sender; frames of other fleets are refused.
    #[serde(rename = "f")]
    pub fleet: Name,
    /// Sender.
    #[serde(rename = "s")]
    pub from: Vm,
    /// Content.
    #[serde(rename = "b")]
    pub body: Body,
}

/// A message that could not be encoded.
#[derive(Debug, thiserror::Error)]
#[error("message cannot be encoded: {0}")]
pub struct EncodeError(#[from] rmp_serde::encode::Error);

/// A message that was refused.
#[derive(Debug, thiserror::Error)]
pub enum DecodeError {
    /// Not a message of this protocol.
    #[error("malformed message: {0}")]
    Malformed(#[from] rmp_serde::decode::Error),
    /// A protocol version that is no longer, or not yet, understood.
    #[error("protocol version {0} is not supported: run neighbouring releases together")]
    Protocol(u16),
    /// The sender belongs to another fleet.
    #[error("sender belongs to fleet {0}: check the `fleet` setting")]
    Fleet(Name),
}

/// Encodes `message` as `MessagePack`.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, EncodeError> {
    Ok(rmp_serde::to_vec_named(message)?)
}

/// Decodes `MessagePack`.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, DecodeError> {
    Ok(rmp_serde::from_slice(bytes)?)
}

impl Frame {
    /// Decodes a datagram and checks its fleet and protocol version.
    pub fn decode(bytes: &[u8], fleet: &Name) -> Result<Self, DecodeError> {
        let frame: Self = decode(bytes)?;
        check_peer(frame.protocol, &frame.fleet, fleet)?;
        Ok(frame)
    }
}

fn check_peer(protocol: u16, theirs: &Name, ours: &Name) -> Result<(), DecodeError> {
    if protocol < MIN_PROTOCOL_VERSION {
        return Err(DecodeError::Protocol(protocol));
    }
    if theirs != ours {
        return Err(DecodeError::Fleet(theirs.clone()));
    }
    Ok(())
}

#[cfg(test)]
mod tests;
