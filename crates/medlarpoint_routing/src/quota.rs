//! Quotas of workspaces over all daemons together.
//!
//! One daemon, the allocator of a workspace, lends tokens ([`Allocator`]); the others borrow
//! them for their callers ([`Purse`]). A token admits one call and expires [`TOKEN_LIFETIME`]
//! after the request for it was sent, on the clock of the borrower, so that clocks need not
//! agree. A lost message loses tokens and never creates any.

mod allocator;
mod arrivals;
mod bucket;
mod ledger;
mod loan;
mod purse;
mod share;

use std::time::Duration;

pub use allocator::Allocator;
pub use loan::{Grant, Loan, Request, Return, Want};
pub use purse::{Admission, Purse, Token};
pub use share::Reach;

/// Time after the request for it was sent at which a token expires. The required bound over
/// 5 s leaves room for 0.5 s of the rate.
pub const TOKEN_LIFETIME: Duration = Duration::from_millis(500);
/// Interval between the requests of a borrower.
pub const ASK_INTERVAL: Duration = Duration::from_millis(200);
/// Time for which a call waits for a token.
pub const MAX_WAIT: Duration = Duration::from_millis(150);
/// Time for which a member has to be known before it may be an allocator, so that the
/// tables of the members agree on it.
pub const SETTLING_TIME: Duration = Duration::from_secs(2);
