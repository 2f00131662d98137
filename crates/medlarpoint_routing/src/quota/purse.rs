//! The borrower's side of quotas.

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexMap;
use medlarpoint_model::{Name, Quota, Vm};

use super::arrivals::Arrivals;
use super::{ASK_INTERVAL, Grant, MAX_WAIT, Request, Return, TOKEN_LIFETIME, Want};

/// Time for which tokens are asked for ahead of the calls.
const AHEAD: Duration = Duration::from_millis(300);
/// Shortest interval between requests, if calls wait for a token.
const MIN_ASK_INTERVAL: Duration = Duration::from_millis(40);
/// Time after which an unanswered request is not expected to be answered.
const ANSWER_TIMEOUT: Duration = MAX_WAIT;
/// Limit on the workspaces of one request, so that it fits into a datagram even if all names
/// have the longest length.
const WANTS_PER_REQUEST: usize = 8;
/// Limit on the grants of which a request returns tokens of one workspace, for the same
/// reason.
const RETURNS_PER_WANT: usize = 2;
/// Time within which rejected calls are asked to return. A later time would tell nothing
/// of the load then.
const RETURN_SPREAD: Duration = Duration::from_secs(5);
/// Time after which callers return if no allocator responds: about the time in which the
/// next one takes over.
const RETRY_WITHOUT_ALLOCATOR: Duration = Duration::from_secs(1);
/// Time without calls after which a workspace is forgotten.
const IDLE_TIME: Duration = Duration::from_secs(10);

/// Permission for one call. It counts as used unless it is refunded.
#[derive(Debug, PartialEq, Eq)]
pub struct Token {
    seq: u64,
    expires: Duration,
}

/// Decision on a call of a workspace with a quota.
#[derive(Debug, PartialEq, Eq)]
pub enum Admission {
    /// The call may run.
    Granted(Token),
    /// The call waits for a grant, or for at most [`MAX_WAIT`].
    Wait,
    /// The call is rejected; its caller may return after this time.
    Rejected(Duration),
}

/// Tokens of one grant.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Lot {
    seq: u64,
    expires: Duration,
    tokens: u32,
}

/// A request that may still be answered.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Pending {
    sent_at: Duration,
    /// Tokens asked for, by workspace.
    wants: Vec<(Name, u32)>,
}

#[derive(Clone, Debug, Default, PartialEq)]
struct Account {
    quota: Option<Quota>,
    /// Unexpired tokens, in order of expiry.
    lots: VecDeque<Lot>,
    arrivals: Arrivals,
    last_arrival: Duration,
    /// Number of calls that wait for a token.
    waiting: u32,
    /// Time until which calls without a token are rejected.
    rejects_until: Duration,
    /// Time at which the caller that was rejected last may return.
    last_return: Duration,
    /// Tokens that have expired unused since they were last counted.
    expired: u64,
}

impl Account {
    fn drop_expired(&mut self, now: Duration) {
        while let Some(lot) = self.lots.front()
            && lot.expires <= now
        {
            self.expired += u64::from(lot.tokens);
            self.lots.pop_front();
        }
    }

    fn take(&mut self, now: Duration) -> Option<Token> {
        self.drop_expired(now);
        let lot = self.lots.front_mut()?;
        let token = Token { seq: lot.seq, expires: lot.expires };
        lot.tokens -= 1;
        if lot.tokens == 0 {
            self.lots.pop_front();
        }
        Some(token)
    }

    fn put(&mut self, seq: u64, expires: Duration, tokens: u32) {
        if let Some(lot) = self.lots.iter_mut().find(|lot| lot.seq == seq) {
            lot.tokens += tokens;
            return;
        }
        let index = self.lots.partition_point(|lot| lot.expires <= expires);
        self.lots.insert(index, Lot { seq, expires, tokens });
    }

    fn usable(&self) -> u32 {
        self.lots.iter().map(|lot| lot.tokens).sum()
    }

    /// Returns the time after which the caller of a rejected call may return. Callers get
    /// times one after the other at the rate of the quota, so that they do not all return
    /// when there is room for the first.
    fn retry_after(&mut self, now: Duration, room_at: Duration) -> Duration {
        let per_1000_s = self.quota.map_or(0, |quota| quota.calls_per_1000_s).max(1);
        let step = Duration::from_nanos(1_000_000_000_000 / per_1000_s).min(RETURN_SPREAD);
        let next = self.last_return + step;
        self.last_return =
            if next < room_at || next > room_at + RETURN_SPREAD { room_at } else { next };
        self.last_return.saturating_sub(now)
    }

    /// Takes the tokens out of the lots that expire before the next request and are not
    /// likely to be used until then.
    fn take_surplus(&mut self, now: Duration) -> Vec<Return> {
        let left = ASK_INTERVAL + MIN_ASK_INTERVAL;
        let horizon = now + left;
        let soon: u32 =
            self.lots.iter().filter(|lot| lot.expires <= horizon).map(|lot| lot.tokens).sum();
        let expected =
            (self.arrivals.per_second(now) * left.as_secs_f64()).ceil() as u32 + self.waiting;
        let mut surplus = soon.saturating_sub(expected);
        let mut returned = Vec::new();
        for lot in self.lots.iter_mut().rev().filter(|lot| lot.expires <= horizon) {
            let tokens = surplus.min(lot.tokens);
            if tokens > 0 && returned.len() < RETURNS_PER_WANT {
                lot.tokens -= tokens;
                surplus -= tokens;
                returned.push(Return { seq: lot.seq, tokens });
            }
        }
        self.lots.retain(|lot| lot.tokens > 0);
        returned
    }
}

/// Tokens that a daemon has borrowed for the calls of its callers.
#[derive(Clone, Debug, PartialEq)]
pub struct Purse {
    boot: u64,
    seq: u64,
    accounts: IndexMap<Name, Account>,
    pending: IndexMap<u64, Pending>,
    asked_at: Duration,
}

impl Purse {
    /// Creates an empty purse for one run of a daemon.
    pub fn new(boot: u64) -> Self {
        Self {
            boot,
            seq: 0,
            accounts: IndexMap::new(),
            pending: IndexMap::new(),
            asked_at: Duration::ZERO,
        }
    }

    /// Decides on a call that has arrived. A call that has to wait is followed up by
    /// [`Purse::resume`] or [`Purse::give_up`].
    pub fn admit(&mut self, now: Duration, workspace: &Name, quota: Quota) -> Admission {
        if !self.accounts.contains_key(workspace) {
            self.accounts.insert(workspace.clone(), Account::default());
        }
        let Some(account) = self.accounts.get_mut(workspace) else {
            return Admission::Rejected(RETRY_WITHOUT_ALLOCATOR);
        };
        account.arrivals.record(now);
        account.last_arrival = now;
        if account.quota != Some(quota) {
            let lower = account.quota.is_some_and(|old| {
                quota.calls_per_1000_s < old.calls_per_1000_s || quota.burst < old.burst
            });
            if lower {
                // A lower quota takes effect at once.
                account.lots.clear();
            }
            account.quota = Some(quota);
        }
        let decision = account.decide(now);
        if decision == Admission::Wait {
            account.waiting += 1;
        }
        decision
    }

    /// Decides again on a call that waits, after a grant. It no longer waits unless the
    /// decision says so.
    pub fn resume(&mut self, now: Duration, workspace: &Name) -> Admission {
        let Some(account) = self.accounts.get_mut(workspace) else {
            return Admission::Rejected(RETRY_WITHOUT_ALLOCATOR);
        };
        let decision = account.decide(now);
        if decision != Admission::Wait {
            account.waiting = account.waiting.saturating_sub(1);
        }
        decision
    }

    /// Ends the wait of a call without a token. Returns the time after which its caller may
    /// return.
    pub fn give_up(&mut self, now: Duration, workspace: &Name) -> Duration {
        let Some(account) = self.accounts.get_mut(workspace) else {
            return RETRY_WITHOUT_ALLOCATOR;
        };
        account.waiting = account.waiting.saturating_sub(1);
        account.retry_after(now, now + RETRY_WITHOUT_ALLOCATOR)
    }

    /// Returns the token of a call that has not run. It keeps its expiry.
    #[expect(clippy::needless_pass_by_value, reason = "a token is returned only once")]
    pub fn refund(&mut self, now: Duration, workspace: &Name, token: Token) {
        let Token { seq, expires } = token;
        if let Some(account) = self.accounts.get_mut(workspace)
            && expires > now
        {
            account.put(seq, expires, 1);
        }
    }

    /// Returns whether calls wait for a token and a request may be sent. Tokens that were already
    /// asked for are subtracted in [`Purse::requests`].
    pub fn may_ask_for_waiting(&self, now: Duration) -> bool {
        now >= self.asked_at + MIN_ASK_INTERVAL
            && self.accounts.values().any(|account| account.waiting > 0)
    }

    /// Returns the time of the next request for calls that wait.
    pub fn next_ask(&self) -> Duration {
        self.asked_at + MIN_ASK_INTERVAL
    }

    /// Returns the requests to be sent now, with the member that each is for. `known` is the
    /// number of members that this daemon knows of, and `allocator` returns the member that
    /// is responsible for a workspace.
    pub fn requests<'a>(
        &mut self,
        now: Duration,
        known: u32,
        allocator: impl Fn(&Name) -> Option<&'a Vm>,
    ) -> Vec<(&'a Vm, Request)> {
        self.asked_at = now;
        self.pending.retain(|_, pending| now < pending.sent_at + TOKEN_LIFETIME);
        self.accounts.retain(|_, account| {
            account.drop_expired(now);
            let is_idle = now.saturating_sub(account.last_arrival) >= IDLE_TIME;
            !is_idle || account.waiting > 0 || account.expired > 0
        });
        let mut in_flight: IndexMap<&Name, u32> = IndexMap::new();
        let expected =
            self.pending.values().filter(|pending| now < pending.sent_at + ANSWER_TIMEOUT);
        for (workspace, tokens) in expected.flat_map(|pending| &pending.wants) {
            *in_flight.entry(workspace).or_default() += tokens;
        }
        let mut wants: IndexMap<&'a Vm, Vec<Want>> = IndexMap::new();
        for (workspace, account) in &mut self.accounts {
            let Some(vm) = allocator(workspace) else {
                continue;
            };
            let returned = account.take_surplus(now);
            let ahead = account.arrivals.per_second(now) * AHEAD.as_secs_f64();
            let target = ahead.round() as u32 + account.waiting;
            let have = account.usable() + in_flight.get(workspace).copied().unwrap_or_default();
            let mut tokens = target.saturating_sub(have);
            if now < account.rejects_until {
                tokens = 0;
            }
            if tokens > 0 || !returned.is_empty() {
                let want = Want { workspace: workspace.clone(), tokens, returned };
                wants.entry(vm).or_default().push(want);
            }
        }
        let mut requests = Vec::new();
        for (vm, wants) in wants {
            for wants in wants.chunks(WANTS_PER_REQUEST) {
                self.seq += 1;
                let asked = wants.iter().map(|want| (want.workspace.clone(), want.tokens));
                let pending = Pending { sent_at: now, wants: asked.collect() };
                self.pending.insert(self.seq, pending);
                let wants = wants.to_vec();
                requests.push((vm, Request { boot: self.boot, seq: self.seq, known, wants }));
            }
        }
        requests
    }

    /// Takes the tokens of a grant. They expire counted from when the request was sent. A
    /// grant that is repeated, or that answers no request of this run, is ignored.
    pub fn receive(&mut self, now: Duration, grant: &Grant) {
        if grant.boot != self.boot {
            return;
        }
        let Some(pending) = self.pending.swap_remove(&grant.seq) else {
            return;
        };
        let expires = pending.sent_at + TOKEN_LIFETIME;
        for loan in &grant.loans {
            let asked = pending.wants.iter().find(|(name, _)| *name == loan.workspace);
            let (Some((_, asked)), Some(account)) = (asked, self.accounts.get_mut(&loan.workspace))
            else {
                continue;
            };
            let tokens = loan.tokens.min(*asked);
            if expires <= now {
                account.expired += u64::from(tokens);
            } else if tokens > 0 {
                account.put(grant.seq, expires, tokens);
            }
            if let Some(retry) = loan.retry {
                account.rejects_until = now + retry;
            }
        }
    }

    /// Returns and resets the number of tokens that have expired unused, by workspace.
    pub fn take_expired(&mut self) -> Vec<(Name, u64)> {
        let accounts = self.accounts.iter_mut().filter(|(_, account)| account.expired > 0);
        accounts
            .map(|(name, account)| (name.clone(), std::mem::take(&mut account.expired)))
            .collect()
    }
}

impl Account {
    fn decide(&mut self, now: Duration) -> Admission {
        if let Some(token) = self.take(now) {
            return Admission::Granted(token);
        }
        if now < self.rejects_until {
            let room_at = self.rejects_until;
            return Admission::Rejected(self.retry_after(now, room_at));
        }
        Admission::Wait
    }
}

#[cfg(test)]
mod tests;
