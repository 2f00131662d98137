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
mod hedge;
mod intake;
mod latency;
mod link;
mod outcome;
mod picker;
mod ranked;
mod recent;
mod scheduler;
mod service;
mod table;
mod timeouts;
mod window;

pub use attempt::{AttemptId, Claim, Head, IdempotencyKey};
pub use breaker::{Breaker, Generation};
pub use budget::{Allowance, Budget};
pub use call::{
    Action as CallAction, Call, Event as CallEvent, Final, Known, Pick, Terms, Verdict,
};
pub use hedge::Hedge;
pub use intake::{Action as IntakeAction, ClaimResult, Completion, Intake, Reply};
pub use latency::Latency;
pub use link::{LARGE_RESPONSE_BYTES, Link};
pub use outcome::{Outcome, Point, Retry};
pub use picker::{Ask, Choice, Distances, Endpoint, Locality, Picker, Report, Strategy};
pub use scheduler::{Admission, Decision, Load, Rejection, Scheduler, Ticket};
pub use table::{Plan, Routes};
pub use timeouts::Timeouts;
pub use window::Window;
