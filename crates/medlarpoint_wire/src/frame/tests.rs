//! Tests of [`super`]: neighbouring releases, other fleets and random bytes.

use medlarpoint_model::{Fingerprint, Name, Version, Vm};
use proptest::prelude::*;
use serde::{Deserialize, Serialize};

use super::{DecodeError, Frame, MAX_DATAGRAM_BYTES, PROTOCOL_VERSION, decode, encode};
use crate::{
    Body, Gossip, PullRequest, PullResponse, Record, Suspect, SyncRequest, SyncResponse, Tip,
};

fn fleet() -> Name {
    "fleet".parse().unwrap()
}

fn frame(protocol: u16) -> Frame {
    let tip = Tip { version: Version(7), ..Tip::default() };
    let gossip = Gossip { tip, ..Gossip::default() };
    let from = Vm("vm-1".parse().unwrap());
    Frame { protocol, fleet: fleet(), from, body: Body::Probe { seq: 3, gossip } }
}

#[test]
fn the_encoding_matches_the_released_format() {
    let bytes = encode(&frame(PROTOCOL_VERSION)).unwrap();
    insta::assert_debug_snapshot!(bytes);
    assert_eq!(Frame::decode(&bytes, &fleet()).unwrap(), frame(PROTOCOL_VERSION));
}

#[test]
fn a_broadcast_of_many_crashes_fits_into_a_datagram() {
    let suspect = Suspect {
        call: Fingerprint(u128::MAX),
        acquittals: 200_000,
        crashes: 200_000,
        age_ms: 2_000_000_000,
    };
    let origin = Vm("a-rather-long-name-of-a-vm-in-some-data-centre-17".parse().unwrap());
    let body = Body::Suspects { origin: origin.clone(), suspects: vec![suspect; 24] };
    let sent = Frame { protocol: PROTOCOL_VERSION, fleet: fleet(), from: origin, body };
    let bytes = encode(&sent).unwrap();
    assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{} bytes", bytes.len());
    assert_eq!(Frame::decode(&bytes, &fleet()).unwrap(), sent);
}

/// Frame as a later release may send it, with an additional field.
#[derive(Serialize, Deserialize)]
struct LaterFrame {
    p: u16,
    f: Name,
    s: Vm,
    b: Body,
    later: String,
}

#[test]
fn unknown_fields_of_a_later_release_are_ignored() {
    let Frame { protocol, fleet: f, from: s, body: b } = frame(PROTOCOL_VERSION + 1);
    let later = LaterFrame { p: protocol, f, s, b, later: "new".to_owned() };
    let bytes = encode(&later).unwrap();
    assert_eq!(Frame::decode(&bytes, &fleet()).unwrap(), frame(PROTOCOL_VERSION + 1));
}

#[test]
fn other_fleets_and_unsupported_protocols_are_rejected() {
    let bytes = encode(&frame(PROTOCOL_VERSION)).unwrap();
    let other = "other".parse().unwrap();
    assert!(matches!(Frame::decode(&bytes, &other), Err(DecodeError::Fleet(_))));
    let old = encode(&frame(0)).unwrap();
    assert!(matches!(Frame::decode(&old, &fleet()), Err(DecodeError::Protocol(0))));
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        ..ProptestConfig::with_cases(2_000)
    })]

    #[test]
    fn decoding_random_bytes_does_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        // Most inputs are rejected; some decode by chance. Neither may panic.
        let _ = Frame::decode(&bytes, &fleet());
        let _ = decode::<PullRequest>(&bytes);
        let _ = decode::<PullResponse>(&bytes);
        let _ = decode::<SyncRequest>(&bytes);
        let _ = decode::<SyncResponse>(&bytes);
        let _ = decode::<Vec<Record>>(&bytes);
    }

    #[test]
    fn a_corrupted_frame_is_never_accepted_from_another_fleet(
        index in 0..60_usize,
        byte in any::<u8>(),
    ) {
        let mut bytes = encode(&frame(PROTOCOL_VERSION)).unwrap();
        let index = index % bytes.len();
        bytes[index] = byte;
        if let Ok(frame) = Frame::decode(&bytes, &fleet()) {
            prop_assert_eq!(frame.fleet, fleet());
        }
    }
}
