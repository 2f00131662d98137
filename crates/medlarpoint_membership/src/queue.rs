//! Changed records waiting to be passed on.

use indexmap::IndexMap;
use medlarpoint_model::Vm;

/// Times a change is passed on per doubling of the members.
const FACTOR: u32 = 3;

/// Changes with the number of times each was passed on.
#[derive(Clone, Debug, Default)]
pub(crate) struct Queue {
    sent: IndexMap<Vm, u32>,
}

impl Queue {
    /// Starts to pass on a change, anew if it was queued before.
    pub(crate) fn push(&mut self, vm: Vm) {
        self.sent.insert(vm, 0);
    }

    /// Takes up to `count` changes, least sent first, and drops those that
    /// were passed on often enough among `members`.
    pub(crate) fn take(&mut self, count: usize, members: usize) -> Vec<Vm> {
        let limit = FACTOR * (usize::BITS - members.max(1).leading_zeros());
        self.sent.sort_by(|_, a, _, b| a.cmp(b));
        let chosen: Vec<Vm> = self.sent.keys().take(count).cloned().collect();
        for sent in self.sent.values_mut().take(count) {
            *sent += 1;
        }
        self.sent.retain(|_, sent| *sent < limit);
        chosen
    }
}
