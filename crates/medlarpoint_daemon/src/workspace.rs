//! Workspace of a call: identified by its key at the outbound proxy, named to the target by
//! the inbound proxy.

use std::sync::{Arc, Mutex};

use http::HeaderMap;
use indexmap::IndexSet;
use medlarpoint_model::{Name, Workspace};
use medlarpoint_platform::call::{self, CallerKey};
use medlarpoint_routing::KeyTable;

use crate::event::Event;
use crate::header;
use crate::outbound::RoutingError;
use crate::state::{InForce, Shared, lock};

/// Limit on the workspaces that metrics name during one run of the daemon, since the recorder
/// never drops a series.
const MAX_LABELS: usize = 256;
/// Label of the workspaces beyond [`MAX_LABELS`].
const OTHER_LABEL: &str = "other";

/// Who made a call, as far as its credentials tell.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Caller {
    /// The version in force has no workspaces, so callers need no key.
    Unnamed,
    /// The call carries no key.
    Missing,
    /// The credentials of the call are not a key.
    Malformed,
    /// The key of the call belongs to no workspace.
    Unknown,
    /// The key of the call belongs to this workspace.
    Known(Arc<Workspace>),
}

impl Caller {
    /// Returns the reason to reject the call on a route that is not public.
    pub(crate) fn denial(&self) -> Option<RoutingError> {
        match self {
            Self::Missing => Some(RoutingError::MissingKey),
            Self::Malformed => Some(RoutingError::MalformedKey),
            Self::Unknown => Some(RoutingError::UnknownKey),
            Self::Unnamed | Self::Known(_) => None,
        }
    }

    /// Returns the workspace of the call.
    pub(crate) fn workspace(self) -> Option<Arc<Workspace>> {
        match self {
            Self::Known(workspace) => Some(workspace),
            Self::Unnamed | Self::Missing | Self::Malformed | Self::Unknown => None,
        }
    }
}

/// Identifies the caller of a call. Removes its key and what it states about its workspace
/// from the headers, unless the version in force has no workspaces.
pub(crate) fn identify(keys: &KeyTable, headers: &mut HeaderMap) -> Caller {
    headers.remove(&header::WORKSPACE);
    if !keys.has_workspaces() {
        return Caller::Unnamed;
    }
    // A caller could otherwise use the fair share of a workspace.
    headers.remove(&header::TENANT);
    call::set_workspace(headers, None);
    match call::take_key(headers) {
        CallerKey::Absent => Caller::Missing,
        CallerKey::Malformed => Caller::Malformed,
        CallerKey::Present(digest) => {
            keys.find(digest).map_or(Caller::Unknown, |found| Caller::Known(Arc::clone(found)))
        }
    }
}

/// Replaces the name of the workspace between proxies by the one for the target. Without
/// workspaces, the target gets the headers of the caller.
pub(crate) fn set_for_target(headers: &mut HeaderMap, has_workspaces: bool) {
    let workspace = headers.remove(&header::WORKSPACE);
    if workspace.is_some() || has_workspaces {
        let name = workspace.as_ref().and_then(|value| value.to_str().ok());
        call::set_workspace(headers, name);
    }
}

/// Counts a call that was rejected for its key.
pub(crate) fn count_denial(reason: RoutingError) {
    let cause: &'static str = reason.into();
    metrics::counter!("medlarpoint_keys_rejected_total", "cause" => cause).increment(1);
}

/// Reports how the keys of the version in force differ from those of the previous one.
pub(crate) fn report_key_changes(shared: &Shared, previous: &InForce, in_force: &InForce) {
    let version = in_force.snapshot.version;
    let named = in_force.snapshot.workspaces().filter(|workspace| !workspace.is_placeholder());
    let workspaces = named.count();
    metrics::gauge!("medlarpoint_workspaces").set(workspaces as f64);
    let added = in_force.keys.added_since(&previous.keys);
    let removed = previous.keys.added_since(&in_force.keys);
    if added > 0 || removed > 0 {
        shared.emit(&Event::KeysChanged { version, workspaces, added, removed });
    }
}

/// Names of workspaces in metrics.
///
/// Invariant: there are at most [`MAX_LABELS`].
#[derive(Debug, Default)]
pub(crate) struct Labels(Mutex<IndexSet<Name>>);

impl Labels {
    /// Returns the name of a workspace in metrics: its own, unless too many others have been
    /// named before.
    pub(crate) fn of(&self, workspace: &Workspace) -> Name {
        let mut names = lock(&self.0);
        if names.contains(&workspace.name) {
            return workspace.name.clone();
        }
        if names.len() < MAX_LABELS {
            names.insert(workspace.name.clone());
            return workspace.name.clone();
        }
        OTHER_LABEL.parse().expect("a valid literal")
    }
}

#[cfg(test)]
mod tests;
