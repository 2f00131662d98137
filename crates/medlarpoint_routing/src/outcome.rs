//! Outcomes of failed attempts, and whether the call may be sent again.

/// Outcome of a call that got no ordinary response.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    strum::Display,
    strum::EnumString,
    strum::EnumIter,
    strum::IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Outcome {
    /// A target ran the call.
    Ran,
    /// No target ran the call, and none will: nothing was handed over, or the target
    /// rejected it.
    NotRun,
    /// The call may have run, be running, or never have arrived.
    Unknown,
}

/// Rule for sending a call again after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Retry {
    /// Always permitted, since nothing ran.
    Allowed,
    /// Permitted only on a route declared repeatable.
    IfRepeatable,
    /// Depends on a query to the inbound proxy, which fences an attempt it never received.
    AfterQuery,
    /// Never permitted.
    Never,
}

/// Point on its path at which an attempt failed.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    strum::Display,
    strum::EnumString,
    strum::EnumIter,
    strum::IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum FailurePoint {
    /// No target of the service can take the call.
    NoTarget,
    /// The inbound proxy could not be connected to.
    Connect,
    /// The connection broke before a response began.
    Sent,
    /// The connection went silent before a response began.
    Silent,
    /// The inbound proxy has no slot in time for the response to be of full use,
    /// and another target may have one.
    Busy,
    /// The inbound proxy never received the attempt and rejects it from now on.
    Fenced,
    /// The response broke off.
    HalfAnswer,
    /// The inbound proxy rejected the attempt before handing anything over.
    Refused,
    /// The inbound proxy has restarted since the attempt was addressed to it.
    Restarted,
    /// The inbound proxy could not connect to the target.
    TargetConnect,
    /// The target rejected the call and reports that it did not run it.
    TargetShed,
    /// The target ran the call and failed.
    TargetFailed,
    /// The target sent a response that does not belong to the call.
    TargetGarbled,
    /// The connection to the target was lost after bytes were handed over.
    TargetLost,
    /// The process of the target ended while it ran the call.
    TargetCrashed,
    /// Targets have crashed under the same call, which may run again later.
    CrashBackoff,
    /// The idempotency key could not be claimed.
    ClaimFailed,
    /// The key is claimed by an inbound proxy that no longer exists.
    ClaimOrphaned,
    /// The caller's request body broke off.
    CallerBody,
    /// The deadline passed with an attempt outstanding.
    Deadline,
}

impl FailurePoint {
    /// Returns the outcome of an attempt that failed at this point.
    pub fn outcome(self) -> Outcome {
        match self {
            Self::NoTarget
            | Self::Connect
            | Self::Refused
            | Self::Busy
            | Self::Fenced
            | Self::Restarted
            | Self::TargetConnect
            | Self::TargetShed
            | Self::CrashBackoff
            | Self::ClaimFailed => Outcome::NotRun,
            Self::HalfAnswer | Self::TargetFailed => Outcome::Ran,
            Self::Sent
            | Self::Silent
            | Self::TargetGarbled
            | Self::TargetLost
            | Self::TargetCrashed
            | Self::ClaimOrphaned
            | Self::CallerBody
            | Self::Deadline => Outcome::Unknown,
        }
    }

    /// Returns whether a target received, or may have received, the call.
    pub fn may_have_reached_target(self) -> bool {
        match self {
            Self::NoTarget
            | Self::Connect
            | Self::Refused
            | Self::Busy
            | Self::Fenced
            | Self::Restarted
            | Self::TargetConnect
            | Self::CrashBackoff
            | Self::ClaimFailed => false,
            Self::Sent
            | Self::Silent
            | Self::HalfAnswer
            | Self::TargetShed
            | Self::TargetFailed
            | Self::TargetGarbled
            | Self::TargetLost
            | Self::TargetCrashed
            | Self::ClaimOrphaned
            | Self::CallerBody
            | Self::Deadline => true,
        }
    }

    /// Returns the rule for sending the call again.
    pub fn retry(self) -> Retry {
        match self {
            Self::Connect
            | Self::Refused
            | Self::Busy
            | Self::Fenced
            | Self::Restarted
            | Self::TargetConnect
            | Self::TargetShed
            | Self::ClaimFailed => Retry::Allowed,
            Self::Sent | Self::Silent => Retry::AfterQuery,
            Self::TargetLost | Self::TargetCrashed | Self::TargetFailed | Self::TargetGarbled => {
                Retry::IfRepeatable
            }
            Self::NoTarget
            | Self::CrashBackoff
            | Self::HalfAnswer
            | Self::ClaimOrphaned
            | Self::CallerBody
            | Self::Deadline => Retry::Never,
        }
    }

    /// Returns the reason for the outcome and the retry rule, in words for callers.
    pub fn reason(self) -> &'static str {
        match self {
            Self::NoTarget => "nothing was sent; the response says when to try again",
            Self::Connect => "no byte left this process",
            Self::Sent => "bytes may have arrived; only the inbound proxy knows",
            Self::Silent => "the connection may have been lost on the path between the proxies",
            Self::HalfAnswer => {
                "part of the response was passed to the caller and cannot be withdrawn"
            }
            Self::Busy => "nothing was handed over, and another target may be free",
            Self::Fenced => "the attempt had not arrived, and is rejected if it still does",
            Self::Refused => "an inbound proxy rejects an attempt only if it handed nothing over",
            Self::Restarted => {
                "the attempt was sent to an earlier run of the proxy; this run never received it"
            }
            Self::TargetConnect => "no byte was handed to the target",
            Self::TargetShed => "the target reports that it did not begin",
            Self::TargetFailed => "the target ran it and responded with a failure",
            Self::TargetGarbled => "the response is invalid or does not belong to this call",
            Self::TargetLost => "the target may have acted before it was lost",
            Self::TargetCrashed => "the target may have acted before its process ended",
            Self::CrashBackoff => {
                "targets have crashed under this call; the response says when it may run again"
            }
            Self::ClaimFailed => "nothing is handed over without the claim",
            Self::ClaimOrphaned => "the holder of the claim may have run it before it stopped",
            Self::CallerBody => "the target may have acted on the part it received",
            Self::Deadline => "an attempt is still outstanding; the caller gets a response at once",
        }
    }
}

#[cfg(test)]
mod tests;
