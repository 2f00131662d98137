//! Stand-ins for the platform's store, targets and callers.

mod http;
mod ledger;
mod load;
mod store;
mod target;

pub use http::{Http, HttpError};
pub use ledger::{Ledger, Run};
pub use load::{Kind, Load, Phase, Report, Tally};
pub use store::{Faults, Stats, StoreServer};
pub use target::{Announcer, Pace, TargetOptions, TargetServer};
