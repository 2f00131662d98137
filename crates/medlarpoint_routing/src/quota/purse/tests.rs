//! Tests of [`super`].

use super::*;
use crate::quota::Loan;

const START: Duration = Duration::from_secs(100);
const QUOTA: Quota = Quota { calls_per_1000_s: 100_000, burst: 50 };

fn name() -> Name {
    "a".parse().unwrap()
}

fn vm() -> Vm {
    "b".parse().unwrap()
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn ask(purse: &mut Purse, now: Duration) -> Vec<Request> {
    let vm = vm();
    purse.requests(now, 1, |_| Some(&vm)).into_iter().map(|(_, request)| request).collect()
}

fn grant(request: &Request, tokens: u32, retry: Option<Duration>) -> Grant {
    let loans = vec![Loan { workspace: name(), tokens, retry }];
    Grant { boot: request.boot, seq: request.seq, loans }
}

/// Returns a purse with a grant of 5 tokens that was asked for at `START`.
fn filled() -> Purse {
    let mut purse = Purse::new(7);
    for _ in 0..5 {
        assert_eq!(purse.admit(START, &name(), QUOTA), Admission::Wait);
    }
    let requests = ask(&mut purse, START);
    assert!(requests[0].wants[0].tokens >= 5);
    purse.receive(START + ms(10), &grant(&requests[0], 5, None));
    purse
}

/// Guards against tokens that are used after the allocator counts them as expired.
#[test]
fn tokens_expire_counted_from_the_request() {
    let mut purse = filled();
    assert!(matches!(purse.resume(START + ms(499), &name()), Admission::Granted(_)));
    assert_eq!(purse.resume(START + ms(500), &name()), Admission::Wait);
    assert_eq!(purse.take_expired(), vec![(name(), 4)]);
}

/// Guards against a grant that is used twice because its datagram arrives twice.
#[test]
fn a_repeated_grant_is_ignored() {
    let mut purse = Purse::new(7);
    purse.admit(START, &name(), QUOTA);
    let requests = ask(&mut purse, START);
    let grant = grant(&requests[0], 1, None);
    purse.receive(START, &grant);
    purse.receive(START, &grant);
    assert!(matches!(purse.resume(START, &name()), Admission::Granted(_)));
    assert_eq!(purse.admit(START, &name(), QUOTA), Admission::Wait);
}

/// Guards against a grant for an earlier run that had the same number.
#[test]
fn a_grant_for_an_earlier_run_is_ignored() {
    let mut purse = Purse::new(7);
    purse.admit(START, &name(), QUOTA);
    let requests = ask(&mut purse, START);
    purse.receive(START, &Grant { boot: 6, ..grant(&requests[0], 1, None) });
    assert_eq!(purse.resume(START, &name()), Admission::Wait);
}

/// Guards against a refund that renews the expiry of a token, or is lost.
#[test]
fn a_refunded_token_keeps_its_expiry() {
    let mut purse = filled();
    let Admission::Granted(token) = purse.resume(START, &name()) else {
        panic!("no token");
    };
    let other = Token { seq: token.seq, expires: token.expires };
    purse.refund(START + ms(300), &name(), token);
    assert_eq!(purse.accounts[&name()].usable(), 5);
    purse.refund(START + ms(500), &name(), other);
    assert_eq!(purse.resume(START + ms(500), &name()), Admission::Wait);
}

/// Guards against a flood of requests and of calls that wait after a refusal, and against
/// callers that all return at the same moment.
#[test]
fn calls_are_rejected_until_the_named_time_and_return_one_by_one() {
    let mut purse = Purse::new(7);
    purse.admit(START, &name(), QUOTA);
    let requests = ask(&mut purse, START);
    purse.receive(START, &grant(&requests[0], 0, Some(ms(150))));
    let mut times = vec![purse.resume(START, &name())];
    for _ in 0..3 {
        times.push(purse.admit(START, &name(), QUOTA));
    }
    let expected = [150, 160, 170, 180].map(|after| Admission::Rejected(ms(after)));
    assert_eq!(times, expected);
    assert_eq!(ask(&mut purse, START + ms(100)), Vec::new());
    assert_eq!(purse.admit(START + ms(150), &name(), QUOTA), Admission::Wait);
}

/// Guards against tokens that expire here while another daemon could use them.
#[test]
fn tokens_that_will_not_be_used_are_returned_before_they_expire() {
    let mut purse = filled();
    for _ in 0..5 {
        purse.give_up(START, &name());
    }
    let requests = ask(&mut purse, START + ms(400));
    let returned: u32 = requests[0].wants[0].returned.iter().map(|r| r.tokens).sum();
    assert!(returned > 0);
    assert_eq!(purse.accounts[&name()].usable(), 5 - returned);
}

/// Guards against tokens of a higher quota that are used after a lower one came into force.
#[test]
fn a_lower_quota_takes_effect_at_once() {
    let mut purse = filled();
    let lower = Quota { calls_per_1000_s: 1_000, ..QUOTA };
    assert_eq!(purse.admit(START + ms(20), &name(), lower), Admission::Wait);
}
