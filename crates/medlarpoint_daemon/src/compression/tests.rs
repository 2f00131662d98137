//! Tests of [`super`].

use http_body_util::BodyExt;

use super::{Error, decompress, is_compressed, response};

const LIMIT: usize = 100_000;

/// Returns whether the response with a message is compressed, and its body.
async fn encoded(message: &[u8]) -> (bool, Vec<u8>) {
    let response = response(message.to_vec());
    let compressed = is_compressed(response.headers());
    let bytes = response.into_body().collect().await.expect("a complete body").to_bytes();
    (compressed, bytes.to_vec())
}

#[tokio::test]
async fn a_large_message_is_compressed_and_round_trips() {
    let message: Vec<u8> = (0..1_000_u32)
        .flat_map(|route| format!("route-{route}/prefix-{route}/service-a;").into_bytes())
        .collect();
    let (compressed, bytes) = encoded(&message).await;
    assert!(compressed);
    assert!(bytes.len() * 2 < message.len(), "{} of {}", bytes.len(), message.len());
    assert_eq!(decompress(&bytes, LIMIT).expect("readable"), message);
}

#[tokio::test]
async fn a_short_message_is_sent_uncompressed() {
    assert_eq!(encoded(b"short").await, (false, b"short".to_vec()));
}

#[test]
fn a_message_that_declares_a_size_above_the_limit_is_rejected() {
    let compressed = lz4_flex::block::compress_prepend_size(&vec![0; LIMIT + 1]);
    let result = decompress(&compressed, LIMIT);
    assert!(matches!(result, Err(Error::TooLarge { .. })), "{result:?}");
}

#[test]
fn decompressing_arbitrary_bytes_does_not_panic() {
    for seed in 0..2_000_u32 {
        let bytes = blake3::hash(&seed.to_le_bytes());
        let length = (seed as usize) % 33;
        let mut bytes = bytes.as_bytes()[..length].to_vec();
        // A declared size below 64 KiB is within the limit and reaches the decompressor.
        if let Some(size_high) = bytes.get_mut(2..4) {
            size_high.fill(0);
        }
        let _ = decompress(&bytes, LIMIT);
    }
}
