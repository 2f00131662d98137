//! An operator's order and its phases.

use std::sync::Arc;
use std::time::Duration;

use medlarpoint_model::Name;

/// Identifies an order. A later order of a service has a higher one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OrderId {
    /// Era of the store that holds the order.
    pub era: u64,
    /// Revision of the store that wrote the order.
    pub revision: u64,
}

/// Order to move a service to a version of its targets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Identity of the order.
    pub id: OrderId,
    /// Service that is moved.
    pub service: Name,
    /// Software version of the targets that it is moved to.
    pub version: Arc<str>,
    /// Time within which the order has to be decided and carried out.
    pub period: Duration,
}

impl Order {
    /// Returns whether both are the same order. A store that was restored from a copy
    /// returns it with the same revision in a later era.
    pub fn is_same(&self, other: &Self) -> bool {
        self.id.revision == other.id.revision && self.version == other.version
    }
}

/// Phase of an order. Of two phases that daemons know, the later variant is valid.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, strum::Display, strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum Phase {
    /// A few targets of the new version get a small share of the calls.
    Canary,
    /// All calls go to the new version, which is judged further.
    Shifting,
    /// The new version gets no calls.
    RolledBack,
    /// The new version has replaced the old one. Valid only once the store holds it.
    Completed,
}

impl Phase {
    /// Returns whether the order is still being decided.
    pub fn is_active(self) -> bool {
        matches!(self, Self::Canary | Self::Shifting)
    }
}
