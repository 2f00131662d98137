//! Identity of a call, by which its next arrival is recognised.

use http::request;
use http_body::Body as _;
use medlarpoint_model::{BodyIdentity, CallIdentity, Fingerprint};

use crate::body::Body;
use crate::header;

/// Returns the fingerprint that the outbound proxy has sent with an attempt, or computes it
/// if that proxy had not read the body.
pub(crate) fn of_attempt(parts: &request::Parts, body: &Body) -> Fingerprint {
    if let Some(fingerprint) = header::parse(&parts.headers, &header::FINGERPRINT) {
        return fingerprint;
    }
    match body {
        Body::Full(bytes) => of_call(parts, BodyIdentity::Bytes(bytes.as_deref().unwrap_or(&[]))),
        Body::Shaped(_) | Body::Held(_) | Body::Streaming { .. } => {
            of_call(parts, BodyIdentity::Stream(body.size_hint().exact()))
        }
    }
}

/// Returns the fingerprint of a call with this body.
pub(crate) fn of_call(parts: &request::Parts, body: BodyIdentity<'_>) -> Fingerprint {
    let value = |name| parts.headers.get(name).map_or(&b""[..], |value| value.as_bytes());
    let authority = parts.uri.authority().map_or("", |authority| authority.as_str());
    let host = parts.headers.get(http::header::HOST).map_or(authority.as_bytes(), |h| h.as_bytes());
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    // The workspace stands for the credentials, so that a call is the same with each key of
    // its workspace, and at a daemon that never sees the key.
    let caller = match parts.headers.get(&header::WORKSPACE) {
        Some(workspace) => [workspace.as_bytes(), &[]],
        None => [value(&header::TENANT), value(&http::header::AUTHORIZATION)],
    };
    let identity = CallIdentity {
        caller,
        host,
        method: parts.method.as_str().as_bytes(),
        path: path.as_bytes(),
        body,
    };
    identity.fingerprint()
}

#[cfg(test)]
mod tests;
