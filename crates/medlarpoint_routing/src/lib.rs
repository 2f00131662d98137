//! Request routing, admission, retry and at-most-once decisions; no I/O.
//!
//! [`Call`] is the outbound side of one call: which target it is sent to, when
//! it is retried and which outcome the caller gets. [`Intake`] is the inbound
//! side: which calls are handed to the target, when, and which outcome may be
//! reported for them.

mod attempt;
mod breaker;
mod budget;
mod call;
mod candidate;
mod fair;
mod fence;
mod finished;
mod forecast;
mod hedge;
mod intake;
mod latency;
mod link;
mod outcome;
mod picker;
mod priority;
mod scheduler;
mod service_times;
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
