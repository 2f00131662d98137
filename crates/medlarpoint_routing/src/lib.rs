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
mod departures;
mod fair;
mod fair_due;
mod fence;
mod finished;
mod forecast;
mod hedge;
mod idempotency;
mod intake;
mod key_table;
mod latency;
mod link;
mod outcome;
mod picker;
mod priority;
pub mod quota;
mod request_link;
mod route_table;
mod scheduler;
mod service_times;
mod suspects;
mod target_limit;
mod target_run;
mod wait_estimator;

pub use attempt::{AttemptId, AttemptInfo, Claim, IdempotencyKey};
pub use breaker::{Breaker, Generation};
pub use budget::{Budget, BudgetLimits};
pub use call::{
    Action as CallAction, AttemptResult, AttemptStatus, Call, CallResult, Constraints,
    Event as CallEvent, Selector,
};
pub use departures::Departures;
pub use hedge::HedgeDelays;
pub use idempotency::IdempotencyWindow;
pub use intake::{Action as IntakeAction, ClaimResult, Completion, Intake, Reply};
pub use key_table::KeyTable;
pub use latency::Latency;
pub use link::{LARGE_MESSAGE_BYTES, Link};
pub use outcome::{FailurePoint, Outcome, Retry};
pub use picker::{
    CallInfo, Destination, Endpoint, Locality, NetworkCosts, Picker, ResponseInfo, Strategy,
};
pub use request_link::RequestLink;
pub use route_table::{ResolvedRoute, RouteTable};
pub use scheduler::{Admission, Decision, Load, Rejection, Scheduler, Ticket};
pub use suspects::{InvalidReport, Report as SuspectReport, Suspects, Suspicion, Verdict};
pub use target_run::{RunEnd, RunningCall, TargetRun};
pub use wait_estimator::WaitEstimator;
