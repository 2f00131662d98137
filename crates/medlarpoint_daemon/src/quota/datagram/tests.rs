//! Tests of [`super`].

use medlarpoint_model::{Name, Quota, Vm};
use medlarpoint_routing::quota::{Allocator, Purse, Reach};
use medlarpoint_wire::{Frame, PROTOCOL_VERSION, encode};

use super::*;

/// Limit on the size of a datagram, in bytes. It stays below the usual path MTU.
const MAX_BYTES: usize = 1_200;

fn longest_name(number: usize) -> Name {
    format!("{number:0>63}").parse().unwrap()
}

fn size(body: Body) -> usize {
    let from = Vm(longest_name(0));
    let frame = Frame { protocol: PROTOCOL_VERSION, fleet: longest_name(0), from, body };
    encode(&frame).unwrap().len()
}

/// Guards against datagrams that the network splits or drops: 87 workspaces with names of
/// the longest length and large numbers, and tokens that are returned.
#[test]
fn datagrams_are_bounded_in_size() {
    let quota = Quota { calls_per_1000_s: 9_000_000_000, burst: 9_000_000 };
    let names: Vec<Name> = (0..87).map(longest_name).collect();
    let vm = Vm(longest_name(0));
    let mut now = Duration::from_secs(1_000_000);
    let mut allocator = Allocator::default();
    allocator.set_reach(now, Reach { reachable: 1, known: 1 });
    allocator.set_quotas(now, names.iter().map(|name| (name, quota)));
    now += Duration::from_secs(10);
    let mut purse = Purse::new(u64::MAX);
    let (mut returned, mut lent) = (0, 0);
    for round in 0..12 {
        // Calls come in bursts, so that tokens are left over.
        for name in names.iter().filter(|_| round % 4 == 0) {
            for _ in 0..100 {
                purse.admit(now, name, quota);
            }
            for _ in 0..100 {
                purse.give_up(now, name);
            }
        }
        now += Duration::from_millis(200);
        let requests = purse.requests(now, u32::MAX / 2, |_| Some(&vm));
        let requests: Vec<Request> = requests.into_iter().map(|(_, request)| request).collect();
        for request in requests {
            returned += request.wants.iter().map(|want| want.returned.len()).sum::<usize>();
            assert!(size(request_body(&request)) <= MAX_BYTES);
            let known = Request { known: 1, ..request };
            let grant = allocator.lend(now, &vm, &known).unwrap();
            lent += grant.loans.iter().map(|loan| loan.tokens).sum::<u32>();
            assert!(size(grant_body(&grant)) <= MAX_BYTES);
            purse.receive(now, &grant);
        }
    }
    assert!(returned > 0 && lent > 0);
}

/// Guards against fields that are lost on the way.
#[test]
fn requests_and_grants_arrive_as_they_were_sent() {
    let returned = vec![Return { seq: 3, tokens: 2 }];
    let want = Want { workspace: longest_name(1), tokens: 9, returned };
    let request = Request { boot: 5, seq: 4, known: 89, wants: vec![want] };
    let Body::QuotaRequest { boot, seq, known, wants } = request_body(&request) else {
        panic!("not a request");
    };
    assert_eq!(request_of(boot, seq, known, &wants), request);
    let retry = Some(Duration::from_millis(250));
    let loan = Loan { workspace: longest_name(1), tokens: 7, retry };
    let grant = Grant { boot: 5, seq: 4, loans: vec![loan] };
    let Body::QuotaGrant { boot, seq, loans } = grant_body(&grant) else {
        panic!("not a grant");
    };
    assert_eq!(grant_of(boot, seq, &loans), grant);
}
