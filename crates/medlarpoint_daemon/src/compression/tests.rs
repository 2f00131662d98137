//! Tests of [`super`].

use http_body_util::BodyExt;

use super::{Malformed, decompress, is_compressed, response};

const LIMIT: usize = 100_000;

async fn sent(message: &[u8]) -> (bool, Vec<u8>) {
    let response = response(message.to_vec());
    let packed = is_compressed(response.headers());
    let bytes = response.into_body().collect().await.expect("whole").to_bytes();
    (packed, bytes.to_vec())
}

#[tokio::test]
async fn a_large_message_is_packed_and_read_again() {
    let message: Vec<u8> = (0..1_000_u32)
        .flat_map(|route| format!("route-{route}/prefix-{route}/service-a;").into_bytes())
        .collect();
    let (packed, bytes) = sent(&message).await;
    assert!(packed);
    assert!(bytes.len() * 2 < message.len(), "{} of {}", bytes.len(), message.len());
    assert_eq!(decompress(&bytes, LIMIT).expect("readable"), message);
}

#[tokio::test]
async fn a_short_message_is_sent_as_it_is() {
    assert_eq!(sent(b"short").await, (false, b"short".to_vec()));
}

#[test]
fn a_message_that_claims_too_much_is_not_unpacked() {
    let packed = lz4_flex::block::compress_prepend_size(&vec![0; LIMIT + 1]);
    let refused = decompress(&packed, LIMIT);
    assert!(matches!(refused, Err(Malformed::Size { .. })), "{refused:?}");
}

#[test]
fn arbitrary_bytes_are_refused_without_harm() {
    for seed in 0..2_000_u32 {
        let bytes = blake3::hash(&seed.to_le_bytes());
        let length = (seed as usize) % 33;
        let mut bytes = bytes.as_bytes()[..length].to_vec();
        if let Some(high) = bytes.get_mut(2..4) {
            high.fill(0);
        }
        let _ = decompress(&bytes, LIMIT);
    }
}
