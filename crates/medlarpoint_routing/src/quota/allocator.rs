//! The lender's side of quotas.

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexMap;
use medlarpoint_model::{Name, Quota, Vm};

use super::bucket::Bucket;
use super::ledger::Ledger;
use super::share::{Reach, Share, Terms};
use super::{Grant, Loan, Request, SETTLING_TIME, TOKEN_LIFETIME, Want};

/// Time for which a grant is remembered, to repeat it and to accept returned tokens. Those
/// that arrive later have expired at the borrower.
const GRANT_RETENTION: Duration = TOKEN_LIFETIME;
/// Time after its last request for which a borrower is remembered. A request that is
/// repeated later is answered with tokens that have expired.
const BORROWER_RETENTION: Duration = Duration::from_secs(60);
/// Shortest time after a refusal at which a borrower asks again, which bounds the number
/// of its requests.
const MIN_RETRY: Duration = Duration::from_millis(150);
/// Longest time that a refusal names. Quotas and members may have changed by then.
const MAX_RETRY: Duration = Duration::from_secs(30);

/// Tokens of a workspace with a quota.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Account {
    quota: Quota,
    terms: Terms,
    bucket: Bucket,
    ledger: Ledger,
}

/// A grant with what may still be returned of it.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Granted {
    at: Duration,
    grant: Grant,
    /// Tokens that have not been returned, in the order of the loans.
    outstanding: Vec<u32>,
}

/// A daemon that has asked for tokens.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Borrower {
    boot: u64,
    /// Highest number of a request in this run.
    seq: u64,
    known: u32,
    asked_at: Duration,
    recent: VecDeque<Granted>,
}

/// Lends the tokens of the workspaces that the local daemon is responsible for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Allocator {
    own_reach: Reach,
    share: Share,
    accounts: IndexMap<Name, Account>,
    borrowers: IndexMap<Vm, Borrower>,
}

impl Default for Allocator {
    fn default() -> Self {
        let reach = Reach { reachable: 1, known: 1 };
        Self {
            own_reach: reach,
            share: Share::new(reach),
            accounts: IndexMap::new(),
            borrowers: IndexMap::new(),
        }
    }
}

impl Allocator {
    /// Returns the number of workspaces that this daemon is responsible for.
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Returns whether this daemon is responsible for no workspace.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// Sets the workspaces that this daemon is responsible for, with their quotas in the
    /// version in force. Those that are new begin in debt, since the previous allocator may
    /// still lend; those that are missing are forgotten.
    pub fn set_quotas<'a>(
        &mut self,
        now: Duration,
        quotas: impl Iterator<Item = (&'a Name, Quota)>,
    ) {
        let mut accounts = IndexMap::with_capacity(self.accounts.len());
        for (workspace, quota) in quotas {
            let terms = self.share.terms(quota);
            let account = match self.accounts.swap_remove(workspace) {
                Some(mut account) => {
                    if account.terms != terms {
                        account.bucket.set_terms(now, terms);
                    }
                    Account { quota, terms, ..account }
                }
                None => Account {
                    quota,
                    terms,
                    bucket: Bucket::after_takeover(now, terms),
                    ledger: Ledger::default(),
                },
            };
            accounts.insert(workspace.clone(), account);
        }
        self.accounts = accounts;
        if self.accounts.is_empty() {
            self.borrowers.clear();
        }
    }

    /// Sets the members that this daemon reaches and knows of. While it is responsible for
    /// no workspace, the share follows at once.
    pub fn set_reach(&mut self, now: Duration, reach: Reach) {
        self.own_reach = reach;
        if self.accounts.is_empty() {
            self.share = Share::new(reach);
            return;
        }
        self.borrowers
            .retain(|_, borrower| now.saturating_sub(borrower.asked_at) < BORROWER_RETENTION);
        self.update_share(now);
    }

    /// Updates the share. A daemon that has restarted does not know the dead members that its
    /// borrowers know of, so the highest number counts.
    fn update_share(&mut self, now: Duration) {
        let recent = self
            .borrowers
            .values()
            .filter(|borrower| now.saturating_sub(borrower.asked_at) < SETTLING_TIME);
        let told = recent.map(|borrower| borrower.known).max().unwrap_or_default();
        let reach = Reach { known: self.own_reach.known.max(told), ..self.own_reach };
        if !self.share.update(now, reach) {
            return;
        }
        for account in self.accounts.values_mut() {
            account.terms = self.share.terms(account.quota);
            account.bucket.set_terms(now, account.terms);
        }
    }

    /// Answers a request for tokens. A repeated request gets the same grant again. Returns
    /// `None` for a request that must not be answered: an outdated one, or one that is for
    /// other daemons only.
    pub fn lend(&mut self, now: Duration, from: &Vm, request: &Request) -> Option<Grant> {
        if !request.wants.iter().any(|want| self.accounts.contains_key(&want.workspace)) {
            return None;
        }
        let known = self.borrowers.get(from).filter(|borrower| borrower.boot >= request.boot);
        if let Some(borrower) = known
            && (borrower.boot > request.boot || request.seq <= borrower.seq)
        {
            return borrower.repeat(now, request);
        }
        self.remember(now, from, request);
        self.update_share(now);
        for want in &request.wants {
            self.take_back(now, from, want);
        }
        let loans: Vec<Loan> =
            request.wants.iter().filter_map(|want| self.loan(now, want)).collect();
        let grant = Grant { boot: request.boot, seq: request.seq, loans };
        let outstanding = grant.loans.iter().map(|loan| loan.tokens).collect();
        if let Some(borrower) = self.borrowers.get_mut(from) {
            let granted = Granted { at: now, grant: grant.clone(), outstanding };
            borrower.recent.push_back(granted);
        }
        Some(grant)
    }

    fn remember(&mut self, now: Duration, from: &Vm, request: &Request) {
        let Request { boot, seq, known, .. } = *request;
        let recent = match self.borrowers.swap_remove(from) {
            Some(mut borrower) if borrower.boot == boot => {
                borrower.forget_expired(now);
                borrower.recent
            }
            _ => VecDeque::new(),
        };
        let borrower = Borrower { boot, seq, known, asked_at: now, recent };
        self.borrowers.insert(from.clone(), borrower);
    }

    /// Takes back the unused tokens of earlier grants of this run. Tokens that another
    /// allocator, or an earlier run of this one, has lent are not known here and lost.
    fn take_back(&mut self, now: Duration, from: &Vm, want: &Want) {
        let (Some(account), Some(borrower)) =
            (self.accounts.get_mut(&want.workspace), self.borrowers.get_mut(from))
        else {
            return;
        };
        for returned in &want.returned {
            let granted = borrower.recent.iter_mut().find(|g| g.grant.seq == returned.seq);
            let Some(Granted { at, grant, outstanding }) = granted else {
                continue;
            };
            let index = grant.loans.iter().position(|loan| loan.workspace == want.workspace);
            let Some(outstanding) = index.and_then(|index| outstanding.get_mut(index)) else {
                continue;
            };
            let tokens = returned.tokens.min(*outstanding);
            *outstanding -= tokens;
            account.bucket.put_back(now, tokens);
            account.ledger.remove(*at, tokens);
        }
    }

    fn loan(&mut self, now: Duration, want: &Want) -> Option<Loan> {
        let account = self.accounts.get_mut(&want.workspace)?;
        let room = account.ledger.room(now, account.terms);
        let tokens = want.tokens.min(account.bucket.available(now)).min(room);
        account.bucket.take(tokens);
        if tokens > 0 {
            account.ledger.add(now, tokens);
        }
        let retry = (tokens < want.tokens).then(|| {
            let refilled = account.bucket.time_until_token(now).unwrap_or(MAX_RETRY);
            let room = account.ledger.time_until_room(now, account.terms).unwrap_or(MAX_RETRY);
            refilled.max(room).clamp(MIN_RETRY, MAX_RETRY)
        });
        Some(Loan { workspace: want.workspace.clone(), tokens, retry })
    }
}

impl Borrower {
    fn forget_expired(&mut self, now: Duration) {
        let is_expired = |granted: &Granted| now.saturating_sub(granted.at) >= GRANT_RETENTION;
        while self.recent.front().is_some_and(is_expired) {
            self.recent.pop_front();
        }
    }

    /// Returns the grant that the request was answered with, unless it has expired.
    fn repeat(&self, now: Duration, request: &Request) -> Option<Grant> {
        let granted = self.recent.iter().find(|granted| {
            granted.grant.seq == request.seq
                && self.boot == request.boot
                && now.saturating_sub(granted.at) < GRANT_RETENTION
        })?;
        Some(granted.grant.clone())
    }
}

#[cfg(test)]
mod tests;
