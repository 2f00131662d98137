//! Follows a version until it is in force in every data centre.

use std::time::{Duration, Instant};

use medlarpoint_api::{DataCentreState, Status};
use medlarpoint_model::Version;

use crate::client::{Client, RequestError};
use crate::output;

/// Limit on the time that the daemon holds one status request.
const MAX_WAIT: Duration = Duration::from_secs(2);

/// Result of following a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FollowResult {
    /// The version is in force in every data centre.
    Everywhere,
    /// The version is in force in every data centre with a known state; the state of
    /// the others is unknown.
    WhereKnown,
    /// The version was not in force in time.
    TimedOut,
}

/// Follows `version` and passes each change of the progress to `print`.
pub(crate) async fn follow(
    client: &Client,
    version: Version,
    timeout: Duration,
    mut print: impl FnMut(&str),
) -> Result<(FollowResult, Status), RequestError> {
    let deadline = Instant::now() + timeout;
    let mut status: Status = client.get("/v1/status").await?;
    let mut printed = String::new();
    loop {
        let line = output::progress(&status, version);
        if line != printed {
            print(&line);
            printed = line;
        }
        let known = status
            .data_centres
            .iter()
            .filter(|data_centre| data_centre.state != DataCentreState::Unknown);
        let pending = known.filter(|data_centre| data_centre.version < version).count();
        let unknown = status
            .data_centres
            .iter()
            .filter(|data_centre| {
                data_centre.state == DataCentreState::Unknown && data_centre.version < version
            })
            .count();
        match (pending, unknown, Instant::now() >= deadline) {
            (0, 0, _) if !status.data_centres.is_empty() => {
                return Ok((FollowResult::Everywhere, status));
            }
            (0, 1.., true) => return Ok((FollowResult::WhereKnown, status)),
            (_, _, true) => return Ok((FollowResult::TimedOut, status)),
            _ => {}
        }
        let wait = deadline.saturating_duration_since(Instant::now()).min(MAX_WAIT);
        let path = format!("/v1/status?seen={}&wait_ms={}", status.change, wait.as_millis());
        status = client.get_with_wait(&path, wait).await?;
    }
}
