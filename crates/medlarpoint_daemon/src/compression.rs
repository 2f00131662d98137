//! Compression of control messages. Without it, a version with a thousand routes
//! occupies a link of low bandwidth for one second.

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Response, header};
use http_body_util::Full;

/// Content encoding of compressed messages between daemons.
pub(crate) const LZ4: &str = "lz4";
/// Size in bytes below which a message is sent uncompressed, since it fits into one packet.
const MIN_COMPRESSED_BYTES: usize = 1_200;

/// Error in decompressing a message.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    #[error("the message declares {declared} bytes, more than the limit of {limit} bytes")]
    TooLarge { declared: usize, limit: usize },
    #[error("cannot decompress the message: {0}")]
    Malformed(#[from] lz4_flex::block::DecompressError),
}

/// Returns whether the sender of a request accepts compressed responses.
pub(crate) fn is_accepted(headers: &HeaderMap) -> bool {
    headers.get(header::ACCEPT_ENCODING).is_some_and(|accepted| accepted == LZ4)
}

/// Returns whether a message is compressed.
pub(crate) fn is_compressed(headers: &HeaderMap) -> bool {
    headers.get(header::CONTENT_ENCODING).is_some_and(|encoding| encoding == LZ4)
}

/// Returns a response with a message, compressed if it is large enough.
pub(crate) fn response(message: Vec<u8>) -> Response<Full<Bytes>> {
    if message.len() < MIN_COMPRESSED_BYTES {
        return Response::new(Full::new(message.into()));
    }
    let compressed = lz4_flex::block::compress_prepend_size(&message);
    let mut response = Response::new(Full::new(compressed.into()));
    response.headers_mut().insert(header::CONTENT_ENCODING, HeaderValue::from_static(LZ4));
    response
}

/// Decompresses a message. Rejects it before allocating memory if it declares more than
/// `limit` bytes.
pub(crate) fn decompress(compressed: &[u8], limit: usize) -> Result<Bytes, Error> {
    let (declared, block) = lz4_flex::block::uncompressed_size(compressed)?;
    if declared > limit {
        return Err(Error::TooLarge { declared, limit });
    }
    Ok(lz4_flex::block::decompress(block, declared)?.into())
}

#[cfg(test)]
mod tests;
