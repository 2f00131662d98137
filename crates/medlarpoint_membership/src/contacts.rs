//! First addresses for a daemon that knows nobody, kept in one store value.

use std::net::SocketAddr;

use indexmap::IndexMap;
use medlarpoint_model::DataCentre;
use medlarpoint_wire::Record;
use serde::{Deserialize, Serialize};

/// Addresses kept per data centre.
const PER_DATA_CENTRE: usize = 5;

/// A few peer addresses per data centre.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Contacts(pub IndexMap<DataCentre, Vec<SocketAddr>>);

impl Contacts {
    /// Renews the addresses of a data centre; tells whether anything changed.
    /// Addresses of live members stay, so that a restart changes one of them.
    pub fn renew<'a>(
        &mut self,
        place: &DataCentre,
        live: impl Iterator<Item = &'a Record>,
    ) -> bool {
        let live: Vec<SocketAddr> = live.map(|record| record.peer).collect();
        let known = self.0.entry(place.clone()).or_default();
        let mut next: Vec<SocketAddr> =
            known.iter().copied().filter(|address| live.contains(address)).collect();
        let spare = live.iter().copied().filter(|address| !known.contains(address));
        next.extend(spare);
        next.truncate(PER_DATA_CENTRE);
        if *known == next {
            return false;
        }
        *known = next;
        true
    }

    /// Iterates over all addresses, those of `near` first.
    pub fn addresses(&self, near: &DataCentre) -> impl Iterator<Item = SocketAddr> {
        let first = self.0.get(near).into_iter().flatten();
        let rest = self.0.iter().filter(move |(place, _)| *place != near);
        first.chain(rest.flat_map(|(_, addresses)| addresses)).copied()
    }
}
