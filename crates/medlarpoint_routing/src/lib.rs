//! Request routing, admission, retry and at-most-once decisions; no I/O.
//!
//! [`Call`] is the outbound side of one call: whom to send it to, when to send
//! it again and what to tell the caller. [`Intake`] is the inbound side: what
//! to hand to the target, when, and what may be said about it.

mod attempt;
mod breaker;
mod budget;
mod call;
mod candidate;
mod fair;
mod fence;
mod forecast;
mod gate;
mod hedge;
mod idempotency;
mod intake;
mod latency;
mod link;
mod outcome;
mod patience;
mod picker;
mod ranked;
mod recent;
mod route_table;
mod service;

pub use attempt::{AttemptId, AttemptInfo, Claim, IdempotencyKey};
pub use breaker::{Breaker, Generation};
pub use budget::{Budget, BudgetLimits};
pub use call::{
    Action as CallAction, AttemptResult, AttemptStatus, Call, CallResult, Constraints,
    Event as CallEvent, Selector,
};
pub use gate::{Entry, Gate, Load, Refusal, Settled, Ticket};
pub use hedge::HedgeDelays;
pub use idempotency::IdempotencyWindow;
pub use intake::{Action as IntakeAction, Claimed, Ended, Intake, Reply};
pub use latency::Latency;
pub use link::{LARGE_BYTES, Link};
pub use outcome::{FailurePoint, Outcome, Retry};
pub use patience::Patience;
pub use picker::{
    CallInfo, Destination, Endpoint, Locality, NetworkCosts, Picker, ResponseInfo, Strategy,
};
pub use route_table::{ResolvedRoute, RouteTable};
