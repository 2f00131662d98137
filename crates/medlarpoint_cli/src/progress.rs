//! Follows a version until it is in force everywhere.

use std::time::{Duration, Instant};

use medlarpoint_api::{DataCentreState, Status};
use medlarpoint_model::Version;

use crate::client::{Client, RequestError};
use crate::output;

/// Longest wait of one request.
const WAIT: Duration = Duration::from_secs(2);

/// How following a version ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Followed {
    /// In force in every data centre.
    Everywhere,
    /// In force wherever that can be seen; some data centres are cut off.
    WhereSeen,
    /// Not yet in force.
    TimedOut,
}

/// Follows `version`, printing each step with `print`.
pub(crate) async fn follow(
    client: &Client,
    version: Version,
    timeout: Duration,
    mut print: impl FnMut(&str),
) -> Result<(Followed, Status), RequestError> {
    let deadline = Instant::now() + timeout;
    let mut status: Status = client.get("/v1/status").await?;
    let mut printed = String::new();
    loop {
        let line = output::progress(&status, version);
        if line != printed {
            print(&line);
            printed = line;
        }
        let seen = status.data_centres.iter().filter(|p| p.state != DataCentreState::Unknown);
        let open = seen.filter(|place| place.version < version).count();
        let dark = status
            .data_centres
            .iter()
            .filter(|p| p.state == DataCentreState::Unknown && p.version < version)
            .count();
        match (open, dark, Instant::now() >= deadline) {
            (0, 0, _) if !status.data_centres.is_empty() => {
                return Ok((Followed::Everywhere, status));
            }
            (0, 1.., true) => return Ok((Followed::WhereSeen, status)),
            (_, _, true) => return Ok((Followed::TimedOut, status)),
            _ => {}
        }
        let left = deadline.saturating_duration_since(Instant::now()).min(WAIT);
        let path = format!("/v1/status?seen={}&wait_ms={}", status.change, left.as_millis());
        status = client.wait(&path, left).await?;
    }
}
