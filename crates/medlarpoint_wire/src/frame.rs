//! Envelope of a datagram, and the codec of all messages.

use medlarpoint_model::{Name, Vm};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::Body;

/// Current version of the protocol between daemons.
pub const PROTOCOL_VERSION: u16 = 1;
/// Lowest protocol version that is still accepted.
const MIN_PROTOCOL_VERSION: u16 = 1;
/// Upper limit for the size of a sent datagram, in bytes. Stays below the usual
/// path MTU.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

/// Limit on the depth of nested values. The decoder skips unknown fields by recursion.
const MAX_DEPTH: usize = 64;

/// A datagram between two daemons.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Frame {
    /// Protocol version of the sender.
    #[serde(rename = "p")]
    pub protocol: u16,
    /// Fleet of the sender. Frames of other fleets are rejected.
    #[serde(rename = "f")]
    pub fleet: Name,
    /// VM of the sender.
    #[serde(rename = "s")]
    pub from: Vm,
    /// Content of the datagram.
    #[serde(rename = "b")]
    pub body: Body,
}

/// Error for a message that cannot be encoded.
#[derive(Debug, thiserror::Error)]
#[error("message cannot be encoded: {0}")]
pub struct EncodeError(#[from] rmp_serde::encode::Error);

/// Error for a message that is rejected.
#[derive(Debug, thiserror::Error)]
pub enum DecodeError {
    /// The bytes are not a message of this protocol.
    #[error("malformed message: {0}")]
    Malformed(#[from] rmp_serde::decode::Error),
    /// The protocol version of the sender is no longer supported.
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

/// Decodes a message, or a value that a daemon has stored, from `MessagePack`.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, DecodeError> {
    let mut decoder = rmp_serde::Deserializer::from_read_ref(bytes);
    decoder.set_max_depth(MAX_DEPTH);
    Ok(T::deserialize(&mut decoder)?)
}

impl Frame {
    /// Decodes a datagram and checks its fleet and protocol version.
    pub fn decode(bytes: &[u8], fleet: &Name) -> Result<Self, DecodeError> {
        let frame: Self = decode(bytes)?;
        check_sender(frame.protocol, &frame.fleet, fleet)?;
        Ok(frame)
    }
}

fn check_sender(protocol: u16, sender_fleet: &Name, own_fleet: &Name) -> Result<(), DecodeError> {
    if protocol < MIN_PROTOCOL_VERSION {
        return Err(DecodeError::Protocol(protocol));
    }
    if sender_fleet != own_fleet {
        return Err(DecodeError::Fleet(sender_fleet.clone()));
    }
    Ok(())
}

#[cfg(test)]
mod tests;
