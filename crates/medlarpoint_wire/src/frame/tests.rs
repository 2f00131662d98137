//! Tests of [`super`]: neighbouring releases, other fleets and random bytes.

use medlarpoint_model::{Fingerprint, Name, Version, Vm};
use proptest::prelude::*;
use serde::{Deserialize, Serialize};

use super::{DecodeError, Frame, MAX_DATAGRAM_BYTES, PROTOCOL_VERSION, decode, encode};
use crate::{
    Announcement, Body, BootId, Gossip, PullRequest, PullResponse, Readiness, Record, RolloutRoute,
    RolloutTally, Suspect, SyncRequest, SyncResponse, Tip,
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

/// Announcement as an earlier release knows it.
#[derive(Debug, Serialize, Deserialize)]
struct EarlierAnnouncement {
    s: Name,
    n: u32,
    g: Readiness,
}

/// Guards against records that daemons of neighbouring releases cannot decode.
#[test]
fn announcements_with_and_without_a_version_are_decoded_by_both_releases() {
    let service: Name = "desk".parse().unwrap();
    let later = Announcement {
        service: service.clone(),
        slots: 4,
        readiness: Readiness::Ready,
        version: Some("v2".into()),
        order: Some(7),
    };
    let seen: EarlierAnnouncement = decode(&encode(&later).unwrap()).unwrap();
    assert_eq!((seen.s, seen.n, seen.g), (service.clone(), 4, Readiness::Ready));
    let earlier = EarlierAnnouncement { s: service, n: 4, g: Readiness::Ready };
    let seen: Announcement = decode(&encode(&earlier).unwrap()).unwrap();
    assert_eq!((seen.version, seen.order), (None, None));
}

#[test]
fn a_report_on_an_order_fits_into_a_datagram() {
    let vm: Vm = "a-rather-long-name-of-a-vm-in-some-data-centre-17".parse().unwrap();
    let name: Name = "a-rather-long-name-of-a-route-or-service-17".parse().unwrap();
    let tally = RolloutTally { responses: 100_000, failures: 100_000, slow: 100_000 };
    let targets = vec![(vm.clone(), tally); 4];
    let route = RolloutRoute { route: name.clone(), old: tally, new: tally, targets };
    let body = Body::RolloutReport {
        service: name,
        revision: u64::MAX,
        boot: BootId(u64::MAX),
        settled: true,
        routes: vec![route; 2],
    };
    let sent = Frame { protocol: PROTOCOL_VERSION, fleet: fleet(), from: vm, body };
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

/// Guards against nested values that overflow the stack, since unknown fields are skipped by
/// recursion, and against lengths that are allocated before they are read.
#[test]
fn deeply_nested_or_endless_values_are_rejected() {
    let mut nested = Vec::new();
    for (opening, depth) in [(0x91_u8, 100_000), (0x81, 100_000)] {
        // Arrays, or maps, of one element.
        nested.push(vec![opening; depth]);
        nested.push([b"\x81\xa1z".to_vec(), vec![opening; depth]].concat());
    }
    for length in [&b"\xdd\xff\xff\xff\xff"[..], b"\xdf\xff\xff\xff\xff", b"\xc6\xff\xff\xff\xff"] {
        nested.push(length.to_vec());
        nested.push([b"\x81\xa1z", length].concat());
    }
    let decoders = std::thread::Builder::new().stack_size(256 * 1024).spawn(move || {
        for bytes in &nested {
            assert!(Frame::decode(bytes, &fleet()).is_err());
            assert!(decode::<Vec<Record>>(bytes).is_err());
            assert!(decode::<PullResponse>(bytes).is_err());
            assert!(decode::<SyncResponse>(bytes).is_err());
        }
    });
    decoders.unwrap().join().unwrap();
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
