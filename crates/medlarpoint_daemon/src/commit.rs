//! Commits an operator's change through the store.

use std::sync::Arc;
use std::time::Duration;

use medlarpoint_api::{Commit, CommitResult, Expect};
use medlarpoint_config::commit::{Action, Outcome, Refusal, Response, Transaction};
use medlarpoint_config::{Edit, Precondition, Proposal};
use medlarpoint_model::CommitId;
use medlarpoint_store::{Error, Expected, Key, Store};
use medlarpoint_wire::PullResponse;

use crate::clock::{jitter, wall_ms};
use crate::control::Driver;
use crate::event::Event;
use crate::reader;
use crate::settings::Source;
use crate::state::{Shared, lock};

/// Longest time a commit may take.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(8);
/// Longest pause before a store call that follows a failed one.
const MAX_PAUSE: Duration = Duration::from_millis(400);

/// Why a commit has no version.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CommitError {
    #[error(transparent)]
    Refused(#[from] Refusal),
    #[error(
        "the platform's operator owns this configuration and publishes it in the store: \
         change it there (`source = \"operator\"` in the settings)"
    )]
    Owned,
    #[error("it is not known whether commit {0} took effect: resend it with the same id")]
    Unknown(CommitId),
}

fn proposal(commit: &Commit) -> Proposal {
    let edit = |edit: &medlarpoint_api::Edit| Edit {
        change: edit.change.clone(),
        precondition: match edit.expect {
            Expect::Any => Precondition::Any,
            Expect::Absent => Precondition::Absent,
            Expect::Changed(version) => Precondition::Changed(version),
        },
    };
    Proposal {
        commit: commit.commit,
        author: commit.author.clone(),
        at_ms: wall_ms(),
        since: commit.since,
        resent: commit.resent,
        edits: commit.edits.iter().map(edit).collect(),
    }
}

/// Commits a change and puts it into force here.
pub(crate) async fn commit(driver: &Driver, request: &Commit) -> Result<CommitResult, CommitError> {
    let shared = driver.shared();
    if shared.settings.options.source == Source::Operator {
        return Err(CommitError::Owned);
    }
    let author = request.author.clone();
    let outcome = attempt(shared, proposal(request)).await;
    match outcome {
        Outcome::Committed { delta, garbage } => {
            let version = delta.version;
            shared.emit(&Event::Committed { version, author });
            metrics::counter!("medlarpoint_commits_total", "result" => "committed").increment(1);
            enforce(driver, delta).await;
            collect(shared, garbage).await;
            Ok(CommitResult { version, commit: request.commit, unchanged: false })
        }
        Outcome::Unchanged(version) => {
            Ok(CommitResult { version, commit: request.commit, unchanged: true })
        }
        Outcome::Refused(refusal) => {
            shared.emit(&Event::CommitRefused { author, reason: refusal.to_string() });
            metrics::counter!("medlarpoint_commits_total", "result" => "refused").increment(1);
            Err(refusal.into())
        }
        Outcome::Unknown(id) => {
            shared.emit(&Event::CommitUnknown { author, commit: id.to_string() });
            metrics::counter!("medlarpoint_commits_total", "result" => "unknown").increment(1);
            Err(CommitError::Unknown(id))
        }
    }
}

async fn attempt(shared: &Shared, proposal: Proposal) -> Outcome {
    let local = Arc::clone(lock(&shared.control).replica.current());
    let (mut attempt, mut action) = Transaction::new(proposal, local);
    let deadline = tokio::time::Instant::now() + COMMIT_TIMEOUT;
    loop {
        if let Action::Done(outcome) = action {
            return outcome;
        }
        if tokio::time::Instant::now() >= deadline {
            return attempt.on_timeout();
        }
        let reply = reader::call(shared, action).await;
        pause_after(&reply).await;
        action = attempt.step(reply);
    }
}

/// Spreads out those who try again: after a failure, or after another
/// operator was faster.
async fn pause_after(reply: &Response) {
    let (Response::Get(Err(error)) | Response::Put(Err(error))) = reply else {
        return;
    };
    let limit = match error {
        Error::Conflict { .. } => MAX_PAUSE / 20,
        _ => MAX_PAUSE,
    };
    tokio::time::sleep(jitter(limit)).await;
}

async fn enforce(driver: &Driver, delta: Arc<medlarpoint_model::Delta>) {
    let shared = driver.shared();
    let follows = delta.version == shared.version().next();
    if follows {
        let mut control = lock(&shared.control);
        let result = control.replica.apply(PullResponse::Deltas(vec![delta]));
        driver.applied(&mut control, "a commit", result);
        return;
    }
    // The versions between come with the head; a reader has them otherwise.
    let _ = reader::refresh(driver).await;
}

/// Deletes what the commit made superfluous. What is left over costs space
/// only.
async fn collect(shared: &Shared, garbage: Vec<Key>) {
    for key in garbage {
        if let Ok(Some(item)) = shared.store.get(&key).await {
            let _ = shared.store.delete(&key, Expected::Revision(item.revision)).await;
        }
    }
}
