//! Request and response types of the operators' API.

mod commit;
mod history;
mod status;
mod target;
mod why;

pub use commit::{Commit, CommitResult, Edit, Expect, Resources};
pub use history::{Action, Activation, History, HistoryEntry, ResourceChange};
pub use status::{
    DataCentreState, DataCentreStatus, Laggard, RolloutStatus, Status, StoreStatus, TargetStatus,
};
pub use target::{Drain, Target};
pub use why::{Explanation, Finding, Topic};
