//! Test servers and load generators that stand in for the platform's store, targets
//! and callers.

mod execution_log;
mod http;
mod load;
mod store;
mod target;

pub use execution_log::{Execution, ExecutionLog};
pub use http::{HttpClient, HttpError};
pub use load::{Load, Phase, Report, RequestTemplate, Tally};
pub use store::{Faults, Stats, StoreServer};
pub use target::{Announcer, CRASH_QUERY, ServiceTime, TargetOptions, TargetServer};
