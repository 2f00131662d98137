//! Tests of [`super`]: neighbouring releases, strangers and noise.

use medlarpoint_model::{Name, Version, Vm};
use proptest::prelude::*;
use serde::{Deserialize, Serialize};

use super::{DecodeError, Frame, PROTOCOL_VERSION, decode, encode};
use crate::{Body, Gossip, PullRequest, PullResponse, Record, SyncRequest, SyncResponse, Tip};

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
fn the_encoding_stays_as_it_was_released() {
    let bytes = encode(&frame(PROTOCOL_VERSION)).unwrap();
    insta::assert_debug_snapshot!(bytes);
    assert_eq!(Frame::decode(&bytes, &fleet()).unwrap(), frame(PROTOCOL_VERSION));
}

/// A probe as a later release may send it, with a field more.
#[derive(Serialize, Deserialize)]
struct LaterFrame {
    p: u16,
    f: Name,
    s: Vm,
    b: Body,
    later: String,
}

#[test]
fn fields_of_a_later_release_are_skipped() {
    let Frame { protocol, fleet: f, from: s, body: b } = frame(PROTOCOL_VERSION + 1);
    let later = LaterFrame { p: protocol, f, s, b, later: "new".to_owned() };
    let bytes = encode(&later).unwrap();
    assert_eq!(Frame::decode(&bytes, &fleet()).unwrap(), frame(PROTOCOL_VERSION + 1));
}

#[test]
fn strangers_are_refused() {
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
    fn noise_is_refused_without_harm(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        // Most noise is refused; what happens to decode must do so without a panic.
        let _ = Frame::decode(&bytes, &fleet());
        let _ = decode::<PullRequest>(&bytes);
        let _ = decode::<PullResponse>(&bytes);
        let _ = decode::<SyncRequest>(&bytes);
        let _ = decode::<SyncResponse>(&bytes);
        let _ = decode::<Vec<Record>>(&bytes);
    }

    #[test]
    fn a_damaged_frame_never_changes_its_fleet(place in 0..60_usize, byte in any::<u8>()) {
        let mut bytes = encode(&frame(PROTOCOL_VERSION)).unwrap();
        let place = place % bytes.len();
        bytes[place] = byte;
        if let Ok(frame) = Frame::decode(&bytes, &fleet()) {
            prop_assert_eq!(frame.fleet, fleet());
        }
    }
}
