//! Authorization of writes through the operators' API.

use std::net::IpAddr;

use http::HeaderMap;
use subtle::ConstantTimeEq;

/// Reason why a write is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum Rejected {
    /// No token is configured and the sender is another machine.
    #[error("writes are accepted from this machine only: set `api.token_file` to allow others")]
    Remote,
    /// The token is missing or wrong.
    #[error("writes need the bearer token of this fleet in the `Authorization` header")]
    Token,
}

/// Accepts a write that carries `token` or, if no token is configured, a write from
/// this machine.
pub(crate) fn check_write(
    token: Option<&str>,
    sender: IpAddr,
    headers: &HeaderMap,
) -> Result<(), Rejected> {
    let Some(token) = token else {
        return if sender.is_loopback() { Ok(()) } else { Err(Rejected::Remote) };
    };
    let given = headers.get(http::header::AUTHORIZATION);
    let given = given.and_then(|value| value.as_bytes().strip_prefix(b"Bearer "));
    if given.is_some_and(|given| bool::from(given.ct_eq(token.as_bytes()))) {
        return Ok(());
    }
    Err(Rejected::Token)
}

#[cfg(test)]
mod tests;
