//! Tests of [`super`].

use super::*;
use crate::quota::Return;

const START: Duration = Duration::from_secs(100);
const QUOTA: Quota = Quota { calls_per_1000_s: 100_000, burst: 50 };

fn name(text: &str) -> Name {
    text.parse().unwrap()
}

fn vm(text: &str) -> Vm {
    text.parse().unwrap()
}

fn request(seq: u64, tokens: u32) -> Request {
    let want = Want { workspace: name("a"), tokens, returned: Vec::new() };
    Request { boot: 1, seq, known: 4, wants: vec![want] }
}

/// Returns an allocator of one workspace in a fleet of four, 10 s after it took over.
fn warm() -> (Allocator, Duration) {
    let mut allocator = Allocator::default();
    allocator.set_reach(START, Reach { reachable: 4, known: 4 });
    allocator.set_quotas(START, [(&name("a"), QUOTA)].into_iter());
    (allocator, START + Duration::from_secs(10))
}

fn lend(allocator: &mut Allocator, now: Duration, request: &Request) -> u32 {
    allocator.lend(now, &vm("b"), request).map_or(0, |grant| grant.loans[0].tokens)
}

/// Guards against an allocator that lends what its predecessor may still lend.
#[test]
fn a_new_allocator_begins_in_debt() {
    let (mut allocator, _) = warm();
    assert_eq!(lend(&mut allocator, START + Duration::from_millis(790), &request(1, 10)), 0);
    assert_eq!(lend(&mut allocator, START + Duration::from_millis(900), &request(2, 100)), 10);
}

/// Guards against a second grant for a datagram that arrives twice.
#[test]
fn a_repeated_request_gets_the_same_grant() {
    let (mut allocator, now) = warm();
    let first = allocator.lend(now, &vm("b"), &request(1, 60));
    assert_eq!(allocator.lend(now, &vm("b"), &request(1, 60)), first);
    assert_eq!(lend(&mut allocator, now, &request(2, 1_000)), 30);
}

/// Guards against a grant for an old request that was delayed, or for a run that has ended.
#[test]
fn an_outdated_request_gets_nothing() {
    let (mut allocator, now) = warm();
    allocator.lend(now, &vm("b"), &Request { boot: 2, ..request(7, 1) });
    assert_eq!(allocator.lend(now, &vm("b"), &Request { boot: 2, ..request(6, 1) }), None);
    assert_eq!(allocator.lend(now, &vm("b"), &request(9, 1)), None);
}

/// Guards against tokens that are created by returning them twice, or that were never lent.
#[test]
fn tokens_are_returned_once() {
    let (mut allocator, now) = warm();
    assert_eq!(lend(&mut allocator, now, &request(1, 1_000)), 90);
    let give_back = |seq, of, tokens| {
        let mut request = request(seq, 1_000);
        request.wants[0].returned = vec![Return { seq: of, tokens }];
        request
    };
    assert_eq!(lend(&mut allocator, now, &give_back(2, 1, 20)), 20);
    assert_eq!(lend(&mut allocator, now, &give_back(3, 1, 90)), 70);
    assert_eq!(lend(&mut allocator, now, &give_back(4, 1, 90)), 0);
    assert_eq!(lend(&mut allocator, now, &give_back(5, 99, 90)), 0);
}

/// Guards against a refusal whose time is not that at which there is room.
#[test]
fn a_refusal_names_the_time_of_the_next_room() {
    let (mut allocator, now) = warm();
    let grant = allocator.lend(now, &vm("b"), &request(1, 1_000)).unwrap();
    let retry = grant.loans[0].retry.unwrap();
    assert!(lend(&mut allocator, now + retry, &request(2, 1)) > 0);
}

/// Guards against an old quota that is lent after a lower one has come into force.
#[test]
fn a_lower_quota_takes_effect_at_once() {
    let (mut allocator, now) = warm();
    let lower = Quota { calls_per_1000_s: 1_000, burst: 0 };
    allocator.set_quotas(now, [(&name("a"), lower)].into_iter());
    assert_eq!(lend(&mut allocator, now, &request(1, 1_000)), 10);
}

/// Guards against shares that add up to more than one: the share falls at once with the
/// members that respond, and with the members that only a borrower knows of.
#[test]
fn the_share_falls_at_once() {
    let (mut allocator, now) = warm();
    allocator.set_reach(now, Reach { reachable: 2, known: 4 });
    assert_eq!(lend(&mut allocator, now, &request(1, 1_000)), 45);
    let (mut allocator, now) = warm();
    assert_eq!(lend(&mut allocator, now, &Request { known: 8, ..request(1, 1_000) }), 45);
}

/// Guards against two allocators that lend the same part when a partition heals.
#[test]
fn the_share_rises_after_the_settling_time() {
    let (mut allocator, mut now) = warm();
    allocator.set_reach(now, Reach { reachable: 1, known: 4 });
    for _ in 0..20 {
        allocator.set_reach(now, Reach { reachable: 4, known: 4 });
        assert_eq!(allocator.share.terms(QUOTA).per_1000_s, 25_000);
        now += Duration::from_millis(100);
    }
    allocator.set_reach(now, Reach { reachable: 4, known: 4 });
    assert_eq!(allocator.share, Share::new(Reach { reachable: 4, known: 4 }));
}
