//! Converts requests and grants to the form in which daemons exchange them.

use std::time::Duration;

use medlarpoint_routing::quota::{Grant, Loan, Request, Return, Want};
use medlarpoint_wire::{Body, BootId, QuotaLoan, QuotaReturn, QuotaWant};

/// Returns the datagram of a request.
pub(super) fn request_body(request: &Request) -> Body {
    let wants = request.wants.iter().map(|want| QuotaWant {
        workspace: want.workspace.clone(),
        tokens: want.tokens,
        returned: want
            .returned
            .iter()
            .map(|Return { seq, tokens }| QuotaReturn { seq: *seq, tokens: *tokens })
            .collect(),
    });
    Body::QuotaRequest {
        boot: BootId(request.boot),
        seq: request.seq,
        known: request.known,
        wants: wants.collect(),
    }
}

/// Returns the request that a datagram contains.
pub(crate) fn request_of(boot: BootId, seq: u64, known: u32, wants: &[QuotaWant]) -> Request {
    let wants = wants.iter().map(|want| Want {
        workspace: want.workspace.clone(),
        tokens: want.tokens,
        returned: want
            .returned
            .iter()
            .map(|QuotaReturn { seq, tokens }| Return { seq: *seq, tokens: *tokens })
            .collect(),
    });
    Request { boot: boot.0, seq, known, wants: wants.collect() }
}

/// Returns the datagram of a grant.
pub(super) fn grant_body(grant: &Grant) -> Body {
    let loans = grant.loans.iter().map(|loan| QuotaLoan {
        workspace: loan.workspace.clone(),
        tokens: loan.tokens,
        retry_ms: loan.retry.map(|retry| retry.as_millis().max(1) as u64),
    });
    Body::QuotaGrant { boot: BootId(grant.boot), seq: grant.seq, loans: loans.collect() }
}

/// Returns the grant that a datagram contains.
pub(crate) fn grant_of(boot: BootId, seq: u64, loans: &[QuotaLoan]) -> Grant {
    let loans = loans.iter().map(|loan| Loan {
        workspace: loan.workspace.clone(),
        tokens: loan.tokens,
        retry: loan.retry_ms.map(Duration::from_millis),
    });
    Grant { boot: boot.0, seq, loans: loans.collect() }
}

#[cfg(test)]
mod tests;
