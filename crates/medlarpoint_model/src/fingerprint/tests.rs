//! Tests of [`super`].

use super::*;

const CALL: CallIdentity<'static> = CallIdentity {
    caller: [b"tenant", b""],
    host: b"a.example",
    method: b"POST",
    path: b"/orders?x=1",
    body: BodyIdentity::Bytes(b"body"),
};

#[test]
fn calls_that_differ_in_any_part_have_different_fingerprints() {
    let large = vec![7; 70_000];
    let mut larger = large.clone();
    *larger.last_mut().unwrap() = 8;
    let calls = [
        CALL,
        CallIdentity { caller: [b"", b"tenant"], ..CALL },
        CallIdentity { host: b"a.exampl", method: b"ePOST", ..CALL },
        CallIdentity { path: b"/orders?x=2", ..CALL },
        CallIdentity { body: BodyIdentity::Bytes(b""), ..CALL },
        CallIdentity { body: BodyIdentity::Stream(None), ..CALL },
        CallIdentity { body: BodyIdentity::Stream(Some(4)), ..CALL },
        CallIdentity { body: BodyIdentity::Bytes(&large), ..CALL },
        CallIdentity { body: BodyIdentity::Bytes(&larger), ..CALL },
    ];
    for (index, call) in calls.iter().enumerate() {
        for other in &calls[index + 1..] {
            assert_ne!(call.fingerprint(), other.fingerprint(), "{call:?} {other:?}");
        }
    }
}

#[test]
fn a_fingerprint_is_the_same_on_every_daemon_and_can_be_read_back() {
    let fingerprint = CALL.fingerprint();
    assert_eq!(fingerprint, CALL.fingerprint());
    assert_eq!(fingerprint.to_string().parse(), Ok(fingerprint));
}
