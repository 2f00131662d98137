//! Dissemination of changed records by gossip.

use indexmap::IndexMap;
use medlarpoint_model::Vm;

/// Number of times a change is sent per doubling of the number of members.
const RETRANSMIT_FACTOR: u32 = 3;

/// Members with changed records, with the number of times each was sent.
#[derive(Clone, Debug, Default)]
pub(crate) struct Queue {
    sent: IndexMap<Vm, u32>,
}

impl Queue {
    /// Adds a changed record; if it is queued already, its send count restarts.
    pub(crate) fn push(&mut self, vm: Vm) {
        self.sent.insert(vm, 0);
    }

    /// Returns up to `count` changes, least sent first, and drops those that
    /// were sent often enough to reach `members` members.
    pub(crate) fn take(&mut self, count: usize, members: usize) -> Vec<Vm> {
        let limit = RETRANSMIT_FACTOR * (usize::BITS - members.max(1).leading_zeros());
        self.sent.sort_by(|_, a, _, b| a.cmp(b));
        let chosen: Vec<Vm> = self.sent.keys().take(count).cloned().collect();
        for sent in self.sent.values_mut().take(count) {
            *sent += 1;
        }
        self.sent.retain(|_, sent| *sent < limit);
        chosen
    }
}
