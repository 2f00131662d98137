//! Messages of the operators' API.

mod commit;
mod history;
mod status;
mod target;
mod why;

pub use commit::{Commit, Committed, Edit, Expect, Resources};
pub use history::{Action, Changed, History, Line, Reached};
pub use status::{Laggard, Place, PlaceState, Status, Store, TargetStatus};
pub use target::{Drain, Target};
pub use why::{Finding, Topic, Why};
