//! Messages between borrowers and allocators.

use std::time::Duration;

use medlarpoint_model::Name;

/// Tokens of an earlier grant that a borrower gives back unused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Return {
    /// Number of the request that the tokens were granted for.
    pub seq: u64,
    /// Number of tokens.
    pub tokens: u32,
}

/// What a borrower wants of one workspace.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Want {
    /// Name of the workspace.
    pub workspace: Name,
    /// Number of tokens that are asked for.
    pub tokens: u32,
    /// Unexpired tokens that the borrower gives back and no longer uses.
    pub returned: Vec<Return>,
}

/// Request of a borrower.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Request {
    /// Run of the borrower.
    pub boot: u64,
    /// Number of the request; increases with each request of a run.
    pub seq: u64,
    /// Number of members that the borrower knows of, including dead ones.
    pub known: u32,
    /// What is wanted, by workspace.
    pub wants: Vec<Want>,
}

/// Tokens of one workspace that are lent, or the time at which to ask again.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Loan {
    /// Name of the workspace.
    pub workspace: Name,
    /// Number of tokens that are lent.
    pub tokens: u32,
    /// Time until there is room again, if fewer tokens are lent than were asked for.
    pub retry: Option<Duration>,
}

/// Response of an allocator to a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Grant {
    /// Run of the borrower, from the request.
    pub boot: u64,
    /// Number of the request.
    pub seq: u64,
    /// Loans of the workspaces that the allocator is responsible for.
    pub loans: Vec<Loan>,
}
