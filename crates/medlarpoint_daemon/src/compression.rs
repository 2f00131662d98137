//! Compression of control messages: a version with a thousand routes holds up
//! a narrow link for a second otherwise.

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Response, header};
use http_body_util::Full;

/// Name of the encoding between daemons.
pub(crate) const LZ4: &str = "lz4";
/// Shorter messages fit into one packet, and are sent as they are, in bytes.
const MIN_BYTES: usize = 1_200;

/// A packed message that cannot be read.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Malformed {
    #[error("the message claims {claimed} bytes, more than the {limit} allowed")]
    Size { claimed: usize, limit: usize },
    #[error("the packed message cannot be read: {0}")]
    Decompress(#[from] lz4_flex::block::DecompressError),
}

/// Tells whether the sender of a request can read packed answers.
pub(crate) fn is_accepted(headers: &HeaderMap) -> bool {
    headers.get(header::ACCEPT_ENCODING).is_some_and(|accepted| accepted == LZ4)
}

/// Tells whether a message is packed.
pub(crate) fn is_compressed(headers: &HeaderMap) -> bool {
    headers.get(header::CONTENT_ENCODING).is_some_and(|encoding| encoding == LZ4)
}

/// Answers with a message, packed if that pays.
pub(crate) fn response(message: Vec<u8>) -> Response<Full<Bytes>> {
    if message.len() < MIN_BYTES {
        return Response::new(Full::new(message.into()));
    }
    let packed = lz4_flex::block::compress_prepend_size(&message);
    let mut response = Response::new(Full::new(packed.into()));
    response.headers_mut().insert(header::CONTENT_ENCODING, HeaderValue::from_static(LZ4));
    response
}

/// Reads a packed message of up to `limit` bytes.
pub(crate) fn decompress(packed: &[u8], limit: usize) -> Result<Bytes, Malformed> {
    let (claimed, block) = lz4_flex::block::uncompressed_size(packed)?;
    if claimed > limit {
        return Err(Malformed::Size { claimed, limit });
    }
    Ok(lz4_flex::block::decompress(block, claimed)?.into())
}

#[cfg(test)]
mod tests;
