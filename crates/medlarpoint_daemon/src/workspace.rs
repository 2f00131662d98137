//! Workspace of a call: identified by its key at the outbound proxy, named to the target by
//! the inbound proxy.

use std::sync::Arc;

use http::HeaderMap;
use medlarpoint_model::Workspace;
use medlarpoint_platform::call::{self, CallerKey};
use medlarpoint_routing::KeyTable;

use crate::header;
use crate::outbound::RoutingError;

/// Who made a call, as far as its credentials tell.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Caller {
    /// The version in force has no workspaces, so callers need no key.
    Unnamed,
    /// The call carries no key.
    Missing,
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
            Self::Unknown => Some(RoutingError::UnknownKey),
            Self::Unnamed | Self::Known(_) => None,
        }
    }

    /// Returns the workspace of the call.
    pub(crate) fn workspace(self) -> Option<Arc<Workspace>> {
        match self {
            Self::Known(workspace) => Some(workspace),
            Self::Unnamed | Self::Missing | Self::Unknown => None,
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
        CallerKey::Malformed => Caller::Unknown,
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

#[cfg(test)]
mod tests;
