//! What may be said of a call, and whether it may be sent again.

/// What is known of a call that got no ordinary answer.
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
    /// The target ran it.
    Ran,
    /// No byte of it was handed to a target, and none will be.
    NotRun,
    /// It may have run, be running, or never have arrived.
    Unknown,
}

/// Whether an attempt may be followed by another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Retry {
    /// Always: nothing ran.
    Allowed,
    /// Only on a route declared repeatable.
    IfRepeatable,
    /// The inbound proxy is asked first; it fences an attempt it never saw.
    AfterQuery,
    /// Never.
    Never,
}

/// Where on its way an attempt failed.
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
    /// No connection to the inbound proxy.
    Connect,
    /// The connection broke before an answer began.
    Sent,
    /// The connection went silent before an answer began.
    Silent,
    /// The inbound proxy has no slot in time for the answer to be of full use,
    /// and another target may have.
    Busy,
    /// The inbound proxy never saw the attempt and refuses it from now on.
    Fenced,
    /// The answer broke off.
    HalfAnswer,
    /// The inbound proxy refused before handing anything over.
    Refused,
    /// The attempt reached a later run of the inbound proxy.
    Restarted,
    /// The inbound proxy could not connect to the target.
    TargetConnect,
    /// The target refused the call and says that it did not run it.
    TargetShed,
    /// The target ran the call and failed.
    TargetFailed,
    /// The target answered with something that is not the call's answer.
    TargetGarbled,
    /// The target was lost after bytes were handed over.
    TargetLost,
    /// The claim of the idempotency key could not be made.
    ClaimFailed,
    /// The key is claimed by an inbound proxy that is gone.
    ClaimOrphaned,
    /// The caller's request body broke off.
    CallerBody,
    /// The deadline passed with an attempt outstanding.
    Deadline,
}

impl FailurePoint {
    /// Returns what is known of an attempt that failed here.
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
            | Self::ClaimFailed => Outcome::NotRun,
            Self::HalfAnswer | Self::TargetFailed => Outcome::Ran,
            Self::Sent
            | Self::Silent
            | Self::TargetGarbled
            | Self::TargetLost
            | Self::ClaimOrphaned
            | Self::CallerBody
            | Self::Deadline => Outcome::Unknown,
        }
    }

    /// Tells whether a target was, or may have been, given the call.
    pub fn may_have_reached_target(self) -> bool {
        match self {
            Self::NoTarget
            | Self::Connect
            | Self::Refused
            | Self::Busy
            | Self::Fenced
            | Self::Restarted
            | Self::TargetConnect
            | Self::ClaimFailed => false,
            Self::Sent
            | Self::Silent
            | Self::HalfAnswer
            | Self::TargetShed
            | Self::TargetFailed
            | Self::TargetGarbled
            | Self::TargetLost
            | Self::ClaimOrphaned
            | Self::CallerBody
            | Self::Deadline => true,
        }
    }

    /// Returns whether the call may be sent again.
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
            Self::TargetLost | Self::TargetFailed | Self::TargetGarbled => Retry::IfRepeatable,
            Self::NoTarget
            | Self::HalfAnswer
            | Self::ClaimOrphaned
            | Self::CallerBody
            | Self::Deadline => Retry::Never,
        }
    }

    /// Returns the reason for the outcome and the rule for retries.
    pub fn reason(self) -> &'static str {
        match self {
            Self::NoTarget => "nothing was sent; the caller is told when to come back",
            Self::Connect => "no byte left this process",
            Self::Sent => "bytes may have arrived; only the inbound proxy can tell",
            Self::Silent => "something between the two ends may have lost the connection",
            Self::HalfAnswer => {
                "part of the answer has gone to the caller and cannot be taken back"
            }
            Self::Busy => "nothing was handed over, and another target may be free",
            Self::Fenced => "the attempt was never seen, and is refused should it still come",
            Self::Refused => "only an inbound proxy that handed nothing over refuses",
            Self::Restarted => "the attempt names the run it was meant for; this run never saw it",
            Self::TargetConnect => "no byte was handed to the target",
            Self::TargetShed => "the target says that it did not begin",
            Self::TargetFailed => "the target ran it and answered with a failure",
            Self::TargetGarbled => "the answer is not the target's answer to this call",
            Self::TargetLost => "the target may have acted before it was lost",
            Self::ClaimFailed => "nothing is handed over without the claim",
            Self::ClaimOrphaned => "the holder may have run it before it went",
            Self::CallerBody => "the target may have acted on the part it got",
            Self::Deadline => "an attempt is still outstanding; the caller is answered at once",
        }
    }
}

#[cfg(test)]
mod tests;
