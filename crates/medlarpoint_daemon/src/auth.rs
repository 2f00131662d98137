//! Who may write through the operators' API.

use std::net::IpAddr;

use http::HeaderMap;
use subtle::ConstantTimeEq;

/// Why a write is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum Rejected {
    /// No token is set, and the sender is another machine.
    #[error("writes are taken from this machine only: set api.token_file")]
    Remote,
    /// The token is missing or wrong.
    #[error("writes need the bearer token of this fleet")]
    Token,
}

/// Lets a write through that carries `token`; without one set, those from this
/// machine.
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
