//! Selects the daemons that keep an entry in the store.
//!
//! A daemon that starts needs one other daemon to learn of all of them, so a few entries
//! per data centre are enough. The calls to the store then grow with the number of data
//! centres, not with that of daemons.

use medlarpoint_model::Vm;

use crate::{Role, rank};

/// Number of daemons of each data centre that keep an entry.
const REGISTRARS: usize = 3;

/// Returns whether a daemon keeps an entry, given the live members of its data centre. A
/// daemon that knows no other member does.
pub fn is_registrar<'a>(local: &Vm, members: impl Iterator<Item = &'a Vm>) -> bool {
    rank(Role::Registrar, local, members) < REGISTRARS
}

#[cfg(test)]
mod tests;
